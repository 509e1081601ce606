#include "placement/task_loop.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {

void TaskLoop::sendStops() {
  std::set<MachineId> machines;
  for (const auto& [id, job] : context_.replica.liveJobs()) {
    if (job->active() && !(job->record.flow && !job->record.flow->dropped.empty())) continue;
    for (const auto& [index, placed] : job->placed) {
      if (job->active() && !job->isDropped(index)) continue;
      if (stopsSent_.insert({{id, index}, placed.attempt}).second) machines.insert(placed.machine);
    }
  }
  for (const auto& machine : machines) dispatcher_.sendCommands(machine);
}

// Launch commands are sent by onCommitted(), so no task starts before its placement is committed.
std::optional<Commit> TaskLoop::commit(const PlanInput* input, const Plan* plan) {
  PlacementTransaction builder(context_, outcomes_);
  PlacedMachines placed;
  if (plan) placed = addPlacements(builder, *input, *plan);
  addUrgentOutcomes(builder);
  if (builder.empty()) return std::nullopt;
  Transaction transaction = context_.begin();
  builder.writeTo(transaction);
  const auto& ended = builder.endedAttempts();
  std::string description = std::to_string(ended.size()) + " outcomes, " +
                            std::to_string(placed.placements) + " placements on " +
                            std::to_string(placed.machines.size()) + " machines";
  return Commit{
      std::move(transaction),
      [this, ended, machines = std::move(placed.machines)] { onCommitted(ended, machines); },
      std::move(description)};
}

// Adds the placements that are still valid. Some may not be, because the plan's input may be older
// than the replica.
TaskLoop::PlacedMachines TaskLoop::addPlacements(PlacementTransaction& builder,
                                                 const PlanInput& input, const Plan& plan) {
  PlacedMachines result;
  Instant now = context_.runtime.now();
  context_.latestRevision = std::max(context_.latestRevision, context_.replica.revision());
  std::map<std::size_t, std::uint32_t> nextTask;  // Holds, by job, the first task to try.
  for (const auto& placement : plan.placements) {
    const PlanJob& planned = input.jobs[placement.job];
    const JobId& id = planned.spec->id;
    const auto* job = context_.replica.job(id);
    Machine* machine = fleet_.find(input.machines[placement.machine].id);
    if (!machine || !fleet_.usable(*machine, now) || !job || !job->active() ||
        job->blockedOnDependencies() || job->modRevision != planned.modRevision) {
      context_.planInvalidated = true;
      continue;
    }
    std::uint32_t& index = nextTask[placement.job];
    while (index < job->tasks && !builder.mayPlace(id, *job, index)) ++index;
    if (index >= job->tasks) continue;
    // The attempt number exceeds that of each earlier attempt of this task, because each earlier
    // placement and its end were committed at revisions up to `latestRevision`.
    TaskPlacement record{machine->id, machine->session.lastReport->workerEpoch,
                         Attempt{context_.latestRevision.value}};
    auto placed = builder.place(id, *job, index, record);
    if (placed != PlacementTransaction::Result::added) {
      // Another plan does not help a task whose record can't be written.
      if (placed == PlacementTransaction::Result::full) context_.planInvalidated = true;
      continue;
    }
    logDebug("task placement added to transaction", "job", id, "task", index, "machine",
             machine->id, "silent_ms", now - machine->session.lastReportAt);
    ++index;
    ++result.placements;
    result.machines.insert(machine->id);
  }
  return result;
}

// Adds the records with urgent outcomes, the oldest first, so that no record waits indefinitely.
void TaskLoop::addUrgentOutcomes(PlacementTransaction& builder) {
  auto urgent = collectUrgentOutcomes();
  std::sort(urgent.begin(), urgent.end());
  for (const auto& [since, key] : urgent) {
    auto pending = outcomes_.pending().find(key);
    if (pending == outcomes_.pending().end()) continue;
    const JobId& id = key.first;
    const auto& outcomes = pending->second.outcomes;
    bool full = std::any_of(outcomes.begin(), outcomes.end(), [&](const auto& outcome) {
      auto result = builder.addRecord(id, *context_.replica.job(id), outcome.first);
      return result == PlacementTransaction::Result::full;
    });
    if (full) break;
  }
}

// Returns the chunks with urgent outcomes, and removes the outcomes of attempts that are no longer
// on record.
std::vector<TaskLoop::UrgentChunk> TaskLoop::collectUrgentOutcomes() {
  std::vector<UrgentChunk> urgent;
  std::vector<AttemptId> stale;
  for (const auto& [key, pending] : outcomes_.pending()) {
    const auto* job = context_.replica.job(key.first);
    if (!job) continue;  // A newer leader has removed this flow's job.
    if (!outcomes_.isUrgent(key, pending)) continue;
    urgent.emplace_back(pending.since, key);
    for (const auto& [index, outcome] : pending.outcomes) {
      auto placed = job->placed.find(index);
      if (placed == job->placed.end() || placed->second.attempt != outcome.attempt) {
        stale.push_back({{key.first, index}, outcome.attempt});
      }
    }
  }
  for (const auto& id : stale) outcomes_.forget(id, *context_.replica.job(id.task.job));
  return urgent;
}

void TaskLoop::onCommitted(const std::vector<EndedAttempt>& ended,
                           const std::set<MachineId>& machines) {
  for (const auto& [attempt, outcome] : ended) {
    logDebug("task attempt ended", "task", attempt.str(), "outcome", static_cast<int>(outcome));
    stopsSent_.erase(attempt);
    if (const auto* job = context_.replica.job(attempt.task.job)) {
      outcomes_.forget(attempt, *job);
    }
  }
  for (const auto& machine : machines) dispatcher_.sendCommands(machine);
}

}  // namespace kestrelhoist
