// Implements the API for users, workers and health checks.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"

namespace kestrelhoist {

void Controller::onApi(const Request& request, const Respond& respond, bool secure) {
  std::string path = request.path.substr(0, request.path.find('?'));
  if (path == "/agent/beat") {
    if (request.method != "POST") return respond(jsonResponse(405, {{"error", "wrong method"}}));
    return onHeartbeat(request, respond);
  }
  if (path == "/ready") {
    if (request.method != "GET") return respond(jsonResponse(405, {{"error", "wrong method"}}));
    return respond(ready());
  }
  onUserRequest(path, request, respond, secure);
}

void Controller::onUserRequest(const std::string& path, const Request& request,
                               const Respond& respond, bool secure) {
  bool isUserRequest = isUserPath(path);
  if (isUserRequest && members_ && !secure && !settings_.members.plainUsers &&
      !path.starts_with("/v2/flows/tasks/")) {
    return respond(jsonResponse(403, {{"error", "members come with TLS, see docs/members.md"}}));
  }
  if (isUserRequest && !watcher_.isReachable()) {
    if (auto peer = peerMembership_.peerReachingStore(watcher_.failingSince())) {
      return forwardToPeer(*peer, request, respond);
    }
  }
  const auto query = request.path.find("?why");
  bool why = query != std::string::npos && request.method == "GET" && path.starts_with("/v2/runs/");
  if (!answerUser(request, why ? withReasons(respond) : respond, true)) {
    respond(jsonResponse(404, {{"error", "no such path"}}));
  }
}

bool Controller::isUserPath(const std::string& path) const {
  return path.starts_with("/v2/runs") || (settings_.flows && path.starts_with("/v2/flows")) ||
         (members_ && path.starts_with("/v2/"));
}

void Controller::forwardToPeer(const MemberId& peer, const Request& request,
                               const Respond& respond) {
  peerMembership_.forward(peer, request, kForwardTimeout, [respond](std::optional<Response> r) {
    respond(r ? Response{r->status, r->body, r->status >= 429 ? 1 : 0} : retryLater(503));
  });
}

bool Controller::answerUser(const Request& request, const Respond& respond, bool hold) {
  if (members_) return members_->handle(request, respond, hold);
  return jobs_.handle(request, respond) || flows_.handle(request, respond);
}

Respond Controller::withReasons(const Respond& respond) {
  return [this, respond](const Response& r) {
    auto body = r.status == 200 ? decodeBody(r.body, kInternalLimits) : std::nullopt;
    auto ref = body ? textField(*body, body->contains("job") ? "job" : "ref") : std::nullopt;
    if (!ref) return respond(r);
    auto respondWith = [respond, body = *body](const Json& why) mutable {
      body["why"] = why;
      respond(jsonResponse(200, body));
    };
    const Json noLeader = {{"leader", nullptr}, {"waits", Json::array()}};
    if (leader_) return respondWith(leader_->why(JobId{*ref}));
    const PeerStatus* leader = peerMembership_.newestLeader(kPeerReachableWithin);
    if (!leader) return respondWith(noLeader);
    peerMembership_.send(leader->member, {"GET", "/mesh/why/" + *ref, ""}, kForwardTimeout,
                         [respondWith, noLeader](const std::optional<Response>& answer) mutable {
                           auto why = answer && answer->status == 200
                                          ? decodeBody(answer->body, kInternalLimits)
                                          : std::nullopt;
                           respondWith(why ? *why : noLeader);
                         });
  };
}

Response Controller::ready() {
  bool serves = watcher_.isLoaded() && jobs_.catalogue();
  // A controller that has lost the state service stays ready while it reaches a peer: it can
  // forward requests, and an outage of the state service must not remove all controllers from the
  // load balancer. It is not ready if it reaches no peer either.
  if (serves && !watcher_.isReachable() && watcher_.snapshotAge() > kStoreUnreachableAfter) {
    serves = peerMembership_.anyReachable(kPeerReachableWithin);
  }
  return jsonResponse(serves ? 200 : 503, Json::object());
}

}  // namespace kestrelhoist
