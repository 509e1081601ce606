// Workers' heartbeats: accepts them and carries out the route that routeHeartbeat() chooses.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

// Without contact to the state service for so long, this controller answers in place of the leader.
constexpr Duration kAnswersLocallyAfter{1500};
// When the leader has not answered forwarded heartbeats for so long, it may not receive them.
constexpr Duration kForwardingDegradedAfter{3000};

}  // namespace

void Controller::onHeartbeat(const Request& request, const Respond& respond) {
  auto body = decodeBody(request.body);
  auto report = body ? reportFrom(*body) : std::nullopt;
  if (!report) return respond(jsonResponse(400, {{"error", "not a report"}}));
  Instant receivedAt = noteHeartbeat(*report);
  auto answer = [this, receivedAt, machine = report->machine, zone = report->zone,
                 respond](Response r) {
    if (r.status == 200) noteAcknowledged(machine, zone, receivedAt);
    respond(std::move(r));
  };
  Route route = routeHeartbeat(heartbeatView(*report));
  if (route.action == RouteAction::serve) return answer(serveReport(*report, std::nullopt));
  if (route.action != RouteAction::forward) return answer(answerLocally(*report, route));
  forwarder_.forward(*route.to, request.body,
                     [this, answer, report = *report](const std::optional<Response>& r) {
                       answer(r ? *r : answerUnforwarded(report));
                     });
}

// Records the arrival of a heartbeat and returns its time.
Instant Controller::noteHeartbeat(const Report& report) {
  lastWorker_ = runtime_.now();
  if (report.zone != platform_.zone) lastForeignWorker_ = lastWorker_;
  canary_.onReport(report.machine, lastWorker_);
  leaseLog_.onHeartbeat(report, lastWorker_);
  workerTransport_.noteReport(report.address, report.zone, std::nullopt);
  return lastWorker_;
}

void Controller::noteAcknowledged(const MachineId& machine, const ZoneId& zone,
                                  Instant receivedAt) {
  ackLog_.record(machine, receivedAt);
  // Peers would take the zone for silent if this controller ended before its next status.
  if (zoneAcks_.onAcknowledged(zone, receivedAt)) peerMembership_.announceStatus();
}

// Answers a heartbeat whose forwarding failed, as if there were no reachable leader.
Response Controller::answerUnforwarded(const Report& report) {
  HeartbeatView v = heartbeatView(report);
  if (v.leads) return serveReport(report, std::nullopt);
  v.leader.reset();
  return answerLocally(report, routeHeartbeat(v));
}

// Answers without the leader.
Response Controller::answerLocally(const Report& report, const Route& route) {
  if (route.action == RouteAction::leaseOnly) return leaseOnlyResponse(report);
  return redirect(report, route.to);
}

HeartbeatView Controller::heartbeatView(const Report& report) const {
  HeartbeatView v;
  v.now = runtime_.now();
  v.leads = leader_ && election_.leads();
  v.leaderLeaseLife = kLeaseLife;
  v.renewUntil = renewUntil();
  v.contactAge = watcher_.contactAge();
  v.knownToken = lastToken_;
  v.reportedToken = report.token;
  v.foreignZone = report.zone != platform_.zone;
  v.lease = platform_.workerLease;
  if (auto redirected = redirectedAt_.find(report.machine); redirected != redirectedAt_.end()) {
    v.sinceRedirect = v.now - redirected->second;
  }
  if (const PeerStatus* leader = peerMembership_.newestLeader(kPeerPresence)) {
    v.leader = leader->member;
    v.leaderForwards = leader->supportsForwarding &&
                       forwarder_.failingFor(leader->member) < kForwardingDegradedAfter;
    v.leaderReachesWorkers = !leader->hasLostWorkers;
  }
  v.isolated = !peerMembership_.anyReachable(kPeerPresence) && v.contactAge >= kAnswersLocallyAfter;
  Instant cutOff = std::max(lastPeer_, v.now - v.contactAge);
  v.foreignZonesReach = lastForeignWorker_ > cutOff + Duration{500} &&
                        v.now - lastForeignWorker_ < 2 * platform_.reportEvery + Duration{3000};
  if (!v.leader) addUnreachableLeader(report, v);
  return v;
}

// Adds to the view a holder of the leader key that is unreachable from here.
void Controller::addUnreachableLeader(const Report& report, HeartbeatView& v) const {
  const auto& keyHolder = replica_.leader();
  if (v.contactAge >= kAnswersLocallyAfter || !keyHolder || keyHolder->member == platform_.member ||
      !leaderUnreachableSince_) {
    return;
  }
  v.unreachableLeader = keyHolder->member;
  v.leaderUnreachableFor = v.now - *leaderUnreachableSince_;
  // A worker that has just come from a failover cycle has spent most of its lease, so it is
  // answered here first (16 of 24 replicas were left when it was redirected again at once).
  const RedirectCandidate worker = redirectCandidate(report);
  bool fresh =
      worker.sinceAcknowledged &&
      *worker.sinceAcknowledged < maxHeartbeatInterval(platform_.reportEvery) + Duration{1500};
  v.mayRedirect = canary_.mayRedirect(*v.unreachableLeader, worker, v.now) &&
                  (fresh || worker.idle || !mayRenewLocally(v));
}

RedirectCandidate Controller::redirectCandidate(const Report& report) const {
  RedirectCandidate worker{report.machine, report.tasks.empty(), std::nullopt};
  auto acknowledged = ackLog_.entries().find(report.machine);
  if (acknowledged != ackLog_.entries().end()) {
    worker.sinceAcknowledged = runtime_.now() - acknowledged->second;
  }
  return worker;
}

// A worker keeps its lease while no leader can be asked, under the token that it and this
// controller know. Nothing is launched or cleared, and nothing is proven by it. Tasks of jobs that
// are known to be over are stopped, those included that it may still be told to launch: whoever
// keeps leases up must not keep up what was cancelled.
Response Controller::leaseOnlyResponse(const Report& report) const {
  auto end = [this](const JobId& id) {
    const auto* job = replica_.job(id);
    if (!job || job->active()) return JobEnd::none;
    return job->modRevision <= replica_.cursor() ? JobEnd::known : JobEnd::notReadBack;
  };
  return jsonResponse(
      200, reportResponseToJson(lastToken_,
                                leaseOnlyCommands(report, replica_.machine(report.machine), end)));
}

Response Controller::redirect(const Report& report, const std::optional<MemberId>& to) {
  redirectedAt_[report.machine] = runtime_.now();
  if (to && replica_.leader() && *to == replica_.leader()->member &&
      !peerMembership_.recentStatus(*to, kPeerPresence)) {
    canary_.onRedirected(*to, redirectCandidate(report), runtime_.now());
  }
  Json body = Json::object();
  if (to) body["steward"] = to->value;
  return jsonResponse(421, body);
}

Response Controller::serveReport(const Report& report, const std::optional<MemberId>& via) {
  auto reject = [] { return jsonResponse(421, Json::object()); };
  if (!leader_ || !election_.leads()) return reject();
  if (!mayRenew()) {
    // A node that hung finds reports waiting before its timers: the bound holds for each answer.
    stepDown("no contact with the state service for too long", false, Duration{1000});
    return reject();
  }
  if (report.token > election_.token()) {
    stepDown("machine " + report.machine.value + " has seen a higher token", false, Duration{500});
    return reject();
  }
  if (via) workerTransport_.noteReport(report.address, report.zone, via);
  return leader_->onReport(report, via.value_or(platform_.member),
                           watcher_.contactAge() < kStoreSilent);
}

}  // namespace kestrelhoist
