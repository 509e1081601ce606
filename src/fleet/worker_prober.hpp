/// \file
/// Probes: direct commands without content, with which the leader asks machines for the report that
/// it misses.
#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

#include "connectivity/worker_transport.hpp"
#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Whether a probe that was sent at `sent` speaks against the machine: its silence says nothing
/// unless the way to it is known to work, nor if a report has come since.
bool isFailedProbe(const Machine& machine, Instant sent, ProbeOutcome outcome);

/// Whether the worker refused a request since that named an earlier session than its own, and so
/// has not taken up this leader's token. The same request with the session that it reported shows
/// it the token, without which the machine gets no work.
bool refusedForItsSession(const Machine& machine, WorkerEpoch requested, FencingToken token);

/// Probes workers while this controller leads. Only facts are taken from the answers; commands go
/// with the next heartbeat.
class WorkerProber {
 public:
  /// @param context Of the present leadership.
  /// @param fleet The machines that are probed; outlives the prober.
  WorkerProber(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Probes machines that should have reported by now.
  void probeOverdue();
  /// Probes this machine unless an answer of it is awaited.
  void probe(Machine& machine);
  /// Asks this machine for its report. No answer is no evidence against it.
  void ask(const Machine& machine);
  /// Whether the answer of a machine that this leader has no report of is awaited.
  bool awaitsUnheard() const;

  /// Called after a newer report of a machine was applied: it may have proven an outcome.
  std::function<void(Machine&)> onReport;

 private:
  std::vector<Machine*> machinesToProbe(Instant now);
  WorkerEpoch probedEpoch(const Machine& machine) const;
  struct SentProbe {
    Instant at;
    WorkerEpoch workerEpoch;  ///< the session that it named
  };
  void onResult(const MachineId& id, const SentProbe& sent, const ProbeResult& result);
  void onUnanswered(Machine& machine, Instant sent, const ProbeResult& result) const;
  bool applyAnswer(Machine& machine, const SentProbe& sent, const Response& response);
  void adaptToUnreachableZone(bool reached);

  static constexpr std::size_t kFewestZoneProbes = 2;
  static constexpr std::size_t kMostProbes = 32;  ///< whose answers are awaited at the same time

  LeaderContext& context_;
  Fleet& fleet_;
  std::set<MachineId> awaited_;                            ///< answers that are not overdue yet
  std::size_t unreachableZoneProbes_ = kFewestZoneProbes;  ///< at a time, in unreachable zones
};

}  // namespace kestrelhoist
