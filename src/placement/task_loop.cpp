#include "placement/task_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "placement/placement_transaction.hpp"

namespace kestrelhoist {

void TaskLoop::sendStops() {
  std::set<MachineId> machines;
  for (const auto& [id, job] : context_.replica.live()) {
    if (job->active() && !(job->record.flow && !job->record.flow->dropped.empty())) continue;
    for (const auto& [index, placed] : job->placed) {
      if (job->active() && !job->isDropped(index)) continue;
      if (stopsSent_.insert({{id, index}, placed.attempt}).second) machines.insert(placed.machine);
    }
  }
  for (const auto& m : machines) dispatcher_.sendCommands(m);
}

// What has been proven of tasks and, with a plan, its placements that still hold. A launch
// follows only after the commit.
std::optional<Commit> TaskLoop::commit(const PlanInput* input, const Plan* plan) {
  PlacementTransaction writes(context_, outcomes_);
  Instant now = context_.runtime.now();
  std::set<MachineId> machines;
  std::size_t placements = 0;
  if (plan) {
    context_.latestRevision = std::max(context_.latestRevision, context_.replica.cursor());
    std::map<std::size_t, std::uint32_t> next;  // by job: from which task on to look
    for (const auto& p : plan->placements) {
      const PlanJob& wanted = input->jobs[p.job];
      const JobId& id = wanted.spec->id;
      const auto* job = context_.replica.job(id);
      Machine* m = fleet_.find(input->machines[p.machine].id);
      // The picture may be older than what has been read since.
      if (!m || !fleet_.usable(*m, now) || !job || !job->active() || job->blockedOnDependencies() ||
          job->modRevision != wanted.modRevision) {
        context_.planInvalidated = true;
        continue;
      }
      std::uint32_t& index = next[p.job];
      while (index < job->tasks && !writes.mayPlace(id, *job, index)) ++index;
      if (index >= job->tasks) continue;
      // Attempts are larger than any of this task before: each earlier placement and its end were
      // committed at revisions up to `leadership_.highest`.
      TaskPlacement placed{m->id, m->session.lastReport->workerEpoch,
                           Attempt{context_.latestRevision.value}};
      if (!writes.place(id, *job, index, placed)) {
        context_.planInvalidated = true;
        continue;
      }
      logDebug("placing", "job", id, "task", index, "machine", m->id);
      ++index;
      ++placements;
      machines.insert(m->id);
    }
  }
  // Oldest first, so that none waits for ever behind others.
  std::vector<std::pair<Instant, ConfirmedOutcomes::ChunkKey>> urgent;
  std::vector<AttemptId> stale;
  for (const auto& [key, pending] : outcomes_.pending()) {
    const auto* job = context_.replica.job(key.first);
    if (!job) continue;  // a flow's, dropped by a later leader
    if (!outcomes_.isUrgent(key, pending)) continue;
    urgent.emplace_back(pending.since, key);
    const auto& placed = job->placed;
    for (const auto& [index, outcome] : pending.outcomes) {
      auto at = placed.find(index);
      if (at == placed.end() || at->second.attempt != outcome.attempt) {
        stale.push_back({{key.first, index}, outcome.attempt});
      }
    }
  }
  for (const auto& id : stale) outcomes_.forget(id, *context_.replica.job(id.task.job));
  std::sort(urgent.begin(), urgent.end());
  for (const auto& entry : urgent) {
    const ConfirmedOutcomes::ChunkKey& key = entry.second;
    if (!outcomes_.pending().contains(key)) continue;
    const auto& outcomes = outcomes_.pending().at(key).outcomes;
    bool all = std::all_of(outcomes.begin(), outcomes.end(), [&](const auto& outcome) {
      return writes.open(key.first, *context_.replica.job(key.first), outcome.first);
    });
    if (!all) break;
  }
  if (writes.empty()) return std::nullopt;
  Transaction t = context_.begin();
  writes.finish(t);
  auto settled = std::move(writes.settled());
  std::size_t count = settled.size();
  return Commit{
      std::move(t),
      [this, settled = std::move(settled), machines] {
        for (const auto& [attempt, how] : settled) {
          logDebug("task off its machine", "task", attempt.str(), "how", static_cast<int>(how));
          stopsSent_.erase(attempt);
          if (const auto* job = context_.replica.job(attempt.task.job))
            outcomes_.forget(attempt, *job);
        }
        for (const auto& m : machines) dispatcher_.sendCommands(m);
      },
      std::to_string(count) + " facts, " + std::to_string(placements) + " placements on " +
          std::to_string(machines.size()) + " machines"};
}

}  // namespace kestrelhoist
