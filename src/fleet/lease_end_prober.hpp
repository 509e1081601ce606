/// \file
/// Asks workers whether their session has ended at the moment at which their lease can end.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// What came of asking a worker at the end of its lease.
enum class LeaseEndAnswer { sameSession, newSession, none };
/// The answer's name as it appears in logs and metrics.
const char* toString(LeaseEndAnswer answer);

/// Probes workers with tasks at the ends of their leases, as far as these can be estimated. A
/// worker whose answers are lost waits for them for seconds, so that its next heartbeat tells of
/// its new session much later. Unlike WorkerProber's, these probes are no evidence against a
/// machine.
class LeaseEndProber {
 public:
  /// @param context Of the present leadership.
  /// @param fleet The machines that are probed; outlives the prober.
  LeaseEndProber(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Schedules probes of the machines whose lease can end within `horizon`. Call it at least that
  /// often.
  void schedule(Duration horizon);

  /// Called after a newer report of a machine was applied: it may have proven an outcome.
  std::function<void(Machine&)> onReport;

 private:
  /// The lease of one session that may end.
  struct Ending {
    MachineId machine;
    WorkerEpoch workerEpoch;
    Instant end;
  };
  std::vector<Machine*> endingWithin(Duration horizon);
  bool hasTasks(const Machine& machine) const;
  bool hasProductionReplica(const Machine& machine) const;
  bool isOpen(const Ending& ending) const;
  void probeNext(const Ending& ending, std::size_t probes);
  void probe(const Ending& ending);
  void onResponse(const Ending& ending, const std::optional<Response>& response);

  LeaderContext& context_;
  Fleet& fleet_;
  std::set<MachineId> scheduled_;  ///< machines that are being probed, or will be
  std::size_t probesLeft_ = 0;     ///< until the next call of schedule()
};

}  // namespace kestrelhoist
