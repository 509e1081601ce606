#include "app/pending_explanation.hpp"

#include <map>

namespace kestrelhoist {
namespace {

using TaskCounts = std::map<PendingReason, std::uint32_t>;

void addReason(Json& reasons, const std::string& why, std::uint32_t tasks) {
  if (tasks > 0) reasons.push_back({{"why", why}, {"tasks", tasks}});
}

// Counts by pending reason the tasks that are placed on a machine but do not run there yet.
TaskCounts countPlacedButNotRunning(const JobState& job, const JobId& id, Fleet& fleet,
                                    Instant now) {
  TaskCounts counts;
  for (const auto& [index, placement] : job.placed) {
    const Machine* machine = fleet.find(placement.machine);
    if (!machine || !machine->hasReported() || fleet.isOverdue(*machine, now)) {
      ++counts[PendingReason::unreachable];
      continue;
    }
    const ReportedTask* reported =
        machine->session.lastReport->find({{id, index}, placement.attempt});
    if (!reported) {
      ++counts[PendingReason::start];
    } else if (reported->state == TaskState::fetching) {
      ++counts[PendingReason::image];
    }
  }
  return counts;
}

// Returns the pending reasons of the tasks that are not placed on a machine.
Json reasonsOfUnplaced(const LeaderContext& context, const PendingReasons& pendingReasons,
                       const JobState& job, const JobId& id) {
  Json reasons = Json::array();
  if (!context.initialRoundOver) {
    addReason(reasons, "the new leader waits for the report round", job.waitingCount());
  } else if (job.blockedOnDependencies()) {
    addReason(reasons, toString(PendingReason::dependencies), job.tasks);
  } else if (!context.watcher.isReachable()) {
    addReason(reasons, "the state service is out of reach", job.waitingCount());
  } else {
    for (const auto& group : pendingReasons.of(id)) {
      addReason(reasons, toString(group.why), group.tasks);
    }
  }
  return reasons;
}

Json unfinishedDependencies(const LeaderContext& context, const JobId& id) {
  Json ids = Json::array();
  for (const auto& dependency : context.replica.dependencies().unfinishedDependencies(id)) {
    ids.push_back(dependency.value);
  }
  return ids;
}

}  // namespace

Json explainPending(const LeaderContext& context, Fleet& fleet,
                    const PendingReasons& pendingReasons, const JobId& id) {
  const Instant now = context.runtime.now();
  Json explanation = {{"leader", context.platform.member.value},
                      {"leads_s", toSeconds(now - context.electedAt)},
                      {"waits", Json::array()}};
  const auto* job = context.replica.job(id);
  if (!job || !job->active()) return explanation;

  Json& reasons = explanation["waits"];
  reasons = reasonsOfUnplaced(context, pendingReasons, *job, id);
  for (const auto& [why, tasks] : countPlacedButNotRunning(*job, id, fleet, now)) {
    addReason(reasons, toString(why), tasks);
  }
  if (context.initialRoundOver && job->blockedOnDependencies()) {
    Json ids = unfinishedDependencies(context, id);
    if (!ids.empty()) explanation["awaits"] = std::move(ids);
  }
  if (job->dependencies && job->dependencies->state.latestEndMs) {
    std::int64_t latestStart =
        *job->dependencies->state.latestEndMs - job->record.spec->estimate.count();
    explanation["slack_s"] = toSeconds(Duration{latestStart - context.runtime.wallMillis()});
  }
  return explanation;
}

}  // namespace kestrelhoist
