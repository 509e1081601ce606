// Workers' reports: which way each goes is decided in src/reach.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"

namespace kestrelhoist {
namespace {

// Without contact to the state service for so long, this controller answers in the leader's stead.
constexpr Duration kAnswersAloneAfter{1500};
// The leader has not answered reports that were passed on for so long: it may not get them.
constexpr Duration kRelayDoubt{3000};

}  // namespace

void Controller::onHeartbeat(const Request& request, const Respond& respond) {
  auto body = decodeBody(request.body);
  auto report = body ? reportFrom(*body) : std::nullopt;
  if (!report) return respond(jsonResponse(400, {{"error", "not a report"}}));
  Instant came = noteHeartbeat(*report);
  auto answer = [this, came, machine = report->machine, respond](Response r) {
    if (r.status == 200) answered_.note(machine, came);
    respond(std::move(r));
  };
  Route route = routeReport(heartbeatView(*report));
  if (route.way == Way::serve) return answer(serveReport(*report, std::nullopt));
  if (route.way != Way::relay) return answer(answerLocally(*report, route));
  relay_.pass(*route.to, request.body,
              [this, answer, report = *report](const std::optional<Response>& r) {
                answer(r ? *r : answerUnforwarded(report));
              });
}

// A worker was heard; returns when.
Instant Controller::noteHeartbeat(const Report& report) {
  lastWorker_ = runtime_.now();
  if (report.zone != platform_.zone) lastForeignWorker_ = lastWorker_;
  scouts_.reported(report.machine, lastWorker_);
  workerLine_.heard(report.address, std::nullopt);
  return lastWorker_;
}

// The leader was asked in vain: as if it were not there.
Response Controller::answerUnforwarded(const Report& report) {
  ReportView v = heartbeatView(report);
  if (v.leads) return serveReport(report, std::nullopt);
  v.leader.reset();
  return answerLocally(report, routeReport(v));
}

// Answers without the leader.
Response Controller::answerLocally(const Report& report, const Route& route) {
  if (route.way == Way::leaseOnly) return leaseOnlyResponse(report);
  return redirect(report, route.to);
}

ReportView Controller::heartbeatView(const Report& report) const {
  ReportView v;
  v.now = runtime_.now();
  v.leads = leader_ && election_.leads();
  v.keyLife = kLeaseLife;
  v.renewUntil = renewUntil();
  v.contactAge = watcher_.contactAge();
  v.known = lastToken_;
  v.reported = report.token;
  v.foreignZone = report.zone != platform_.zone;
  v.lease = platform_.workerLease;
  if (auto away = redirectedAt_.find(report.machine); away != redirectedAt_.end()) {
    v.sentAwayAgo = v.now - away->second;
  }
  if (const PeerStatus* leader = peerMembership_.newestLeader(kPeerPresence)) {
    v.leader = leader->member;
    v.leaderRelays = leader->supportsForwarding && relay_.failingFor(leader->member) < kRelayDoubt;
    v.leaderHears = !leader->hasLostWorkers;
  }
  v.isolated = !peerMembership_.anyReachable(kPeerPresence) && v.contactAge >= kAnswersAloneAfter;
  Instant cutOff = std::max(lastPeer_, v.now - v.contactAge);
  v.zonesReach = lastForeignWorker_ > cutOff + Duration{500} &&
                 v.now - lastForeignWorker_ < 2 * platform_.reportEvery + Duration{3000};
  if (!v.leader) addUnreachableLeader(report, v);
  return v;
}

// What the view has of a holder of the leader key that is not heard.
void Controller::addUnreachableLeader(const Report& report, ReportView& v) const {
  const auto& holder = replica_.leader();
  if (v.contactAge >= kAnswersAloneAfter || !holder || holder->member == platform_.member ||
      !leaderUnreachableSince_) {
    return;
  }
  v.holder = holder->member;
  v.holderUnheard = v.now - *leaderUnreachableSince_;
  // One that has just come from a tour has spent most of its lease: it is answered here first (16
  // of 24 replicas were left where it was sent on another tour at once).
  auto here = answered_.all().find(report.machine);
  bool fresh = here != answered_.all().end() &&
               v.now - here->second < platform_.reportEvery * 5 / 4 + Duration{1500};
  v.mayPoint = scouts_.may(*v.holder, report.tasks.empty(), v.now) &&
               (fresh || report.tasks.empty() || !mayRenewAlone(v));
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
    scouts_.sent(*to, report.machine, runtime_.now());
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
  if (via) workerLine_.heard(report.address, via);
  return leader_->onReport(report, watcher_.contactAge() < kStoreSilent);
}

}  // namespace kestrelhoist
