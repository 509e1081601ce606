#include "placement/planner.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "placement/job_placement.hpp"
#include "placement/machine_candidate.hpp"
#include "placement/machine_score.hpp"
#include "placement/plan_queue.hpp"
#include "placement/plan_state.hpp"
#include "placement/preemption.hpp"
#include "placement/reservations.hpp"

namespace kestrelhoist {
namespace {

// A task gets a little more time than its spec asks for, so that rounding does not cut off its
// save.
constexpr Duration kSaveTimeMargin{500};

// If fetching the image takes longer than this many seconds, the planner prefers to preempt less
// important tasks on a machine that has the image. A stop and a launch take about as long.
constexpr double kMinFetchSecondsToPreempt = 3.0;

// Returns the least that a task of any waiting job needs, separately for CPUs, GPUs and RAM.
Resources leastNeeded(const PlanInput& input) {
  constexpr double kUnbounded = std::numeric_limits<double>::infinity();
  Resources least{kUnbounded, kUnbounded, kUnbounded};
  for (const auto& job : input.jobs) {
    least.cpus = std::min(least.cpus, job.spec->perTask.cpus);
    least.gpus = std::min(least.gpus, job.spec->perTask.gpus);
    least.ramGb = std::min(least.ramGb, job.spec->perTask.ramGb);
  }
  return least;
}

// Returns whether the machine has some of all resources that each waiting task needs.
bool hasFreeResources(const PlanMachine& machine, const Resources& least) {
  return (machine.free.cpus > 0 || least.cpus == 0) && (machine.free.ramGb > 0 || least.ramGb == 0);
}

// Returns whether a task on the machine may be preempted or is stopping.
bool hasStoppableTasks(const PlanMachine& machine) {
  return !machine.stoppable.empty() || machine.freeAfterStops.gpus > machine.free.gpus ||
         machine.freeAfterStops.cpus > machine.free.cpus ||
         machine.freeAfterStops.ramGb > machine.free.ramGb;
}

// Returns how many waiting tasks of the job the policy does not let start now.
std::uint32_t withheldTasks(const PlanJob& job) {
  if (!job.maxTasks) return 0;
  std::uint32_t allowed = *job.maxTasks > job.placed ? *job.maxTasks - job.placed : 0;
  return job.waiting - std::min(job.waiting, allowed);
}

// Holds the machines with free resources for one job's tasks, the best machine first.
class FreeMachines {
 public:
  FreeMachines(const MachineScore& score, const JobPlacement& placement,
               const std::vector<std::size_t>& machinesWithFreeResources)
      : score_(score), placement_(placement) {
    std::vector<MachineCandidate> candidates;
    for (auto m : machinesWithFreeResources) {
      if (usable(m)) candidates.push_back({score.of(m), m});
    }
    candidates_ = CandidateQueue({}, std::move(candidates));
  }

  // Returns the best machine with free resources. The machine stays in the queue until it is full.
  std::optional<std::size_t> best() {
    while (!candidates_.empty()) {
      MachineCandidate best = candidates_.top();
      candidates_.pop();
      if (!usable(best.machine)) continue;
      MachineCandidate now{score_.of(best.machine), best.machine};
      candidates_.push(now);
      // Scores change as tasks are placed, so the machine is returned only if it is still the best.
      if (now.value >= best.value || candidates_.top().machine == best.machine) {
        return best.machine;
      }
    }
    return std::nullopt;
  }

 private:
  bool usable(std::size_t machine) const {
    return placement_.fits(machine) && placement_.allowed(machine);
  }

  const MachineScore& score_;
  const JobPlacement& placement_;
  CandidateQueue candidates_;
};

class Planner {
 public:
  explicit Planner(const PlanInput& input)
      : input_(input), state_(input), allocatedTasks_(input.jobs.size()) {
    const Resources least = leastNeeded(input);
    for (std::size_t m = 0; m < input.machines.size(); ++m) {
      const auto& machine = input.machines[m];
      if (!machine.usable) continue;
      if (hasFreeResources(machine, least)) machinesWithFreeResources_.push_back(m);
      if (hasStoppableTasks(machine)) machinesWithStoppableTasks_.push_back(m);
    }
  }

  Plan run() {
    for (const auto& entry : buildQueue(input_)) processEntry(entry);
    for (std::size_t j = 0; j < input_.jobs.size(); ++j) countUnplaced(j);
    state_.plan.reservedMachines = reservations_.machines(input_);
    return std::move(state_.plan);
  }

 private:
  // Stores the result of a job's first queue entry. The job's second entry continues from it.
  struct FirstEntryResult {
    bool hasPlacements{};  // The first entry placed tasks.
    TaskSpread spread;
  };

  void processEntry(const QueueEntry& entry) {
    std::uint32_t wanted = wantedTasks(entry);
    if (wanted == 0) return;
    JobPlacement placement = placementOf(entry.job);
    auto firstResult = firstEntryResults_.find(entry.job);
    bool counted = firstResult != firstEntryResults_.end() && firstResult->second.hasPlacements;
    if (jobsWithPlacements_ >= input_.maxJobs && !counted) return defer(entry, placement, wanted);
    std::size_t placementsBefore = state_.plan.placements.size();
    std::uint32_t placed = placeEntry(entry.job, placement, wanted);
    bool addsPlacements = state_.plan.placements.size() > placementsBefore;
    if (addsPlacements && !counted) ++jobsWithPlacements_;
    record(entry, placement, placed, counted || addsPlacements);
    if (entry.overdue && placed < wanted && placement.withinLimit()) {
      reservations_.reserve(input_, state_, placement, wanted - placed);
    }
  }

  std::uint32_t wantedTasks(const QueueEntry& entry) const {
    const PlanJob& job = input_.jobs[entry.job];
    std::uint32_t mayBegin = job.waiting - withheldTasks(job);
    std::uint32_t allocated = allocatedTasks_[entry.job];
    return std::min(entry.maxTasks, mayBegin > allocated ? mayBegin - allocated : 0);
  }

  JobPlacement placementOf(std::size_t j) {
    const PlanJob& job = input_.jobs[j];
    auto firstResult = firstEntryResults_.find(j);
    TaskSpread spread = firstResult == firstEntryResults_.end()
                            ? TaskSpread{job.perZone, job.siblings}
                            : firstResult->second.spread;
    return JobPlacement(input_, state_, reservations_, job, std::move(spread));
  }

  // Leaves the entry to a later plan. The tasks that find no free resources count as demand already
  // in this plan.
  void defer(const QueueEntry& entry, JobPlacement& placement, std::uint32_t wanted) {
    std::uint32_t fitting = allocateAnywhere(placement, wanted);
    if (fitting > 0) state_.plan.hasLaterTasks = true;
    state_.plan.laterTasks[entry.job] += fitting;
    record(entry, placement, fitting, false);
  }

  // Allocates free resources for up to `wanted` tasks on any allowed machines, without choosing the
  // best ones. Returns the number of tasks that got resources.
  std::uint32_t allocateAnywhere(JobPlacement& placement, std::uint32_t wanted) {
    std::uint32_t booked = 0;
    for (auto m : machinesWithFreeResources_) {
      while (booked < wanted && placement.fits(m) && placement.allowed(m) &&
             placement.withinLimit()) {
        bookFree(placement, m);
        ++booked;
      }
      if (booked == wanted) break;
    }
    return booked;
  }

  // Serves one queue entry. All tasks of a gang must run at once, so if some of them do not fit,
  // none is placed.
  std::uint32_t placeEntry(std::size_t j, JobPlacement& placement, std::uint32_t wanted) {
    if (placement.spec().kind != JobKind::gang) return placeTasks(j, placement, wanted);
    PlanState before = state_;
    std::uint32_t placed = placeTasks(j, placement, wanted);
    if (placed == wanted) return placed;
    state_ = std::move(before);
    return 0;
  }

  // Places tasks or frees resources for them by preemption. Returns the number of these tasks.
  std::uint32_t placeTasks(std::size_t j, JobPlacement& placement, std::uint32_t wanted) {
    MachineScore score(input_, state_, placement, machinesWithFreeResources_);
    FreeMachines freeMachines(score, placement, machinesWithFreeResources_);
    Preemption preemption(input_, state_, placement, machinesWithStoppableTasks_);
    std::uint32_t placed = 0;
    while (placed < wanted && placement.withinLimit()) {
      auto machine = freeMachines.best();
      bool freed = machine ? prefersPreemption(placement, *machine) &&
                                 preemption.freeResources(PreemptionTarget::machinesWithImage)
                           : preemption.freeResources(PreemptionTarget::anyMachine);
      // All tasks of a job have the same size, so the next task does not fit either.
      if (!machine && !freed) break;
      if (freed) {
        ++state_.plan.awaitingStops[j];
      } else {
        bookFree(placement, *machine);
        state_.plan.placements.push_back({j, *machine});
      }
      ++placed;
    }
    return placed;
  }

  void bookFree(JobPlacement& placement, std::size_t machine) {
    placement.book(machine);
    state_.freeAfterStops[machine] -= placement.spec().perTask;
  }

  // Returns whether fetching the job's image to the machine takes longer than preempting less
  // important tasks on another machine.
  static bool prefersPreemption(const JobPlacement& placement, std::size_t machine) {
    return placement.spec().priority > Priority::low && !placement.holdsImage(machine) &&
           placement.fetchSeconds(machine) > kMinFetchSecondsToPreempt;
  }

  void record(const QueueEntry& entry, const JobPlacement& placement, std::uint32_t allocated,
              bool hasPlacements) {
    allocatedTasks_[entry.job] += allocated;
    if (entry.overdue) firstEntryResults_[entry.job] = {hasPlacements, placement.spread()};
    state_.plan.overLimit[entry.job] =
        allocatedTasks_[entry.job] < placement.job().waiting && !placement.withinLimit();
  }

  // Splits the job's remaining tasks into withheld and unplaced ones. Tasks that the policy does
  // not let start now do not count as demand for machines.
  void countUnplaced(std::size_t j) {
    std::uint32_t left = input_.jobs[j].waiting - allocatedTasks_[j];
    state_.plan.withheld[j] = std::min(left, withheldTasks(input_.jobs[j]));
    state_.plan.unplaced[j] = left - state_.plan.withheld[j];
  }

  const PlanInput& input_;
  PlanState state_;
  Reservations reservations_;
  std::vector<std::size_t> machinesWithFreeResources_;  // Holds the machines with free resources.
  // Holds the machines on which a task may be preempted or is stopping.
  std::vector<std::size_t> machinesWithStoppableTasks_;
  // Counts, by job, the tasks that got resources in this plan.
  std::vector<std::uint32_t> allocatedTasks_;
  std::size_t jobsWithPlacements_ = 0;  // Counts the jobs of which this plan places tasks.
  std::map<std::size_t, FirstEntryResult> firstEntryResults_;  // Is indexed by job.
};

}  // namespace

Duration graceFor(const JobSpec& spec) {
  return spec.checkpoints() ? spec.saveTime + kSaveTimeMargin : Duration{0};
}

Plan makePlan(const PlanInput& input) { return Planner(input).run(); }

}  // namespace kestrelhoist
