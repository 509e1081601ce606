// Compares a machine's record with what its worker reports: what to order, and what is proven.
// Pure: the whole argument that a task runs at most once rests here (docs/safety.md).
#pragma once

#include <functional>
#include <map>
#include <set>

#include "fleet/heartbeat_messages.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

// Why a task is off its machine.
enum class AttemptOutcome { done, stopped, failed, refused, lost };

// What the leader remembers of one machine between its reports.
struct WorkerSession {
  std::optional<Report> lastReport;  // the newest
  Instant lastReportAt{};
  // The newest that the worker sent of its own accord. It sends one only after it has carried out
  // or given up the answer to the one before; an answer to a direct command may overtake that
  // answer.
  ReportSequence lastHeartbeatSequence{};
  // Attempts that may have been told to launch, with the newest report known by then: only a
  // later report can prove them absent.
  std::map<AttemptId, ReportSequence> launchSequences;
  // Attempts with a direct launch that got no answer: it may still arrive. The worker must know
  // the attempt for good, so these are proven gone only as `ended`, and never cleared.
  // Once for each such command: an answer to another one with the same launch, which may have gone
  // another way, says nothing of it.
  std::multiset<AttemptId> unacknowledgedLaunches;
  std::map<AttemptId, Duration> stopRequests;    // asked for, with the time to save
  std::map<AttemptId, AttemptOutcome> outcomes;  // proven, to be committed
};

// What the leader wants with an attempt on record.
struct DesiredState {
  bool stop{};
  Duration grace{};
};

// Takes a newer report in; false if it is not newer than the last one. `beat`: sent by the worker
// of its own accord, not as the answer to a direct command.
bool updateSession(WorkerSession& session, const Report& report, Instant now,
                   bool isHeartbeat = true);

// Updates memory.gone and returns the orders. `record` is null for a machine that has none.
std::vector<WorkerCommand> reconcile(WorkerSession& session, const MachineState* record,
                                     FencingToken token, bool mayLaunch,
                                     const std::function<DesiredState(const AttemptId&)>& desired);

// Whether a job is over by a controller's records, and whether these are complete up to its end:
// behind a commit of its own that was not read back, placements from before it may be missing.
enum class JobEnd { none, notReadBack, known };

// Orders for a worker whose lease a controller renews in the leader's stead: none but stops of jobs
// that are over by its records. `record`: as that controller's copy has it.
std::vector<WorkerCommand> leaseOnlyCommands(const Report& report, const MachineState* record,
                                             const std::function<JobEnd(const JobId&)>& end);

}  // namespace kestrelhoist
