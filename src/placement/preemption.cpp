#include "placement/preemption.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

// The unit of these costs is roughly a second.
// A machine without the image costs this much in addition to the time of the fetch.
constexpr double kFetchOverhead = 20.0;
constexpr double kStopOverhead = 10.0;
// At most this much lost work is counted for one stopped task.
constexpr double kMaxLostWork = 300.0;
// Preempting tasks on a machine that has the image must not cost more than this many fetches of
// the image plus one stop.
constexpr double kMaxCostInFetches = 2.0;

double stopCost(const PlanTask& task) {
  double lostS = task.spec->checkpoints() ? toSeconds(task.spec->saveTime) : toSeconds(task.age);
  return kStopOverhead + std::min(kMaxLostWork, lostS);
}

// Orders tasks for stopping: the lowest priority first and, within a priority, the youngest first,
// because it loses the least work.
bool stoppedBefore(const PlanTask* a, const PlanTask* b) {
  if (a->spec->priority != b->spec->priority) return a->spec->priority < b->spec->priority;
  return a->age < b->age;
}

}  // namespace

Preemption::Preemption(const PlanInput& input, PlanState& state, JobPlacement& placement,
                       const std::vector<std::size_t>& machinesWithStoppableTasks)
    : input_(input),
      state_(state),
      placement_(placement),
      machinesWithStoppableTasks_(machinesWithStoppableTasks) {}

bool Preemption::freeResources(PreemptionTarget target) {
  if (placement_.job().suspect) return false;
  CandidateQueue& candidates = candidatesFor(target);
  while (!candidates.empty()) {
    MachineCandidate best = candidates.top();
    candidates.pop();
    auto option = preemptionOptionFor(best.machine, target);
    if (!option) continue;
    // Costs change as resources are allocated, so the machine is taken only if it is still the
    // cheapest one.
    MachineCandidate now{-option->cost, best.machine};
    bool costsMore =
        now.value < best.value && !candidates.empty() && now.value < candidates.top().value;
    if (!costsMore) apply(best.machine, option->victims);
    candidates.push(now);
    if (!costsMore) return true;
  }
  return false;
}

// Returns the machines on which resources can be freed, the cheapest first. The first call for a
// target collects them.
CandidateQueue& Preemption::candidatesFor(PreemptionTarget target) {
  auto& candidates = candidates_[target == PreemptionTarget::machinesWithImage ? 1 : 0];
  if (candidates) return *candidates;
  candidates.emplace();
  for (auto m : machinesWithStoppableTasks_) {
    if (auto option = preemptionOptionFor(m, target)) candidates->push({-option->cost, m});
  }
  return *candidates;
}

// Returns whether tasks may be stopped on the machine for this job. If the target requires the
// image, a machine with enough free resources is excluded: the planner has preferred another
// machine to it, and resources that are only set aside on it would keep the task waiting.
bool Preemption::isCandidate(std::size_t machine, PreemptionTarget target) const {
  if (!placement_.allowed(machine)) return false;
  if (placement_.job().failedOn.contains(machine)) return false;
  if (target == PreemptionTarget::anyMachine) return true;
  return placement_.holdsImage(machine) && !placement_.fits(machine);
}

std::optional<Preemption::PreemptionOption> Preemption::preemptionOptionFor(
    std::size_t machine, PreemptionTarget target) const {
  if (!isCandidate(machine, target)) return std::nullopt;
  const Resources& needed = placement_.spec().perTask;
  Resources available = state_.freeAfterStops[machine];
  PreemptionOption option;
  if (!placement_.holdsImage(machine)) {
    option.cost = kFetchOverhead + placement_.fetchSeconds(machine);
  }
  if (!needed.fitsIn(available)) {
    for (const PlanTask* task : stoppableOn(machine)) {
      if (needed.fitsIn(available)) break;
      available += task->spec->perTask;
      option.victims.push_back(task);
      option.cost += stopCost(*task);
    }
    if (!needed.fitsIn(available)) return std::nullopt;
  }
  double maxCost = kStopOverhead + kMaxCostInFetches * placement_.fetchSeconds(machine);
  if (target == PreemptionTarget::machinesWithImage && option.cost > maxCost) return std::nullopt;
  return option;
}

// Returns the tasks on the machine that may be stopped for this job, in the order of stopping.
Preemption::Victims Preemption::stoppableOn(std::size_t machine) const {
  bool guaranteed = placement_.withinGuarantee();
  Victims out;
  for (const auto& task : input_.machines[machine].stoppable) {
    if (!state_.stopped.contains(task.id) && mayStop(guaranteed, task)) out.push_back(&task);
  }
  std::sort(out.begin(), out.end(), stoppedBefore);
  return out;
}

// Returns whether `task` may be stopped for this job: either its priority is lower, or its team
// uses more than its guarantee while this job's team stays within its own (`guaranteed`).
bool Preemption::mayStop(bool guaranteed, const PlanTask& task) const {
  if (task.spec->priority < placement_.spec().priority) return true;
  if (!guaranteed || task.team == placement_.job().team) return false;
  return exceedsGuarantee(state_.used[task.team], input_.teams[task.team].guaranteed);
}

void Preemption::apply(std::size_t machine, const Victims& victims) {
  for (const PlanTask* task : victims) {
    state_.plan.stops.push_back({task->id, input_.machines[machine].id, graceFor(*task->spec)});
    state_.stopped.insert(task->id);
    state_.freeAfterStops[machine] += task->spec->perTask;
  }
  state_.freeAfterStops[machine] -= placement_.spec().perTask;
  placement_.book(machine);
}

}  // namespace kestrelhoist
