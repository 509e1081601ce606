#include "placement/plan_queue.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace kestrelhoist {
namespace {

// Returns the largest capacity of all usable machines, separately for CPUs, GPUs and RAM.
Resources largestCapacity(const PlanInput& input) {
  Resources largest;
  for (const auto& machine : input.machines) {
    if (!machine.usable) continue;
    largest.cpus = std::max(largest.cpus, machine.capacity.cpus);
    largest.gpus = std::max(largest.gpus, machine.capacity.gpus);
    largest.ramGb = std::max(largest.ramGb, machine.capacity.ramGb);
  }
  return largest;
}

// Counts the machines that a job may use. The count is computed once for all jobs with the same
// constraints.
class MachineCounts {
 public:
  explicit MachineCounts(const PlanInput& input) : input_(input) {}

  double of(const PlanJob& job) {
    auto [count, isNew] = counts_.try_emplace({job.spec->spotAllowed, job.zone}, 0.0);
    if (isNew) count->second = countFor(job);
    return count->second;
  }

 private:
  double countFor(const PlanJob& job) const {
    auto mayUse = [&](const PlanMachine& machine) {
      return machine.usable && (job.spec->spotAllowed || !machine.spot) &&
             (!job.zone || *job.zone == machine.zone);
    };
    return static_cast<double>(
        std::count_if(input_.machines.begin(), input_.machines.end(), mayUse));
  }

  const PlanInput& input_;
  std::map<std::pair<bool, std::optional<std::uint32_t>>, double> counts_;
};

QueuedJob queuedJobOf(const PlanJob& job) {
  QueuedJob out;
  out.spec = job.spec;
  out.acceptedAtMs = job.acceptedAtMs;
  out.remainingS = job.remainingS;
  out.waiting = job.waiting;
  out.placed = job.placed;
  out.hasFinishedTasks = job.hasFinishedTasks;
  out.protectedService = job.protectedService;
  out.priorityAdjustment = job.priorityAdjustment;
  out.maxTasks = job.maxTasks;
  return out;
}

}  // namespace

std::vector<QueueEntry> buildQueue(const PlanInput& input) {
  std::vector<QueuedJob> jobs;
  std::vector<double> machinesFor;
  std::vector<double> shares;
  jobs.reserve(input.jobs.size());
  machinesFor.reserve(input.jobs.size());
  shares.reserve(input.jobs.size());
  MachineCounts counts(input);
  Resources largest = largestCapacity(input);
  for (const auto& job : input.jobs) {
    jobs.push_back(queuedJobOf(job));
    machinesFor.push_back(counts.of(job));
    shares.push_back(job.spec->perTask.shareOf(largest));
  }
  return orderQueue(jobs, input.nowMs, machinesFor, shares, input.queue);
}

}  // namespace kestrelhoist
