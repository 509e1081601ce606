// Workers' reports and what peers ask of each other: which way each goes is decided in src/reach.
#include "app/controller.hpp"

namespace kestrelhoist {

// A worker that nobody answers any more is known by when it was answered last: else a new leader
// counts its silence from its own first moment, and its tasks are long over before it is given up.
void Controller::askPeersForAnswered() {
  for (const auto& peer : platform_.peers) {
    mesh_.send(peer.member, {"POST", "/mesh/answered", encodeBody(Json::object())}, Duration{2000},
               [this, token = election_.token()](const std::optional<Response>& r) {
                 if (!leader_ || leader_->token() != token || !r || r->status != 200) return;
                 auto body = decodeBody(r->body);
                 if (!body) return;
                 for (const auto& [machine, at] : Answered::from(*body, runtime_.now())) {
                   leader_->fleet().answeredElsewhere(machine, at);
                 }
               });
  }
}

std::optional<Instant> Controller::renewUntil() const {
  if (!feed_.loaded()) return std::nullopt;
  Instant asOf = feed_.recordsAsOf();
  // Running work need not end when nobody can have told of a cancellation that is not known here.
  // Own commits that were not read back yet may hide placements, and a flow's are not effective
  // yet.
  if (auto told = witnesses_.recordsAsOf();
      told && *told > asOf && feed_.contactAge() > kStoreSilent &&
      replica_.newestCancellation() <= replica_.cursor() && !replica_.cancelsUnderWay()) {
    asOf = *told;
  }
  return renewal_.until(asOf);
}

bool Controller::mayRenew() const {
  auto until = renewUntil();
  return until && runtime_.now() <= *until;
}

ReportView Controller::reportView(const Report& report) const {
  ReportView v;
  v.now = runtime_.now();
  v.leads = leader_ && election_.leads();
  v.keyLife = kLeaseLife;
  v.renewUntil = renewUntil();
  v.contactAge = feed_.contactAge();
  v.known = lastToken_;
  v.reported = report.token;
  v.foreignZone = report.zone != platform_.zone;
  v.lease = platform_.workerLease;
  if (auto away = sentAway_.find(report.machine); away != sentAway_.end()) {
    v.sentAwayAgo = v.now - away->second;
  }
  Token newest;
  bool anyPeer = false;
  for (const auto& peer : platform_.peers) {
    const auto* seen = mesh_.heard(peer.member, kMeshHeard);
    anyPeer = anyPeer || seen;
    if (!seen || !seen->leading || seen->token < newest) continue;
    newest = seen->token;
    v.leader = peer.member;
    v.leaderRelays = seen->relays && relay_.failingFor(peer.member) < kRelayDoubt;
    v.leaderHears = !seen->deaf;
  }
  v.isolated = !anyPeer && v.contactAge >= kStandInAfter;
  Instant cutOff = std::max(lastPeer_, v.now - v.contactAge);
  v.zonesReach = lastForeign_ > cutOff + Duration{500} &&
                 v.now - lastForeign_ < 2 * platform_.reportEvery + Duration{3000};
  if (!v.leader && v.contactAge < kStandInAfter && replica_.leader() &&
      replica_.leader()->member != platform_.member && holderUnheardSince_) {
    v.holder = replica_.leader()->member;
    v.holderUnheard = v.now - *holderUnheardSince_;
    // One that has just come from a tour has spent most of its lease: it is answered here first (16
    // of 24 replicas were left where it was sent on another tour at once).
    auto here = answered_.all().find(report.machine);
    bool fresh = here != answered_.all().end() &&
                 v.now - here->second < platform_.reportEvery * 5 / 4 + Duration{1500};
    v.mayPoint = scouts_.may(*v.holder, report.tasks.empty(), v.now) &&
                 (fresh || report.tasks.empty() || !mayRenewAlone(v));
  }
  return v;
}

// A worker keeps its lease while no leader can be asked, under the token that it and this
// controller know. Nothing is launched or cleared, and nothing is proven by it. Tasks of jobs that
// are known to be over are stopped, those included that it may still be told to launch: whoever
// keeps leases up must not keep up what was cancelled.
Response Controller::leaseOnlyAnswer(const Report& report) const {
  auto end = [this](const JobId& id) {
    const auto* job = replica_.job(id);
    if (!job || job->active()) return JobEnd::none;
    return job->stamp <= replica_.cursor() ? JobEnd::known : JobEnd::notReadBack;
  };
  return jsonResponse(
      200,
      ordersToJson(lastToken_, leaseOnlyOrders(report, replica_.machine(report.machine), end)));
}

Response Controller::sendAway(const Report& report, const std::optional<MemberId>& to) {
  sentAway_[report.machine] = runtime_.now();
  if (to && replica_.leader() && *to == replica_.leader()->member &&
      !mesh_.heard(*to, kMeshHeard)) {
    scouts_.sent(*to, report.machine, runtime_.now());
  }
  Json body = Json::object();
  if (to) body["steward"] = to->value;
  return jsonResponse(421, body);
}

void Controller::onBeat(const Request& request, const Respond& respond) {
  auto body = decodeBody(request.body);
  auto report = body ? reportFrom(*body) : std::nullopt;
  if (!report) return respond(jsonResponse(400, {{"error", "not a report"}}));
  Instant came = lastWorker_ = runtime_.now();
  if (report->zone != platform_.zone) lastForeign_ = came;
  scouts_.reported(report->machine, came);
  workerLine_.heard(report->address, std::nullopt);
  auto answer = [this, came, machine = report->machine, respond](Response r) {
    if (r.status == 200) answered_.note(machine, came);
    respond(std::move(r));
  };
  auto go = [this, answer](const Report& report, const Route& route) {
    switch (route.way) {
      case Way::leaseOnly:
        return answer(leaseOnlyAnswer(report));
      case Way::sendTo:
      case Way::refuse:
      default:
        return answer(sendAway(report, route.to));
    }
  };
  Route route = routeReport(reportView(*report));
  if (route.way == Way::serve) return answer(serveReport(*report, std::nullopt));
  if (route.way != Way::relay) return go(*report, route);
  relay_.pass(*route.to, request.body,
              [this, answer, go, report = *report](const std::optional<Response>& r) {
                if (r) return answer(*r);
                // Asked in vain: as if the leader were not there.
                ReportView v = reportView(report);
                if (v.leads) return answer(serveReport(report, std::nullopt));
                v.leader.reset();
                go(report, routeReport(v));
              });
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
  return leader_->onReport(report, feed_.contactAge() < kStoreSilent);
}

// What peers ask whose own links fail.
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
      auto report = reportFrom(item);
      if (!report) return jsonResponse(400, {{"error", "not a report"}});
      return serveReport(*report, via);
    }));
  } else if (auto job = below("/mesh/why")) {
    respond(leader_ ? jsonResponse(200, leader_->why(JobId{job->path.substr(1)}))
                    : jsonResponse(409, {{"error", "does not lead"}}));
  } else if (request.path == "/mesh/answered") {
    respond(jsonResponse(200, answered_.toJson(runtime_.now())));
  } else if (auto state = below("/mesh/state")) {
    stateWay_.serve(*state, respond);
  } else if (auto cloud = below("/mesh/cloud")) {
    cloudWay_.serve(*cloud, respond);
  } else if (auto worker = below("/mesh/worker")) {
    auto slash = worker->path.find('/', 1);
    if (slash == std::string::npos) return false;
    std::string address = worker->path.substr(1, slash - 1);
    worker->path = worker->path.substr(slash);
    workerLine_.serve(address, *worker, respond);
  } else {
    return false;
  }
  return true;
}

}  // namespace kestrelhoist
