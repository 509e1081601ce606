/// \file
/// Compares a machine's record with its worker's newest report, and derives the commands to send
/// and the attempt outcomes that are proven. These functions perform no I/O; the guarantee that a
/// task runs at most once rests on them (docs/safety.md).
#pragma once

#include <functional>
#include <map>

#include "fleet/cleared_attempts.hpp"
#include "fleet/direct_launches.hpp"
#include "fleet/heartbeat_messages.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

/// Says why a task attempt no longer runs on its machine.
enum class AttemptOutcome { done, stopped, failed, refused, lost };

/// Holds the tokens that a leader has used since its election. A worker that has seen one of them
/// obeys commands of this leader only.
struct TokenRange {
  FencingToken first;   ///< Is the token of the election.
  FencingToken newest;  ///< Is the token of new commands.

  /// Returns whether the worker with this highest token obeys this leader only.
  bool contains(FencingToken token) const { return first <= token && token <= newest; }
};

/// Holds the leader's state of one worker between two of the worker's reports.
struct WorkerSession {
  /// Is the newest report, either a heartbeat or the answer to a direct command.
  std::optional<Report> lastReport;
  Instant lastReportAt{};
  /// Is the sequence number of the worker's newest heartbeat. The worker sends a heartbeat only
  /// after it has carried out the commands in the answer to the previous heartbeat or has given up
  /// waiting for that answer. The worker's answer to a direct command may reach the leader before
  /// the worker has received that heartbeat answer.
  ReportSequence lastHeartbeatSequence{};
  /// Is the time at which the newest heartbeat arrived.
  std::optional<Instant> lastHeartbeatAt;
  WorkerEpoch lastHeartbeatEpoch{};  ///< Is the worker epoch in the newest heartbeat.
  /// Maps each attempt for which a launch may have been sent to the sequence number of the newest
  /// report at that time. Only a report with a higher number can prove that the attempt is absent
  /// from the worker.
  std::map<AttemptId, ReportSequence> launchSequences;
  /// Contains the direct launches that may arrive, for the first time or once more. The leader
  /// never sends `clear` for such an attempt, because a worker that forgot it would start it again.
  /// If a launch is unanswered, the leader accepts only the state `ended` as proof that the attempt
  /// does not run.
  DirectLaunches directLaunches;
  ClearedAttempts clearedAttempts;
  /// Counts the reported attempts that have ended, are no longer recorded and must not be cleared.
  std::size_t retainedAttempts = 0;
  /// Maps each attempt to stop to the time that it may use to save its state.
  std::map<AttemptId, Duration> stopRequests;
  /// Holds the proven outcomes that are still to be committed.
  std::map<AttemptId, AttemptOutcome> outcomes;
};

/// Says whether the leader wants a recorded attempt to run or to stop.
struct DesiredState {
  bool stop{};
  Duration grace{};
};

/// Applies a report to the session. Returns false if the report is not newer than the last one.
/// `isHeartbeat` is false if the report answers a direct command.
bool updateSession(WorkerSession& session, const Report& report, Instant now,
                   bool isHeartbeat = true);

/// Adds the outcomes that the newest report proves to `session.outcomes`, records in the session
/// which launches are returned, and returns the commands for the worker. `record` is null if the
/// machine has no record. `mayLaunch` says whether the commands may include launches. `desired` is
/// called for each recorded attempt without a proven outcome.
std::vector<WorkerCommand> reconcile(WorkerSession& session, const MachineState* record,
                                     const TokenRange& tokens, bool mayLaunch,
                                     const std::function<DesiredState(const AttemptId&)>& desired);

/// Says whether a controller's records show that a job is over. `notReadBack` means that a commit
/// of this controller ended the job and its change feed has not returned that commit yet, so that
/// placements committed earlier may be missing from the records.
enum class JobEnd { none, notReadBack, known };

/// Returns the commands for a worker whose lease a controller renews in place of the leader. They
/// only stop tasks of jobs that are over according to this controller's records. `record` is the
/// machine's record in this controller's replica, or null if there is none.
std::vector<WorkerCommand> leaseOnlyCommands(const Report& report, const MachineState* record,
                                             const std::function<JobEnd(const JobId&)>& end);

}  // namespace kestrelhoist
