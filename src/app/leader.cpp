#include "app/leader.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTick{250};
constexpr std::int64_t kTicksPerJudgement = 2;
constexpr Duration kPlanGap{50};           // between a plan's end and the next one, at least
constexpr int kPlanShare = 4;              // and this many times what the last one took
constexpr double kLeaderWriteShare = 0.7;  // the rest is for users' requests
constexpr Duration kDirectTimeout{3000};
constexpr Duration kAskTimeout{1500};
}  // namespace

Leader::Leader(Services services, Token token)
    : s_(services),
      token_(token),
      since_(s_.runtime.now()),
      fleet_(s_.platform, s_.replica, token, since_),
      writes_(s_.platform.stateWritesPerS * kLeaderWriteShare,
              std::max<double>(s_.platform.stateWritesPerS * kLeaderWriteShare,
                               static_cast<double>(s_.platform.transactionOps))),
      random_(token.value) {
  spdlog::info("leading with token {}", token_.value);
  windowEnds_ = since_ + s_.settings.window;
  if (s_.replica.catalogue()) catalogue_ = catalogueFrom(*s_.replica.catalogue());
  fleet_.adoptRecords(since_, s_.runtime.wallMillis());
  fleet_.judge(since_, catalogue_ ? &*catalogue_ : nullptr, s_.standIn);
  tick();
}

void Leader::tick() {
  s_.runtime.after(kTick, guard([this] { tick(); }));
  Instant now = s_.runtime.now();
  if (!settled_) {
    if (roundOver()) {
      settled_ = true;
      loadForecasts();
      spdlog::info("report round over: {} machines known", fleet_.machines().size());
    }
  }
  if (!catalogue_) readTypes();
  if (++ticks_ % kTicksPerJudgement == 0) {
    fleet_.adoptRecords(now, s_.runtime.wallMillis());
    fleet_.judge(now, catalogue_ ? &*catalogue_ : nullptr, s_.standIn);
    askOverdue();
  }
  if (now >= nextList_ && !listing_) readList();
  startReleases();
  startHires();
  if (settled_ && catalogue_) {
    if (now >= windowEnds_) {
      turnWindow();
    } else if (now >= nextRentCheck_) {
      decideRenting(false);
    }
  }
  planDirty_ = true;  // pauses and patience end with time
  kick();
}

// DESIGN: a new leader waits one full report round before placing or giving back. Where reports
// come seldom it asks for them: the round is over when each machine has reported or was asked in
// vain.
bool Leader::roundOver() const {
  Duration round = s_.platform.reportEvery * 5 / 4 + Duration{500};
  if (s_.runtime.now() - since_ >= round) return true;
  return askedAll_ && toAsk_.empty() && asking_.empty();
}

// With the first list, which tells the addresses of machines that this leader has not heard.
void Leader::askAll() {
  constexpr Duration kWorthAsking{3000};
  if (askedAll_ || settled_ || s_.platform.reportEvery < kWorthAsking) return;
  askedAll_ = true;
  for (const auto& [id, m] : fleet_.machines()) {
    if (!m.heard() && !m.address.empty() && m.listed == Listed::running) toAsk_.push_back(id);
  }
  spdlog::info("asking {} machines for their reports", toAsk_.size());
  struct Step {
    static void go(Leader& leader) {
      constexpr int kAtOnce = 24;
      constexpr Duration kPause{25};
      for (int i = 0; i < kAtOnce && !leader.toAsk_.empty(); ++i) {
        Machine* m = leader.fleet_.find(leader.toAsk_.front());
        leader.toAsk_.pop_front();
        if (m && !m->heard()) leader.ask(*m);
      }
      if (leader.toAsk_.empty()) return;
      leader.s_.runtime.after(kPause, leader.guard([&leader] { go(leader); }));
    }
  };
  Step::go(*this);
}

// Machines that should have reported by now: dead, or on their way to another node.
void Leader::askOverdue() {
  constexpr std::size_t kAtOnce = 32;
  Instant now = s_.runtime.now();
  if (!settled_) return;
  for (auto& [id, m] : fleet_.machines()) {
    if (asking_.size() >= kAtOnce) break;
    if (fleet_.overdue(m, now) && !m.address.empty()) ask(m);
  }
}

// A direct command without orders: shows the worker this leader's token and brings its report.
void Leader::ask(Machine& m) {
  if (!asking_.insert(m.id).second) return;
  Tenure tenure{1};
  if (m.heard()) {
    tenure = m.memory.last->tenure;
  } else if (const auto* record = s_.replica.machine(m.id)) {
    for (const auto& t : record->tasks) tenure = std::max(tenure, t.tenure);
  }
  Request request{"POST", "/commands", encodeBody(commandsToJson(token_, tenure, {}))};
  s_.http.send(m.address, std::move(request), kAskTimeout,
               guard([this, id = m.id](const std::optional<Response>& r) {
                 asking_.erase(id);
                 Machine* machine = fleet_.find(id);
                 if (!machine) return;
                 auto body = r && (r->status == 200 || r->status == 409) ? decodeBody(r->body)
                                                                         : std::nullopt;
                 auto report = body ? reportFrom(*body) : std::nullopt;
                 if (!report || report->machine != id) {
                   ++machine->askedInVain;
                   return;
                 }
                 if (!fleet_.take(*report, s_.runtime.now())) return;
                 // Only facts are taken from it; orders go with the next report.
                 fleet_.ordersFor(*machine, s_.runtime.now(), false);
                 noteFacts(*machine);
                 planDirty_ = true;
                 kick();
               }));
}

void Leader::kick() {
  if (kicked_) return;
  kicked_ = true;
  s_.runtime.after(Duration{5}, guard([this] {
                     kicked_ = false;
                     cycle();
                   }));
}

// One commit or one plan at a time: what a commit changes is on record before the next decision.
// The kinds of work take turns, so that none starves another however much there is of it.
void Leader::cycle() {
  if (busy_ || !s_.feed.reachable()) return;
  constexpr std::size_t kKinds = 5;
  for (std::size_t i = 0; i < kKinds; ++i) {
    std::size_t kind = (turn_ + i) % kKinds;
    std::optional<Pending> pending;
    switch (kind) {
      case 0:
        if (startPlan()) {
          turn_ = kind + 1;
          return;
        }
        break;
      case 1:
        pending = nextTasks(nullptr, nullptr);
        break;
      case 2:
        pending = nextReleases();
        break;
      case 3:
        pending = nextRentals();
        break;
      default:
        pending = nextOther();
    }
    if (pending) {
      turn_ = kind + 1;
      return commit(std::move(*pending));
    }
  }
}

bool Leader::startPlan() {
  Instant now = s_.runtime.now();
  if (!planDirty_ || !mayPlace() || now < nextPlan_) return false;
  planDirty_ = false;
  PlanInput input = picture();
  if (input.jobs.empty()) {
    unplaced_.clear();
    return false;
  }
  busy_ = true;
  s_.planner.run(std::move(input), guard([this, now](PlanInput in, Plan plan) {
                   busy_ = false;
                   // Answers to workers and users come first: planning gets a share of the time.
                   Instant end = s_.runtime.now();
                   nextPlan_ = end + std::max(kPlanGap, kPlanShare * (end - now));
                   s_.runtime.after(nextPlan_ - end, guard([this] { kick(); }));
                   onPlan(in, plan);
                 }));
  return true;
}

Response Leader::onReport(const Report& report, bool sure) {
  if (fleet_.isReleased(report.machine)) {
    // Gone for certain: this report was under way for long.
    return jsonResponse(503, {{"error", "released"}});
  }
  Instant now = s_.runtime.now();
  const Machine* before = fleet_.find(report.machine);
  bool wasUsable = before && fleet_.usable(*before, now);
  auto orders = fleet_.onReport(report, now, sure);
  Machine& m = *fleet_.find(report.machine);
  if (!wasUsable && fleet_.usable(m, now)) {
    planDirty_ = true;
    kick();
  }
  noteFacts(m);
  return jsonResponse(200, ordersToJson(token_, orders));
}

void Leader::onRecordsChanged() {
  planDirty_ = true;
  if (!catalogue_ && s_.replica.catalogue()) catalogue_ = catalogueFrom(*s_.replica.catalogue());
  // Tasks of jobs that were cancelled: told at once, and again with every report.
  std::set<MachineId> machines;
  for (const auto& [id, job] : s_.replica.live()) {
    if (job->active()) continue;
    for (const auto& [index, placed] : job->placed) {
      if (told_.insert({{id, index}, placed.attempt}).second) machines.insert(placed.machine);
    }
  }
  for (const auto& m : machines) push(m);
  kick();
}

bool Leader::mayPlace() const { return settled_ && catalogue_.has_value(); }

// What the planner needs to know: as on record, less what is proven to have ended since.
PlanInput Leader::picture() {
  Instant now = s_.runtime.now();
  PlanInput in;
  in.maxJobs = s_.platform.transactionOps;
  Priority highest = Priority::low;
  std::map<ZoneId, std::uint32_t> zones;
  auto zoneNumber = [&](const ZoneId& z) {
    return zones.try_emplace(z, static_cast<std::uint32_t>(zones.size())).first->second;
  };
  for (const auto& z : s_.platform.zones) zoneNumber(z);
  bool guarantees = false;
  std::vector<const JobState*> states;
  for (const auto& [id, job] : s_.replica.live()) {
    if (!job->active() || !job->record.spec) continue;
    std::size_t settled = job->finishedCount + job->placed.size();
    if (auto again = dueAgain_.find(id); again != dueAgain_.end()) settled -= again->second;
    if (settled >= job->tasks) continue;
    if (auto pause = pauses_.find(id); pause != pauses_.end() && now < pause->second.until)
      continue;
    PlanJob j;
    j.spec = job->record.spec;
    j.acceptedAtMs = job->record.acceptedAtMs;
    j.waiting = job->tasks - static_cast<std::uint32_t>(settled);
    j.image = job->image;
    j.team = job->team;
    j.stamp = job->stamp;
    j.remainingS = toSeconds(j.spec->estimate) *
                   static_cast<double>(job->tasks - std::min(job->tasks, job->finishedCount));
    if (j.spec->zone) j.zone = zoneNumber(*j.spec->zone);
    highest = std::max(highest, j.spec->priority);
    in.jobs.push_back(std::move(j));
    states.push_back(job);
  }
  if (in.jobs.empty()) return in;
  in.teams.resize(s_.replica.teams());
  in.teamKnown.resize(in.teams.size());
  in.used.resize(in.teams.size());
  for (const auto& [id, team] : s_.platform.teams) {
    auto n = s_.replica.teamNumber(id);
    if (n >= in.teams.size()) continue;  // has no jobs
    in.teams[n] = team;
    in.teamKnown[n] = true;
    guarantees = guarantees || team.guaranteed.cpus > 0 || team.guaranteed.gpus > 0;
  }
  std::map<MachineId, std::size_t> index;
  in.machines.reserve(s_.replica.machines().size());
  for (const auto& [id, record] : s_.replica.machines()) {
    const Machine* m = fleet_.find(id);
    const MachineType* type = catalogue_->find(record.type);
    PlanMachine p;
    p.id = id;
    p.type = record.type;
    p.zone = zoneNumber(record.zone);
    p.spot = record.spot;
    p.usable = type && m && fleet_.usable(*m, now) && !emptying_.contains(id);
    if (type) {
      p.room = type->room;
      p.fetchGbPerS = type->fetchGbPerS;
    }
    p.free = p.soon = p.room;
    if (p.usable) {
      p.images.reserve(m->images.size() + 1);
      for (const auto& image : m->images) p.images.push_back({image.id, image.gb, image.held});
    }
    for (const auto& t : record.tasks) {
      if (m && m->memory.gone.contains(t.id)) continue;
      const auto& spec = t.job->record.spec;
      if (!spec) continue;
      in.used[t.job->team] += spec->perTask;
      p.free -= spec->perTask;
      bool stopping = (m && m->memory.stops.contains(t.id)) || !t.job->active();
      if (!stopping) p.soon -= spec->perTask;
      if (!p.usable) continue;
      if (std::none_of(p.images.begin(), p.images.end(),
                       [&](const PlanImage& i) { return i.id == t.job->image; })) {
        p.images.push_back({t.job->image, spec->imageGb, false});
      }
      if (!stopping && (guarantees || spec->priority < highest)) {
        auto seen = m->seenRunning.find(t.id);
        p.stoppable.push_back({t.id, spec, t.job->team,
                               seen == m->seenRunning.end() ? Duration{0} : now - seen->second});
      }
    }
    index.emplace_hint(index.end(), id, in.machines.size());
    in.machines.push_back(std::move(p));
  }
  in.zones = zones.size();
  for (std::size_t j = 0; j < in.jobs.size(); ++j) {
    in.jobs[j].perZone.resize(in.zones);
    const JobSpec& spec = *in.jobs[j].spec;
    if (!spec.spread && !spec.oneZone && spec.kind != JobKind::service) continue;
    for (const auto& [task, placed] : states[j]->placed) {
      auto at = index.find(placed.machine);
      if (at == index.end() || factOf({{spec.id, task}, placed.attempt})) continue;
      ++in.jobs[j].perZone[in.machines[at->second].zone];
      if (spec.kind == JobKind::service) ++in.jobs[j].siblings[at->second];
    }
  }
  return in;
}

void Leader::onPlan(const PlanInput& input, const Plan& plan) {
  unplaced_.clear();
  for (std::size_t j = 0; j < input.jobs.size(); ++j) {
    if (plan.unplaced[j] > 0) unplaced_[input.jobs[j].spec->id] = plan.unplaced[j];
  }
  std::set<MachineId> told;
  for (const auto& stop : plan.stops) {
    spdlog::info("task {} on {}: to be stopped for more important work", stop.id.str(),
                 stop.machine.value);
    fleet_.requestStop(stop.id, stop.machine, stop.grace);
    told.insert(stop.machine);
  }
  for (const auto& m : told) push(m);
  if (plan.deferred) planDirty_ = true;
  if (!plan.placements.empty()) {
    if (auto p = nextTasks(&input, &plan)) return commit(std::move(*p));
  }
  kick();
}

// Sends a machine its orders now rather than with its next report.
void Leader::push(const MachineId& id) {
  Machine* m = fleet_.find(id);
  if (!m || !m->heard() || fleet_.isReleased(id)) return;
  Instant now = s_.runtime.now();
  if (now - m->memory.lastHeard > s_.platform.workerLease) return;
  auto orders = fleet_.ordersFor(*m, now, s_.feed.reachable());
  // A late `clear` could make the worker forget what a late launch then starts again.
  std::erase_if(orders, [](const Order& o) { return o.kind == Order::Kind::clear; });
  if (orders.empty()) return;
  for (const auto& o : orders) {
    if (o.kind == Order::Kind::launch) m->memory.tainted.insert(o.id);
  }
  Tenure tenure = m->memory.last->tenure;
  Request request{"POST", "/commands", encodeBody(commandsToJson(token_, tenure, orders))};
  s_.http.send(m->memory.last->address, std::move(request), kDirectTimeout,
               guard([this, id, orders, tenure](std::optional<Response> r) {
                 Machine* machine = fleet_.find(id);
                 if (!machine || !r) return;  // no answer: launches may still arrive
                 if (r->status != 200 && r->status != 409 && r->status != 400) return;
                 if (machine->memory.last && machine->memory.last->tenure == tenure) {
                   for (const auto& o : orders) machine->memory.tainted.erase(o.id);
                 }
                 if (r->status == 400) return;
                 auto body = decodeBody(r->body);
                 auto report = body ? reportFrom(*body) : std::nullopt;
                 if (!report || report->machine != id || !fleet_.take(*report, s_.runtime.now())) {
                   return;
                 }
                 // Only facts are taken from it; further orders go with the next report.
                 fleet_.ordersFor(*machine, s_.runtime.now(), false);
                 noteFacts(*machine);
               }));
}

}  // namespace kestrelhoist
