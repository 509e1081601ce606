/// \file
/// Sends probes to workers whose reports are missing. A probe is a direct command request without
/// commands; the worker answers it with a report.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

#include "connectivity/worker_transport.hpp"
#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Returns whether a probe that was sent at `sent` is evidence that the machine is dead. A missing
/// answer is no evidence if the path to the machine is not known to work, or if a report has
/// arrived since.
bool isFailedProbe(const Machine& machine, Instant sent, ProbeOutcome outcome);

/// Returns whether the worker refused a request because the request named an earlier worker epoch
/// than the worker's own. Such a worker has not accepted this leader's token, without which the
/// machine gets no tasks. The leader then repeats the request with the epoch that the worker
/// reported.
bool refusedForItsSession(const Machine& machine, WorkerEpoch requested, FencingToken token);

/// Probes workers while this controller leads. Only the reports in the answers are used; commands
/// are sent in the answer to the next heartbeat.
class WorkerProber {
 public:
  /// @param context The context of the current leadership.
  /// @param fleet The machines to probe; it must outlive the prober.
  WorkerProber(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Probes machines whose reports are overdue.
  void probeOverdue();
  /// Probes this machine unless a probe of it is still unanswered.
  void probe(Machine& machine);
  /// Asks this machine for its report. A missing answer is not counted as a failed probe.
  void requestReport(const Machine& machine);
  /// Returns whether a probe is unanswered that was sent to a machine without any report to this
  /// leader.
  bool awaitsFirstReport() const;

  /// This callback runs after a newer report of a machine is applied, because the report may prove
  /// an outcome.
  std::function<void(Machine&)> onReport;

 private:
  std::vector<Machine*> machinesToProbe(Instant now);
  WorkerEpoch probedEpoch(const Machine& machine) const;
  struct SentProbe {
    Instant at;
    WorkerEpoch workerEpoch;  ///< Is the worker epoch that the probe names.
  };
  void onResult(const MachineId& id, const SentProbe& sent, const ProbeResult& result);
  void onUnanswered(Machine& machine, Instant sent, const ProbeResult& result) const;
  bool applyAnswer(Machine& machine, const SentProbe& sent, const Response& response);
  void adaptToUnreachableZone(bool reached);

  static constexpr std::size_t kMinZoneProbes = 2;
  /// Limits the number of probes without an answer at the same time.
  static constexpr std::size_t kMaxProbes = 32;

  LeaderContext& context_;
  Fleet& fleet_;
  std::set<MachineId> unansweredProbes_;  ///< Contains the machines with an unanswered probe.
  /// Limits the probes per call to machines in unreachable zones.
  std::size_t maxUnreachableZoneProbes_ = kMinZoneProbes;
};

}  // namespace kestrelhoist
