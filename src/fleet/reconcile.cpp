#include "fleet/reconcile.hpp"

#include <algorithm>
#include <utility>

namespace kestrelhoist {
namespace {

// A response to a worker may be at most 64 KiB.
constexpr std::size_t kMaxCommands = 300;

// Makes the worker know the attempt, so that a launch that is still under way does nothing. Both
// commands or none: a launch alone would start it.
void addLaunchAndStop(std::vector<WorkerCommand>& commands, const AttemptId& id) {
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

// One comparison of a machine's record with the newest report of its worker.
class Reconciliation {
 public:
  Reconciliation(WorkerSession& session, const MachineState* record, FencingToken token,
                 bool mayLaunch, const std::function<DesiredState(const AttemptId&)>& desired)
      : session_(session),
        report_(*session.lastReport),
        record_(record),
        token_(token),
        mayLaunch_(mayLaunch),
        desired_(desired) {}

  std::vector<WorkerCommand> run() {
    if (record_) {
      for (const auto& placed : record_->tasks) reconcilePlaced(placed);
    }
    for (const auto& task : report_.tasks) {
      if (!record_ || !record_->find(task.id)) reconcileUnrecorded(task);
    }
    return std::move(commands_);
  }

 private:
  void add(WorkerCommand::Operation operation, const AttemptId& id, Duration grace = Duration{0}) {
    if (commands_.size() < kMaxCommands) commands_.push_back({operation, id, grace});
  }

  void reconcilePlaced(const PlacedTask& placed) {
    // A report of an earlier worker epoch than the placement's says nothing about it; in a later
    // epoch the task is gone.
    if (report_.workerEpoch < placed.workerEpoch) return;
    if (report_.workerEpoch > placed.workerEpoch) {
      session_.outcomes.emplace(placed.id, AttemptOutcome::lost);
      return;
    }
    if (session_.outcomes.contains(placed.id)) return;
    const DesiredState desired = desired_(placed.id);
    if (const ReportedTask* task = report_.find(placed.id)) {
      reconcileReported(*task, desired);
    } else if (desired.stop) {
      proveAbsent(placed.id);
    } else if (mayLaunch_) {
      add(WorkerCommand::Operation::launch, placed.id);
      session_.launchSequences[placed.id] = report_.sequence;
    }
  }

  void reconcileReported(const ReportedTask& task, const DesiredState& desired) {
    if (task.state == TaskState::ended) {
      session_.outcomes.emplace(task.id, outcomeFrom(task.cause));
      return;
    }
    // While the task saves, only a stop that grants no time is worth repeating.
    if (desired.stop && (task.state != TaskState::saving || desired.grace.count() == 0)) {
      add(WorkerCommand::Operation::stop, task.id, desired.grace);
    }
  }

  // The worker does not report an attempt that is to be stopped.
  void proveAbsent(const AttemptId& id) {
    // A launch may have been sent in answer to this very report, or by an earlier leader whose
    // commands this worker may still obey: absence proves nothing yet.
    if (report_.token != token_) return;
    if (session_.unacknowledgedLaunches.contains(id)) {
      addLaunchAndStop(commands_, id);
      session_.launchSequences[id] = report_.sequence;
      return;
    }
    // Only a later heartbeat shows that the answer with the launch came to nothing: a report that
    // answers a direct command may overtake it, for as long as a forwarding peer or a stalled
    // connection keeps that answer, and the launch would be carried out after this "proof".
    auto launched = session_.launchSequences.find(id);
    if (launched != session_.launchSequences.end() &&
        session_.lastHeartbeatSequence <= launched->second) {
      return;
    }
    session_.outcomes.emplace(id, AttemptOutcome::stopped);
  }

  void reconcileUnrecorded(const ReportedTask& task) {
    if (task.state != TaskState::ended) {
      // It is on no record, so nobody may run it here.
      add(WorkerCommand::Operation::stop, task.id);
    } else if (!session_.unacknowledgedLaunches.contains(task.id)) {
      // Its end is committed: the record no longer has it.
      add(WorkerCommand::Operation::clear, task.id);
    }
  }

  WorkerSession& session_;
  const Report& report_;
  const MachineState* record_;
  const FencingToken token_;
  const bool mayLaunch_;
  const std::function<DesiredState(const AttemptId&)>& desired_;
  std::vector<WorkerCommand> commands_;
};

void noteHeartbeat(WorkerSession& session, const Report& report, Instant now) {
  session.lastHeartbeatSequence = report.sequence;
  session.lastHeartbeatEpoch = report.workerEpoch;
  session.lastHeartbeatAt = now;
}

}  // namespace

bool updateSession(WorkerSession& session, const Report& report, Instant now, bool isHeartbeat) {
  // Also a heartbeat that the answer to a direct request has overtaken.
  if (session.lastReport && isHeartbeat && report.workerEpoch == session.lastReport->workerEpoch &&
      report.sequence > session.lastHeartbeatSequence) {
    noteHeartbeat(session, report, now);
  }
  if (session.lastReport &&
      std::pair(report.workerEpoch, report.sequence) <=
          std::pair(session.lastReport->workerEpoch, session.lastReport->sequence)) {
    return false;
  }
  if (session.lastReport && report.workerEpoch > session.lastReport->workerEpoch) {
    // In a new worker epoch the worker refuses direct commands of the old one.
    session.unacknowledgedLaunches.clear();
    session.launchSequences.clear();
    session.lastHeartbeatSequence = {};
  }
  if (isHeartbeat) noteHeartbeat(session, report, now);
  session.lastReport = report;
  session.lastReportAt = now;
  return true;
}

std::vector<WorkerCommand> reconcile(WorkerSession& session, const MachineState* record,
                                     FencingToken token, bool mayLaunch,
                                     const std::function<DesiredState(const AttemptId&)>& desired) {
  if (!session.lastReport) return {};
  return Reconciliation(session, record, token, mayLaunch, desired).run();
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
  // Then no user was notified of the end before these records were read, and the bound of the lease
  // is enough.
  if (!record) return commands;
  for (const auto& placed : record->tasks) {
    if (placed.workerEpoch == report.workerEpoch && !report.find(placed.id) &&
        end(placed.id.task.job) == JobEnd::known) {
      addLaunchAndStop(commands, placed.id);
    }
  }
  return commands;
}

}  // namespace kestrelhoist
