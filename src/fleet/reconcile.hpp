/// \file
/// Compares a machine's record with what its worker reports, and derives the commands to send and
/// the outcomes that are proven. These functions are pure: the whole argument that a task runs at
/// most once rests on them (docs/safety.md).
#pragma once

#include <functional>
#include <map>
#include <set>

#include "fleet/heartbeat_messages.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

/// Why an attempt is off its machine.
enum class AttemptOutcome { done, stopped, failed, refused, lost };

/// What the leader remembers of one worker between its reports.
struct WorkerSession {
  std::optional<Report> lastReport;  ///< The newest, whether heartbeat or answer to a command.
  Instant lastReportAt{};
  /// The newest heartbeat, that is, report which the worker sent of its own accord. It sends one
  /// only after it has carried out or given up the answer to the one before; an answer to a direct
  /// command may overtake that answer.
  ReportSequence lastHeartbeatSequence{};
  std::optional<Instant> lastHeartbeatAt;  ///< When the newest heartbeat arrived.
  WorkerEpoch lastHeartbeatEpoch{};        ///< Of that heartbeat.
  /// Attempts for which a launch may have been sent, with the newest report known by then: only a
  /// later report can prove them absent.
  std::map<AttemptId, ReportSequence> launchSequences;
  /// Attempts with a direct launch that got no answer: it may still arrive. The worker must know
  /// the attempt for good, so these are proven gone only as `ended`, and never cleared.
  /// The attempt is contained once for each such command: an answer to another command with the
  /// same launch, which may have taken another path, says nothing about it.
  std::multiset<AttemptId> unacknowledgedLaunches;
  std::map<AttemptId, Duration> stopRequests;    ///< With the time to save.
  std::map<AttemptId, AttemptOutcome> outcomes;  ///< Proven, to be committed.
};

/// What the leader wants of an attempt on record: that it runs, or that it stops.
struct DesiredState {
  bool stop{};
  Duration grace{};
};

/// Applies a report; false if it is not newer than the last one. `isHeartbeat`: the worker sent it
/// of its own accord, not as the answer to a direct command.
bool updateSession(WorkerSession& session, const Report& report, Instant now,
                   bool isHeartbeat = true);

/// Adds what the newest report proves to `session.outcomes`, notes in the session which launches it
/// returns, and returns the commands for the worker. `record` is null for a machine without one.
/// `mayLaunch`: whether launches may be among the commands. `desired` is asked for attempts on
/// record whose outcome is open.
std::vector<WorkerCommand> reconcile(WorkerSession& session, const MachineState* record,
                                     FencingToken token, bool mayLaunch,
                                     const std::function<DesiredState(const AttemptId&)>& desired);

/// Whether a job is over by a controller's records, and whether these are complete up to its end:
/// behind a commit of its own that was not read back, placements from before it may be missing.
enum class JobEnd { none, notReadBack, known };

/// Commands for a worker whose lease a controller renews in place of the leader: only stops of jobs
/// that are over by its records. `record` is that of the controller's replica, or null.
std::vector<WorkerCommand> leaseOnlyCommands(const Report& report, const MachineState* record,
                                             const std::function<JobEnd(const JobId&)>& end);

}  // namespace kestrelhoist
