/// \file
/// Probes workers at the time at which their leases can expire, to learn whether their sessions
/// have ended.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Is the result of a probe at the expiry of a worker's lease.
enum class LeaseEndAnswer { sameSession, newSession, none };
/// Returns the answer's name as it appears in logs and metrics.
const char* toString(LeaseEndAnswer answer);

/// Probes workers with tasks at the estimated expiry of their leases. A worker whose answers are
/// lost waits several seconds for them, so its next heartbeat reports the new session much later
/// than a probe does. Unlike the probes of WorkerProber, an unanswered probe is no evidence that
/// the machine is dead.
class LeaseEndProber {
 public:
  /// @param context The context of the current leadership.
  /// @param fleet The machines to probe; it must outlive the prober.
  LeaseEndProber(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Schedules probes of the machines whose leases can expire within `horizon`. It must be called
  /// at least once per `horizon`.
  void schedule(Duration horizon);

  /// This callback runs after a newer report of a machine is applied, because the report may prove
  /// an outcome.
  std::function<void(Machine&)> onReport;

 private:
  /// Identifies the lease of one worker session that can expire.
  struct ExpiringLease {
    MachineId machine;
    WorkerEpoch workerEpoch;
    Instant expiry;
  };
  std::vector<Machine*> machinesExpiringWithin(Duration horizon);
  bool hasTasks(const Machine& machine) const;
  bool hasProductionReplica(const Machine& machine) const;
  bool isUnresolved(const ExpiringLease& lease) const;
  void probeNext(const ExpiringLease& lease, std::size_t probes);
  void probe(const ExpiringLease& lease);
  void onResponse(const ExpiringLease& lease, const std::optional<Response>& response);

  LeaderContext& context_;
  Fleet& fleet_;
  std::set<MachineId> scheduled_;  ///< Contains the machines with scheduled probes.
  /// Is the number of probes that may still be sent before the next call of schedule().
  std::size_t probesLeft_ = 0;
};

}  // namespace kestrelhoist
