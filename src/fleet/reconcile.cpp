#include "fleet/reconcile.hpp"

#include <algorithm>
#include <utility>

namespace kestrelhoist {
namespace {

// This limit keeps a response to a worker below its maximum size of 64 KiB.
constexpr std::size_t kMaxCommands = 300;

// Adds a launch and a stop of the attempt. Once the worker has a record of the attempt, a delayed
// launch that arrives later has no effect. Either both commands are added or neither, because a
// launch alone would start the attempt.
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

// Performs one comparison of a machine's record with the newest report of its worker.
class Reconciliation {
 public:
  Reconciliation(WorkerSession& session, const MachineState* record, const TokenRange& tokens,
                 bool mayLaunch, const std::function<DesiredState(const AttemptId&)>& desired)
      : session_(session),
        report_(*session.lastReport),
        record_(record),
        tokens_(tokens),
        mayLaunch_(mayLaunch),
        desired_(desired) {}

  std::vector<WorkerCommand> run() {
    if (record_) {
      for (const auto& placed : record_->tasks) reconcilePlaced(placed);
    }
    session_.retainedAttempts = 0;
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
    // A report of an earlier worker epoch than the placement's proves nothing about the task. A
    // report of a later epoch proves that the task has ended.
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
    // While the task saves its state, a stop command is repeated only if it grants no more time.
    if (desired.stop && (task.state != TaskState::saving || desired.grace.count() == 0)) {
      add(WorkerCommand::Operation::stop, task.id, desired.grace);
    }
  }

  // Handles an attempt that is to be stopped and that the worker does not report.
  void proveAbsent(const AttemptId& id) {
    // A report with a token of another leader proves nothing: the worker may still obey that
    // leader's commands, or may receive a launch in the answer to this report.
    if (!tokens_.contains(report_.token)) return;
    if (session_.directLaunches.isUnanswered(id)) {
      addLaunchAndStop(commands_, id);
      session_.launchSequences[id] = report_.sequence;
      return;
    }
    // Only a later heartbeat proves that the worker did not carry out the answer that contains the
    // launch. A report that answers a direct command is no proof: it may arrive while a forwarding
    // peer or a stalled connection still delays that answer, and the worker would carry out the
    // launch afterwards.
    auto launched = session_.launchSequences.find(id);
    if (launched != session_.launchSequences.end() &&
        session_.lastHeartbeatSequence <= launched->second) {
      return;
    }
    session_.outcomes.emplace(id, AttemptOutcome::stopped);
  }

  void reconcileUnrecorded(const ReportedTask& task) {
    if (task.state != TaskState::ended) {
      // An attempt without a record must not run on this machine.
      add(WorkerCommand::Operation::stop, task.id);
    } else if (session_.directLaunches.mayArrive(task.id)) {
      ++session_.retainedAttempts;
    } else {
      // The record no longer contains the attempt, so its end is committed.
      add(WorkerCommand::Operation::clear, task.id);
      session_.clearedAttempts.onClear(task.id);
    }
  }

  WorkerSession& session_;
  const Report& report_;
  const MachineState* record_;
  const TokenRange tokens_;
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
  // This also counts a heartbeat that arrives after a newer answer to a direct request.
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
    // In a new worker epoch the worker refuses direct commands that name an earlier epoch.
    session.directLaunches.onNewWorkerEpoch();
    session.clearedAttempts.onNewWorkerEpoch();
    session.launchSequences.clear();
    session.lastHeartbeatSequence = {};
  }
  if (session.lastReport && report.token > session.lastReport->token) {
    session.directLaunches.onTokenSeen(report.token);
  }
  if (isHeartbeat) noteHeartbeat(session, report, now);
  session.lastReport = report;
  session.lastReportAt = now;
  return true;
}

std::vector<WorkerCommand> reconcile(WorkerSession& session, const MachineState* record,
                                     const TokenRange& tokens, bool mayLaunch,
                                     const std::function<DesiredState(const AttemptId&)>& desired) {
  if (!session.lastReport) return {};
  return Reconciliation(session, record, tokens, mayLaunch, desired).run();
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
  // A direct launch of the leader that got no answer may arrive minutes later. The worker accepts
  // it as long as no other leader sends a newer token, and this answer extends the worker session
  // for which the launch is valid. A launch together with a stop makes the delayed launch harmless.
  // This is safe for a job whose end is `known`: none of its tasks is placed again, so this attempt
  // is the only one. It is not safe for an end that is `notReadBack`: the worker may have cleared
  // the attempt while a newer attempt runs elsewhere, and the launch would start the old attempt
  // again. In that case no user was notified of the job's end before these records were read, so
  // the limit on the lease is enough.
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
