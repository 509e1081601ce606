#include "placement/task_duty.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "placement/task_writes.hpp"

namespace kestrelhoist {

void TaskDuty::tellStops() {
  std::set<MachineId> machines;
  for (const auto& [id, job] : context_.replica.live()) {
    if (job->active() && !(job->record.flow && !job->record.flow->dropped.empty())) continue;
    for (const auto& [index, placed] : job->placed) {
      if (job->active() && !job->isDropped(index)) continue;
      if (told_.insert({{id, index}, placed.attempt}).second) machines.insert(placed.machine);
    }
  }
  for (const auto& m : machines) dispatcher_.sendCommands(m);
}

// What has been proven of tasks and, with a plan, its placements that still hold. A launch
// follows only after the commit.
std::optional<Commit> TaskDuty::commit(const PlanInput* input, const Plan* plan) {
  TaskWrites writes(context_, facts_);
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
  std::vector<std::pair<Instant, TaskFacts::ChunkKey>> urgent;
  std::vector<AttemptId> stale;
  for (const auto& [key, due] : facts_.due()) {
    const auto* job = context_.replica.job(key.first);
    if (!job) continue;  // a flow's, dropped by a later leader
    if (!facts_.factsUrgent(key, due)) continue;
    urgent.emplace_back(due.since, key);
    const auto& placed = job->placed;
    for (const auto& [index, fact] : due.facts) {
      auto at = placed.find(index);
      if (at == placed.end() || at->second.attempt != fact.attempt) {
        stale.push_back({{key.first, index}, fact.attempt});
      }
    }
  }
  for (const auto& id : stale) facts_.forgetFact(id, *context_.replica.job(id.task.job));
  std::sort(urgent.begin(), urgent.end());
  for (const auto& entry : urgent) {
    const TaskFacts::ChunkKey& key = entry.second;
    if (!facts_.due().contains(key)) continue;
    const auto& facts = facts_.due().at(key).facts;
    bool all = std::all_of(facts.begin(), facts.end(), [&](const auto& fact) {
      return writes.open(key.first, *context_.replica.job(key.first), fact.first);
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
          told_.erase(attempt);
          if (const auto* job = context_.replica.job(attempt.task.job))
            facts_.forgetFact(attempt, *job);
        }
        for (const auto& m : machines) dispatcher_.sendCommands(m);
      },
      std::to_string(count) + " facts, " + std::to_string(placements) + " placements on " +
          std::to_string(machines.size()) + " machines"};
}

}  // namespace kestrelhoist
