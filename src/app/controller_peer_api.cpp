// Implements the API between controllers, which exchange statuses and forward and proxy requests.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"

namespace kestrelhoist {

void Controller::onMesh(const Request& request, const Respond& respond) {
  std::string path = request.path.substr(0, request.path.find('?'));
  if (path == "/mesh/hello" && request.method == "POST")
    return respond(peerMembership_.onStatusRequest(request));
  if (path == "/mesh/nudge" && request.method == "POST") {
    watcher_.linearizableRead([](bool) {});
    return respond(jsonResponse(200, Json::object()));
  }
  if (policy_.handle(request, respond) || onMeshService(request, respond)) return;
  const std::string user = "/mesh/user";
  if (path.starts_with(user + "/")) {
    // The request is answered from this controller's own records and never forwarded again.
    Request inner = request;
    inner.path = request.path.substr(user.size());
    if (answerUser(inner, respond, false)) return;
  }
  respond(jsonResponse(404, {{"error", "no such path"}}));
}

// Serves requests from peers whose own connections fail, and the requests of a new leader.
bool Controller::onMeshService(const Request& request, const Respond& respond) {
  auto below = [&](const std::string& prefix) -> std::optional<Request> {
    if (!request.path.starts_with(prefix + "/")) return std::nullopt;
    Request inner = request;
    inner.path = request.path.substr(prefix.size());
    return inner;
  };
  if (auto reports = below("/mesh/reports")) {
    if (!leader_ || !election_.leads()) {
      respond(jsonResponse(409, {{"error", "does not lead"}}));
      return true;
    }
    MemberId via{reports->path.substr(1)};
    respond(answerBatch(request, [&](const Json& item) {
      auto report = reportFromJson(item);
      if (!report) return jsonResponse(400, {{"error", "not a report"}});
      return serveReport(*report, via);
    }));
  } else if (auto job = below("/mesh/why")) {
    respond(leader_ ? jsonResponse(200, leader_->why(JobId{job->path.substr(1)}))
                    : jsonResponse(409, {{"error", "does not lead"}}));
  } else if (request.path == "/mesh/answered") {
    respond(jsonResponse(200, ackLog_.toJson(runtime_.now())));
  } else if (request.path == kLeasesPath) {
    const Instant now = runtime_.now();
    respond(jsonResponse(200, toJson(leaseLog_.observations(now), now)));
  } else if (auto state = below("/mesh/state")) {
    stateProxy_.serve(*state, respond);
  } else if (auto cloud = below("/mesh/cloud")) {
    cloudProxy_.serve(*cloud, respond);
  } else if (auto worker = below("/mesh/worker")) {
    auto slash = worker->path.find('/', 1);
    if (slash == std::string::npos) return false;
    std::string address = worker->path.substr(1, slash - 1);
    worker->path = worker->path.substr(slash);
    workerTransport_.serve(address, *worker, respond);
  } else {
    return false;
  }
  return true;
}

PeerStatus Controller::status() const {
  PeerStatus s;
  s.member = platform_.member;
  s.token =
      std::max(election_.leads() ? election_.token() : FencingToken{}, replica_.leaderToken());
  s.leading = leader_ != nullptr;
  // Only direct connections count, because peers must not rely on a service that this controller
  // reaches through another peer.
  auto ageOf = [now = runtime_.now()](const LinkHealth& link) {
    if (!link.lastGood()) return Duration{3600000};
    return std::clamp(now - *link.lastGood(), Duration{0}, Duration{3600000});
  };
  s.storeAge = ageOf(stateProxy_.link());
  s.cloudAge = ageOf(cloudProxy_.link());
  s.supportsForwarding = true;
  s.wallMs = runtime_.wallMillis();
  s.workersAge =
      std::min(Duration{3600000}, std::max(Duration{0}, runtime_.now() - lastHeartbeat_));
  if (watcher_.isLoaded()) s.newestCancellation = replica_.newestCancellation();
  s.zoneAcks = zoneAcks_.report(runtime_.now(), peerMayBeAlive());
  s.ready = watcher_.isLoaded() && jobs_.catalogue() != nullptr;
  if (leader_) s.uncertainLeases = leader_->fleet().uncertainLeases();
  s.hasLostWorkers = leader_ && reportingMachines() > 0 &&
                     s.workersAge > platform_.reportEvery * 3 / 2 + Duration{500};
  return s;
}

std::function<bool(const MemberId&)> Controller::peerMayBeAlive() const {
  return [this](const MemberId& peer) { return peerMembership_.mayBeAlive(peer); };
}

std::map<ZoneId, Instant> Controller::zoneAckBounds() const {
  return zoneAcks_.bounds(runtime_.now(), peerMayBeAlive());
}

// The median prevents a single clock that jumps by minutes from opening or closing a calendar
// period.
std::int64_t Controller::timeOfDay() const {
  std::vector<std::int64_t> clocks{runtime_.wallMillis()};
  for (const auto& peer : platform_.peers) {
    if (const auto* s = peerMembership_.recentStatus(peer.member, kPeerReachableWithin);
        s && s->wallClockOffset) {
      clocks.push_back(runtime_.now().ms + *s->wallClockOffset);
    }
  }
  std::sort(clocks.begin(), clocks.end());
  return clocks[(clocks.size() - 1) / 2];
}

}  // namespace kestrelhoist
