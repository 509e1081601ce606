// Receives workers' heartbeats and carries out the route that routeHeartbeat() chooses.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

// After this time without contact to the state service, this controller answers heartbeats in place
// of the leader.
constexpr Duration kAnswersLocallyAfter{1500};
// If the leader has not answered forwarded heartbeats for this long, it probably does not receive
// them.
constexpr Duration kForwardingDegradedAfter{3000};

}  // namespace

void Controller::onHeartbeat(const Request& request, const Respond& respond) {
  auto body = decodeBody(request.body);
  auto report = body ? reportFromJson(*body) : std::nullopt;
  if (!report) return respond(jsonResponse(400, {{"error", "not a report"}}));
  Instant receivedAt = recordHeartbeat(*report);
  auto answer = [this, receivedAt, machine = report->machine, zone = report->zone,
                 respond](Response r) {
    if (r.status == 200) recordAcknowledged(machine, zone, receivedAt);
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
Instant Controller::recordHeartbeat(const Report& report) {
  lastHeartbeat_ = runtime_.now();
  if (report.zone != platform_.zone) lastOtherZoneHeartbeat_ = lastHeartbeat_;
  canary_.onReport(report.machine, lastHeartbeat_);
  leaseLog_.onHeartbeat(report, lastHeartbeat_);
  workerTransport_.recordHeartbeat(report.address, report.zone, std::nullopt);
  return lastHeartbeat_;
}

void Controller::recordAcknowledged(const MachineId& machine, const ZoneId& zone,
                                    Instant receivedAt) {
  ackLog_.record(machine, receivedAt);
  // Announces the acknowledgement at once. If this controller ended before its next status
  // exchange, peers would assume that the zone's workers had not been answered.
  if (zoneAcks_.onAcknowledged(zone, receivedAt)) peerMembership_.announceStatus();
}

// Answers a heartbeat that could not be forwarded. The answer is the same as if no leader were
// reachable.
Response Controller::answerUnforwarded(const Report& report) {
  HeartbeatView view = heartbeatView(report);
  if (view.leads) return serveReport(report, std::nullopt);
  view.leader.reset();
  return answerLocally(report, routeHeartbeat(view));
}

// Answers a heartbeat without involving the leader.
Response Controller::answerLocally(const Report& report, const Route& route) {
  if (route.action == RouteAction::leaseOnly) return leaseOnlyResponse(report);
  return redirect(report, route.to);
}

HeartbeatView Controller::heartbeatView(const Report& report) const {
  HeartbeatView view;
  view.now = runtime_.now();
  view.leads = leader_ && election_.leads();
  view.maxLeaderKeyLifetime = kLeaderLeaseDuration;
  view.renewUntil = renewUntil();
  view.contactAge = watcher_.snapshotAge();
  view.knownToken = lastToken_;
  view.reportedToken = report.token;
  view.workerInForeignZone = report.zone != platform_.zone;
  view.lease = platform_.workerLease;
  if (auto redirected = redirectedAt_.find(report.machine); redirected != redirectedAt_.end()) {
    view.sinceRedirect = view.now - redirected->second;
  }
  if (const PeerStatus* leader = peerMembership_.newestLeader(kPeerReachableWithin)) {
    view.leader = leader->member;
    view.leaderForwards = leader->supportsForwarding &&
                          forwarder_.failingFor(leader->member) < kForwardingDegradedAfter;
    view.leaderReachesWorkers = !leader->hasLostWorkers;
  }
  view.isolated = !peerMembership_.anyReachable(kPeerReachableWithin) &&
                  view.contactAge >= kAnswersLocallyAfter;
  Instant cutOff = std::max(lastPeerContact_, view.now - view.contactAge);
  view.foreignZonesReporting =
      lastOtherZoneHeartbeat_ > cutOff + Duration{500} &&
      view.now - lastOtherZoneHeartbeat_ < 2 * platform_.reportEvery + Duration{3000};
  if (!view.leader) addUnreachableLeader(report, view);
  return view;
}

// Adds the holder of the leader key to the view if this controller cannot reach it.
void Controller::addUnreachableLeader(const Report& report, HeartbeatView& view) const {
  const auto& keyHolder = replica_.leader();
  if (view.contactAge >= kAnswersLocallyAfter || !keyHolder ||
      keyHolder->member == platform_.member || !leaderUnreachableSince_) {
    return;
  }
  view.unreachableLeader = keyHolder->member;
  view.leaderUnreachableFor = view.now - *leaderUnreachableSince_;
  // A worker that has just tried several controllers has little of its lease left. It is answered
  // here before it may be redirected: when workers were redirected at once, only 16 of 24 replicas
  // kept running.
  const RedirectCandidate worker = redirectCandidate(report);
  bool fresh =
      worker.sinceAcknowledged &&
      *worker.sinceAcknowledged < maxHeartbeatInterval(platform_.reportEvery) + Duration{1500};
  view.mayRedirect = canary_.mayRedirect(*view.unreachableLeader, worker, view.now) &&
                     (fresh || worker.idle || !mayRenewLocally(view));
}

RedirectCandidate Controller::redirectCandidate(const Report& report) const {
  RedirectCandidate worker{report.machine, report.tasks.empty(), std::nullopt};
  auto acknowledged = ackLog_.entries().find(report.machine);
  if (acknowledged != ackLog_.entries().end()) {
    worker.sinceAcknowledged = runtime_.now() - acknowledged->second;
  }
  return worker;
}

// Renews the worker's lease while no leader is reachable, under the newest token known to this
// controller. The answer launches and clears no task. It stops tasks of jobs that have ended, also
// tasks that the worker may yet receive a launch command for, so that the renewed lease does not
// keep cancelled tasks running.
Response Controller::leaseOnlyResponse(const Report& report) const {
  auto end = [this](const JobId& id) {
    const auto* job = replica_.job(id);
    if (!job || job->active()) return JobEnd::none;
    return job->modRevision <= replica_.revision() ? JobEnd::known : JobEnd::notReadBack;
  };
  return jsonResponse(
      200, reportResponseToJson(lastToken_,
                                leaseOnlyCommands(report, replica_.machine(report.machine), end)));
}

Response Controller::redirect(const Report& report, const std::optional<MemberId>& to) {
  redirectedAt_[report.machine] = runtime_.now();
  if (to && replica_.leader() && *to == replica_.leader()->member &&
      !peerMembership_.recentStatus(*to, kPeerReachableWithin)) {
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
    // After a pause of the process, queued heartbeats are handled before its timers run. The check
    // is therefore repeated for each answer.
    stepDown("no contact with the state service for too long", false, Duration{1000});
    return reject();
  }
  if (report.token > election_.token()) {
    if (mayBeOwnRaisedToken()) return reject();
    stepDown("machine " + report.machine.value + " has seen a higher token", false, Duration{500});
    return reject();
  }
  if (via) workerTransport_.recordHeartbeat(report.address, report.zone, via);
  return leader_->onReport(report, via.value_or(platform_.member),
                           watcher_.snapshotAge() < kStoreUnreachableAfter);
}

}  // namespace kestrelhoist
