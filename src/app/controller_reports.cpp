// Workers' reports: which way each goes is decided in src/reach.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"

namespace kestrelhoist {
namespace {

// Without contact to the state service for so long, this controller answers in the leader's stead.
constexpr Duration kAnswersLocallyAfter{1500};
// The leader has not answered reports that were passed on for so long: it may not get them.
constexpr Duration kForwardingDoubt{3000};

}  // namespace

void Controller::onHeartbeat(const Request& request, const Respond& respond) {
  auto body = decodeBody(request.body);
  auto report = body ? reportFrom(*body) : std::nullopt;
  if (!report) return respond(jsonResponse(400, {{"error", "not a report"}}));
  Instant came = noteHeartbeat(*report);
  auto answer = [this, came, machine = report->machine, respond](Response r) {
    if (r.status == 200) ackLog_.record(machine, came);
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

// A worker was heard; returns when.
Instant Controller::noteHeartbeat(const Report& report) {
  lastWorker_ = runtime_.now();
  if (report.zone != platform_.zone) lastForeignWorker_ = lastWorker_;
  canary_.onReport(report.machine, lastWorker_);
  workerTransport_.noteReport(report.address, std::nullopt);
  return lastWorker_;
}

// The leader was asked in vain: as if it were not there.
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
  if (auto away = redirectedAt_.find(report.machine); away != redirectedAt_.end()) {
    v.sinceRedirect = v.now - away->second;
  }
  if (const PeerStatus* leader = peerMembership_.newestLeader(kPeerPresence)) {
    v.leader = leader->member;
    v.leaderForwards =
        leader->supportsForwarding && forwarder_.failingFor(leader->member) < kForwardingDoubt;
    v.leaderReachesWorkers = !leader->hasLostWorkers;
  }
  v.isolated = !peerMembership_.anyReachable(kPeerPresence) && v.contactAge >= kAnswersLocallyAfter;
  Instant cutOff = std::max(lastPeer_, v.now - v.contactAge);
  v.foreignZonesReach = lastForeignWorker_ > cutOff + Duration{500} &&
                        v.now - lastForeignWorker_ < 2 * platform_.reportEvery + Duration{3000};
  if (!v.leader) addUnreachableLeader(report, v);
  return v;
}

// What the view has of a holder of the leader key that is not heard.
void Controller::addUnreachableLeader(const Report& report, HeartbeatView& v) const {
  const auto& holder = replica_.leader();
  if (v.contactAge >= kAnswersLocallyAfter || !holder || holder->member == platform_.member ||
      !leaderUnreachableSince_) {
    return;
  }
  v.unreachableLeader = holder->member;
  v.leaderUnreachableFor = v.now - *leaderUnreachableSince_;
  // One that has just come from a tour has spent most of its lease: it is answered here first (16
  // of 24 replicas were left where it was sent on another tour at once).
  auto here = ackLog_.entries().find(report.machine);
  bool fresh = here != ackLog_.entries().end() &&
               v.now - here->second < platform_.reportEvery * 5 / 4 + Duration{1500};
  v.mayRedirect = canary_.mayRedirect(*v.unreachableLeader, report.tasks.empty(), v.now) &&
                  (fresh || report.tasks.empty() || !mayRenewLocally(v));
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
    canary_.onRedirected(*to, report.machine, runtime_.now());
  }
  Json body = Json::object();
  if (to) body["steward"] = to->value;
  return jsonResponse(421, body);
}

Response Controller::serveReport(const Report& report, const std::optional<MemberId>& via) {
  auto away = [] { return jsonResponse(421, Json::object()); };
  if (!leader_ || !election_.leads()) return away();
  if (!mayRenew()) {
    // A node that hung finds reports waiting before its timers: the bound holds for each answer.
    stepDown("no contact with the state service for too long", false, Duration{1000});
    return away();
  }
  if (report.token > election_.token()) {
    stepDown("machine " + report.machine.value + " has seen a higher token", false, Duration{500});
    return away();
  }
  if (via) workerTransport_.noteReport(report.address, via);
  return leader_->onReport(report, watcher_.contactAge() < kStoreSilent);
}

}  // namespace kestrelhoist
