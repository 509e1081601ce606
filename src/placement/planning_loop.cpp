#include "placement/planning_loop.hpp"

#include <algorithm>
#include <iterator>

#include "base/log.hpp"
#include "policy/policy_state.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kPlanGap{50};  // between a plan's end and the next one, at least
constexpr int kPlanShare = 4;     // and this many times what the last one took
}  // namespace

Duration PlanningLoop::bootTime() const {
  Duration boot{0};
  for (const auto& type : context_.catalogue->types) boot = std::max(boot, type.boot * 3 / 2);
  return boot;
}

bool PlanningLoop::start() {
  Instant now = context_.runtime.now();
  if (!context_.planInvalidated || !mayPlace() || now < nextPlan_) return false;
  context_.planInvalidated = false;
  PlanInput input = buildPlanInput();
  if (input.jobs.empty()) {
    unplaced_.clear();
    pendingReasons_.end(now);
    return false;
  }
  planner_.run(std::move(input), context_.whileLeading([this, now](PlanInput in, Plan plan) {
    // Answers to workers and users come first: planning gets a share of the time.
    Instant end = context_.runtime.now();
    nextPlan_ = end + std::max(kPlanGap, kPlanShare * (end - now));
    context_.runtime.after(nextPlan_ - end,
                           context_.whileLeading([this] { context_.scheduleCycle(); }));
    applyPlan(in, plan);
  }));
  return true;
}

// What the planner needs to know: as on record, less what is proven to have ended since.
PlanInput PlanningLoop::buildPlanInput() {
  pendingReasons_.begin();
  Instant now = context_.runtime.now();
  PlanInput in;
  in.maxJobs = context_.platform.transactionOps;
  in.nowMs = context_.runtime.wallMillis();
  Priority highest = Priority::low;
  std::map<ZoneId, std::uint32_t> zones;
  auto zoneNumber = [&](const ZoneId& z) {
    return zones.try_emplace(z, static_cast<std::uint32_t>(zones.size())).first->second;
  };
  for (const auto& z : context_.platform.zones) zoneNumber(z);
  bool guarantees = false;
  std::vector<const JobState*> states;
  for (const auto& [id, job] : context_.replica.live()) {
    if (!job->active() || !job->record.spec) continue;
    // No part of its team's limit or guarantee, and no demand: what is about to be ready is.
    if (job->blockedOnDependencies()) {
      pendingReasons_.note(id, PendingReason::dependencies, job->tasks);
      continue;
    }
    std::uint32_t waiting = job->waiting();
    auto lost = outcomes_.requeued().find(id);
    std::uint32_t again = lost == outcomes_.requeued().end() ? 0 : lost->second;
    waiting += again;
    if (waiting == 0) continue;
    if (auto pause = outcomes_.pausedUntil(id); pause && now < *pause) {
      pendingReasons_.note(
          id, outcomes_.refused(id) ? PendingReason::refused : PendingReason::errors, waiting);
      continue;
    }
    // A job that fails wherever it goes: few tasks at a time, and no demand beyond these.
    auto trials = outcomes_.trialsLeft(id, *job);
    if (trials && *trials < waiting) {
      pendingReasons_.note(id, PendingReason::errors, waiting - *trials);
      waiting = *trials;
    }
    if (waiting == 0) continue;
    PlanJob j;
    j.spec = job->orderedSpec();
    j.acceptedAtMs = job->readyAtMs();
    j.waiting = waiting;
    if (context_.effectivePolicy) {
      j.protectedService = context_.effectivePolicy->protects(*j.spec);
      j.priorityAdjustment = context_.effectivePolicy->priorityAdjustment(*j.spec);
    }
    j.placed =
        job->placed.size() > again ? static_cast<std::uint32_t>(job->placed.size()) - again : 0;
    j.suspect = trials.has_value();
    j.begun = job->finishedCount > 0;
    j.image = job->image;
    j.team = job->team;
    j.modRevision = job->modRevision;
    j.remainingS = toSeconds(j.spec->estimate) *
                   static_cast<double>(job->tasks - std::min(job->tasks, job->finishedCount));
    if (j.spec->zone) j.zone = zoneNumber(*j.spec->zone);
    highest = std::max(highest, j.spec->priority);
    in.jobs.push_back(std::move(j));
    states.push_back(job);
  }
  if (in.jobs.empty()) return in;
  // Room may have to be gathered for what has waited for long (Planner::gather).
  bool reserves = std::any_of(in.jobs.begin(), in.jobs.end(), [&](const PlanJob& j) {
    return j.spec->kind != JobKind::service &&
           in.nowMs - j.acceptedAtMs >= in.queue.agingThreshold.count();
  });
  in.teams.resize(context_.replica.teams());
  in.teamKnown.resize(in.teams.size());
  in.used.resize(in.teams.size());
  for (const auto& [id, team] : context_.platform.teams) {
    auto n = context_.replica.teamNumber(id);
    if (n >= in.teams.size()) continue;  // has no jobs
    in.teams[n] = team;
    in.teamKnown[n] = true;
    guarantees = guarantees || team.guaranteed.cpus > 0 || team.guaranteed.gpus > 0;
  }
  std::map<MachineId, std::size_t> index;
  in.machines.reserve(context_.replica.machines().size());
  for (const auto& [id, record] : context_.replica.machines()) {
    const Machine* m = fleet_.find(id);
    const MachineType* type = context_.catalogue->find(record.type);
    PlanMachine p;
    p.id = id;
    p.type = record.type;
    p.zone = zoneNumber(record.zone);
    p.spot = record.spot;
    p.keptForImage = context_.effectivePolicy && context_.effectivePolicy->keepsWarm(id);
    p.usable = type && m && fleet_.usable(*m, now) && !fleet_.cordoned().contains(id);
    if (type) {
      p.capacity = type->capacity;
      p.fetchGbPerS = type->fetchGbPerS;
    }
    p.free = p.soon = p.capacity;
    if (p.usable) {
      p.images.reserve(static_cast<std::size_t>(std::ranges::distance(m->images)) + 1);
      for (const auto& image : m->images) p.images.push_back({image.id, image.gb, image.fetched});
    }
    for (const auto& t : record.tasks) {
      if (m && m->session.outcomes.contains(t.id)) continue;
      const auto& spec = t.job->orderedSpec();
      if (!spec) continue;
      in.used[t.job->team] += spec->perTask;
      p.free -= spec->perTask;
      bool stopping = (m && m->session.stopRequests.contains(t.id)) || !t.job->active();
      if (!stopping) p.soon -= spec->perTask;
      if (!p.usable) continue;
      if (reserves && spec->kind != JobKind::service) {
        auto seen = m->firstSeenRunning.find(t.id);
        double ran = seen == m->firstSeenRunning.end() ? 0 : toSeconds(now - seen->second);
        // One that runs for longer than its owner thought is taken to need as long again.
        double whole = toSeconds(spec->estimate);
        p.ends.push_back({ran < whole ? whole - ran : std::max(1.0, whole / 2), spec->perTask});
      }
      if (std::none_of(p.images.begin(), p.images.end(),
                       [&](const PlanImage& i) { return i.id == t.job->image; })) {
        p.images.push_back({t.job->image, spec->imageGb, false});
      }
      // A protected service is stopped for nobody's sake, though its rank would allow it.
      bool kept = context_.effectivePolicy && context_.effectivePolicy->protects(*spec);
      if (kept) p.protectedShare += spec->perTask.shareOf(p.capacity);
      if (!stopping && !kept && (guarantees || spec->priority < highest)) {
        auto seen = m->firstSeenRunning.find(t.id);
        p.stoppable.push_back(
            {t.id, spec, t.job->team,
             seen == m->firstSeenRunning.end() ? Duration{0} : now - seen->second});
      }
    }
    index.emplace_hint(index.end(), id, in.machines.size());
    in.machines.push_back(std::move(p));
  }
  for (auto& j : in.jobs) {
    for (const auto& id : fleet_.failureAttribution().avoids(j.spec->id)) {
      if (auto at = index.find(id); at != index.end()) j.failedOn.insert(at->second);
    }
  }
  if (context_.effectivePolicy) limitYieldingJobs(in);
  in.zones = zones.size();
  for (std::size_t j = 0; j < in.jobs.size(); ++j) {
    in.jobs[j].perZone.resize(in.zones);
    const JobSpec& spec = *in.jobs[j].spec;
    if (!spec.spread && !spec.oneZone && spec.kind != JobKind::service) continue;
    for (const auto& [task, placed] : states[j]->placed) {
      auto at = index.find(placed.machine);
      if (at == index.end() || outcomes_.find({{spec.id, task}, placed.attempt})) continue;
      ++in.jobs[j].perZone[in.machines[at->second].zone];
      if (spec.kind == JobKind::service) ++in.jobs[j].siblings[at->second];
    }
  }
  return in;
}

// Work that yields holds what those who go first leave; before they come, none is begun that would
// outlast their coming, unless it saves.
void PlanningLoop::limitYieldingJobs(PlanInput& in) const {
  double machines = 0;
  Resources whole;
  for (const auto& m : in.machines) {
    if (!m.usable) continue;
    ++machines;
    if (m.capacity.cpus > whole.cpus) whole = m.capacity;
  }
  std::vector<std::size_t> yields;
  std::vector<YieldingJob> shares;
  for (std::size_t i = 0; i < in.jobs.size(); ++i) {
    PlanJob& j = in.jobs[i];
    double share = j.spec->perTask.shareOf(whole);
    if (j.priorityAdjustment < 0) {
      yields.push_back(i);
      shares.push_back({share, j.waiting, j.placed});
    } else if (auto until = context_.effectivePolicy->untilYielding(*j.spec);
               until && !j.spec->checkpoints() && j.spec->estimate > *until) {
      j.most = std::max(j.placed, 1U);  // begun, as every job
    }
  }
  if (yields.empty()) return;
  // What yields and waits for nothing holds its part, too.
  double others = 0, first = 0;
  for (const auto& [id, job] : context_.replica.live()) {
    if (!job->active() || !job->record.spec) continue;
    int standing = context_.effectivePolicy->priorityAdjustment(*job->record.spec);
    double share = job->record.spec->perTask.shareOf(whole);
    auto placed = static_cast<double>(job->placed.size());
    if (standing > 0)
      first += share * (placed + (job->blockedOnDependencies() ? 0 : job->waiting()));
    if (standing < 0 && job->waiting() == 0) others += share * placed;
  }
  auto may = context_.effectivePolicy->machinesForYielding(machines, first);
  if (!may) return;
  auto most = shareAmong(shares, *may - others);
  for (std::size_t i = 0; i < yields.size(); ++i) in.jobs[yields[i]].most = most[i];
}

void PlanningLoop::applyPlan(const PlanInput& input, const Plan& plan) {
  unplaced_.clear();
  for (std::size_t j = 0; j < input.jobs.size(); ++j) {
    const JobSpec& spec = *input.jobs[j].spec;
    std::uint32_t wants = plan.unplaced[j];
    // What yields is demand like any other: where machines can be had, room is rented for it beside
    // that of those who go first. What only waits for an opening to pass is none, but shortly
    // before a close.
    bool yields = input.jobs[j].priorityAdjustment < 0;
    if (plan.withheld[j] > 0 && (yields || context_.effectivePolicy->returnsWithin(bootTime()))) {
      wants += plan.withheld[j];
    }
    if (wants > 0) unplaced_[spec.id] = wants;
    pendingReasons_.note(spec.id, PendingReason::preemption, plan.clearing[j]);
    pendingReasons_.note(spec.id, PendingReason::writeQueue, plan.later[j]);
    pendingReasons_.note(spec.id, PendingReason::policy, plan.withheld[j]);
    if (plan.unplaced[j] > 0) {
      pendingReasons_.note(spec.id,
                           plan.overLimit[j] ? PendingReason::quota
                           : resourcesReason ? resourcesReason(spec)
                                             : PendingReason::resources,
                           plan.unplaced[j]);
    }
  }
  pendingReasons_.end(context_.runtime.now());
  std::set<MachineId> told;
  for (const auto& stop : plan.stops) {
    logInfo("task to be stopped for more important work", "task", stop.id.str(), "machine",
            stop.machine);
    fleet_.requestStop(stop.id, stop.machine, stop.grace);
    told.insert(stop.machine);
  }
  for (const auto& m : told) dispatcher_.sendCommands(m);
  if (plan.deferred) context_.planInvalidated = true;
  context_.finishStep(plan.placements.empty() ? std::nullopt : tasks_.commit(&input, &plan));
}

}  // namespace kestrelhoist
