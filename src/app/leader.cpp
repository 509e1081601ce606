#include "app/leader.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTick{250};
constexpr std::size_t kWaitingPerJob = 256;  // tasks of one job in one plan
constexpr double kLeaderWriteShare = 0.7;    // the rest is for users' requests
constexpr Duration kDirectTimeout{3000};
constexpr std::size_t kBytesPerTask = 48;  // of a machine's record, generously
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
  fleet_.judge(since_, catalogue_ ? &*catalogue_ : nullptr);
  tick();
}

void Leader::tick() {
  s_.runtime.after(kTick, guard([this] { tick(); }));
  Instant now = s_.runtime.now();
  if (!settled_) {
    // DESIGN: a new leader waits one full report round before placing or giving back.
    Duration round = s_.platform.reportEvery * 5 / 4 + Duration{500};
    if (now - since_ >= round) {
      settled_ = true;
      loadForecasts();
      spdlog::info("report round over: {} machines known", fleet_.machines().size());
    }
  }
  if (!catalogue_) readTypes();
  fleet_.adoptRecords(now, s_.runtime.wallMillis());
  fleet_.judge(now, catalogue_ ? &*catalogue_ : nullptr);
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

void Leader::kick() {
  if (kicked_) return;
  kicked_ = true;
  s_.runtime.after(Duration{5}, guard([this] {
                     kicked_ = false;
                     cycle();
                   }));
}

// One commit or one plan at a time: what a commit changes is on record before the next decision.
void Leader::cycle() {
  if (busy_ || !s_.feed.reachable()) return;
  if (auto p = nextFacts()) return commit(std::move(*p));
  if (auto p = nextRelease()) return commit(std::move(*p));
  if (planDirty_ && mayPlace()) {
    planDirty_ = false;
    PlanInput input = picture();
    if (input.jobs.empty()) {
      unplaced_.clear();
    } else {
      busy_ = true;
      s_.planner.run(std::move(input), guard([this](PlanInput in, Plan plan) {
                       busy_ = false;
                       onPlan(in, plan);
                     }));
      return;
    }
  }
  if (auto p = nextHire()) return commit(std::move(*p));
  if (auto p = nextOther()) return commit(std::move(*p));
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
  const Machine& m = *fleet_.find(report.machine);
  if (!wasUsable && fleet_.usable(m, now)) {
    planDirty_ = true;
    kick();
  }
  if (!m.memory.gone.empty()) kick();
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

PlanInput Leader::picture() {
  Instant now = s_.runtime.now();
  PlanInput in;
  in.teams = s_.platform.teams;
  in.maxMachines = s_.platform.transactionOps;
  for (const auto& [id, job] : s_.replica.live()) {
    if (!job->active() || !job->record.spec) continue;
    if (auto pause = pauses_.find(id); pause != pauses_.end() && now < pause->second.until)
      continue;
    auto count =
        job->tasks - std::min<std::size_t>(job->tasks, job->finishedCount + job->placed.size());
    if (count == 0) continue;
    PlanJob j;
    j.spec = job->record.spec;
    j.acceptedAtMs = job->record.acceptedAtMs;
    j.waitingCount = static_cast<std::uint32_t>(count);
    j.stamp = job->stamp;
    j.remainingS = toSeconds(j.spec->estimate) *
                   static_cast<double>(job->tasks - std::min(job->tasks, job->finishedCount));
    std::size_t most = j.spec->kind == JobKind::gang ? kMaxTasks : kWaitingPerJob;
    for (std::uint32_t i = 0; i < job->tasks && j.waiting.size() < most; ++i) {
      if (i % TaskBits::kPerChunk == 0) {
        auto chunk = job->finished.find(i / TaskBits::kPerChunk);
        if (chunk != job->finished.end() && chunk->second.count() == TaskBits::kPerChunk) {
          i += TaskBits::kPerChunk - 1;
          continue;
        }
      }
      if (!job->isFinished(i) && !job->placed.contains(i)) j.waiting.push_back(i);
    }
    for (const auto& [index, placed] : job->placed) {
      if (const auto* m = s_.replica.machine(placed.machine)) ++j.perZone[m->zone];
    }
    in.jobs.push_back(std::move(j));
  }
  if (in.jobs.empty()) return in;
  // Machines on record that have never reported still count for quotas.
  for (const auto& [id, m] : fleet_.machines()) {
    const MachineType* type = catalogue_->find(m.type);
    const auto* record = s_.replica.machine(id);
    PlanMachine p;
    p.id = id;
    p.type = m.type;
    p.zone = m.zone;
    p.spot = m.spot;
    p.usable = type && fleet_.usable(m, now);
    if (type) p.room = type->room;
    std::size_t tasks = record ? record->tasks.size() : 0;
    std::size_t most = (s_.platform.valueBytes - 512) / kBytesPerTask;
    p.slots = most > tasks ? most - tasks : 0;
    p.stamp = s_.replica.stampOf(keys::machine(id));
    if (type) p.fetchGbPerS = type->fetchGbPerS;
    for (const auto& image : m.images) {
      p.images.insert(image.id);
      if (image.held) p.held.insert(image.id);
    }
    if (record) {
      for (const auto& t : record->tasks) {
        const auto* job = s_.replica.job(t.task.job);
        if (!job || !job->record.spec) continue;
        auto seen = m.seenRunning.find(t);
        p.tasks.push_back({t, job->record.spec, m.memory.stops.contains(t) || !job->active(),
                           seen == m.seenRunning.end() ? Duration{0} : now - seen->second});
        p.images.insert(job->record.spec->image);
      }
    }
    in.machines.push_back(std::move(p));
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
  if (auto p = placementsOf(input, plan)) return commit(std::move(*p));
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
                 if (!machine->memory.gone.empty()) kick();
               }));
}

}  // namespace kestrelhoist
