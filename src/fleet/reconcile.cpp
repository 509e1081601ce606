#include "fleet/reconcile.hpp"

namespace kestrelhoist {
namespace {

// A response to a worker may be at most 64 KiB.
constexpr std::size_t kMaxCommands = 300;

// Makes the worker know the attempt, so that a launch that is still under way does nothing. Both or
// none: a launch alone would start it.
void addSettled(std::vector<WorkerCommand>& commands, const AttemptId& id) {
  if (commands.size() + 2 > kMaxCommands) return;
  commands.push_back({WorkerCommand::Operation::launch, id, Duration{0}});
  commands.push_back({WorkerCommand::Operation::stop, id, Duration{0}});
}

AttemptOutcome outcomeFrom(EndCause cause) {
  switch (cause) {
    case EndCause::done:
      return AttemptOutcome::done;
    case EndCause::stopped:
      return AttemptOutcome::stopped;
    case EndCause::error:
      return AttemptOutcome::failed;
    default:
      return AttemptOutcome::refused;
  }
}

}  // namespace

bool updateSession(WorkerSession& m, const Report& report, Instant now, bool isHeartbeat) {
  if (m.lastReport && isHeartbeat && report.workerEpoch == m.lastReport->workerEpoch) {
    m.lastHeartbeatSequence = std::max(m.lastHeartbeatSequence, report.sequence);
  }
  if (m.lastReport && std::pair(report.workerEpoch, report.sequence) <=
                          std::pair(m.lastReport->workerEpoch, m.lastReport->sequence)) {
    return false;
  }
  if (m.lastReport && report.workerEpoch > m.lastReport->workerEpoch) {
    // A new session: direct commands of the old one are refused from now on.
    m.unacknowledgedLaunches.clear();
    m.launchSequences.clear();
    m.lastHeartbeatSequence = {};
  }
  if (isHeartbeat) m.lastHeartbeatSequence = report.sequence;
  m.lastReport = report;
  m.lastReportAt = now;
  return true;
}

std::vector<WorkerCommand> reconcile(WorkerSession& m, const MachineState* record,
                                     FencingToken token, bool mayLaunch,
                                     const std::function<DesiredState(const AttemptId&)>& desired) {
  std::vector<WorkerCommand> commands;
  if (!m.lastReport) return commands;
  const Report& report = *m.lastReport;
  auto add = [&](WorkerCommand::Operation kind, const AttemptId& id, Duration grace = Duration{0}) {
    if (commands.size() < kMaxCommands) commands.push_back({kind, id, grace});
  };
  static const std::vector<PlacedTask> kNone;
  const auto& onRecord = record ? record->tasks : kNone;

  for (const auto& on : onRecord) {
    const AttemptId& id = on.id;
    // A report of an earlier session than the placement's says nothing about it; in a later one
    // the task is gone.
    if (report.workerEpoch < on.workerEpoch) continue;
    if (report.workerEpoch > on.workerEpoch) {
      m.outcomes.emplace(id, AttemptOutcome::lost);
      continue;
    }
    if (m.outcomes.contains(id)) continue;
    DesiredState state = desired(id);
    const ReportedTask* task = report.find(id);
    if (!task) {
      if (!state.stop) {
        if (mayLaunch) {
          add(WorkerCommand::Operation::launch, id);
          m.launchSequences[id] = report.sequence;
        }
        continue;
      }
      // Told to launch in answer to this very report, or by an earlier leader whose orders this
      // worker may still obey: absence proves nothing yet.
      if (report.token != token) continue;
      if (m.unacknowledgedLaunches.contains(id)) {
        addSettled(commands, id);
        m.launchSequences[id] = report.sequence;
        continue;
      }
      auto launched = m.launchSequences.find(id);
      // Only a later report of the worker's own accord shows that the answer with the launch came
      // to nothing: one that answers a direct command may overtake it, for as long as a relay or a
      // held connection keeps that answer, and the launch would be carried out after this "proof".
      if (launched != m.launchSequences.end() && m.lastHeartbeatSequence <= launched->second)
        continue;
      m.outcomes.emplace(id, AttemptOutcome::stopped);
      continue;
    }
    if (task->state == TaskState::ended) {
      m.outcomes.emplace(id, outcomeFrom(task->cause));
    } else if (state.stop) {
      // While it saves, only a stop that grants no time is worth repeating.
      if (task->state != TaskState::saving || state.grace.count() == 0) {
        add(WorkerCommand::Operation::stop, id, state.grace);
      }
    }
  }

  for (const auto& task : report.tasks) {
    if (record && record->find(task.id)) continue;
    if (task.state != TaskState::ended) {
      // On no record, so nobody may run it here.
      add(WorkerCommand::Operation::stop, task.id);
    } else if (!m.unacknowledgedLaunches.contains(task.id)) {
      // Its end is committed: the record no longer has it.
      add(WorkerCommand::Operation::clear, task.id);
    }
  }
  return commands;
}

std::vector<WorkerCommand> leaseOnlyCommands(const Report& report, const MachineState* record,
                                             const std::function<JobEnd(const JobId&)>& end) {
  std::vector<WorkerCommand> commands;
  for (const auto& task : report.tasks) {
    if (commands.size() == kMaxCommands) return commands;
    if (task.state != TaskState::ended && end(task.id.task.job) != JobEnd::none) {
      commands.push_back({WorkerCommand::Operation::stop, task.id, Duration{0}});
    }
  }
  // A direct launch that the leader has no answer to may arrive minutes later, under a token that
  // stays the newest for as long as there is no other leader, and this answer keeps the session up
  // to which it belongs. Nothing of a job that is over is ever placed again, so wherever its task
  // may be, this attempt is the only one. Not so while the end is not read back: the attempt may
  // have been cleared here and its successor run elsewhere, and the launch would begin it anew.
  // Then nobody was told of the end before these records were read, and the bound of the lease is
  // enough.
  for (const auto& on : record ? record->tasks : std::vector<PlacedTask>{}) {
    if (on.workerEpoch == report.workerEpoch && !report.find(on.id) &&
        end(on.id.task.job) == JobEnd::known) {
      addSettled(commands, on.id);
    }
  }
  return commands;
}

}  // namespace kestrelhoist
