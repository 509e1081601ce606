/// \file
/// Records a controller's observations of worker leases, which the next leader uses.
#pragma once

#include <map>

#include "config/platform.hpp"
#include "fleet/heartbeat_messages.hpp"
#include "fleet/lease_estimate.hpp"

namespace kestrelhoist {

/// Returns the parameters on which the leases of this deployment's workers depend.
LeaseTerms leaseTermsOf(const Platform& platform);

/// Holds a controller's lease observations by machine.
using LeaseObservations = std::map<MachineId, LeaseObservation>;

/// Encodes lease observations for a message to a peer. Times are encoded as ages at `now`.
Json toJson(const LeaseObservations& observations, Instant now);
/// Decodes lease observations from a message that arrived at `receivedAt` on the local clock.
/// Malformed entries are ignored.
LeaseObservations leaseObservationsFromJson(const Json& v, Instant receivedAt);

/// Records the heartbeats that workers sent to this controller, for leases that may not have
/// expired. A new leader may have received no heartbeats itself, so it starts from the observations
/// of all controllers.
class LeaseLog {
 public:
  /// @param platform The settings of this controller.
  explicit LeaseLog(const Platform& platform);

  /// Records a heartbeat that a worker sent to this controller.
  void onHeartbeat(const Report& report, Instant now);
  /// Merges the lease observations of another controller.
  void adopt(const LeaseObservations& observations);
  /// Removes the observations of leases that have expired.
  void expire(Instant now);
  /// Returns the observations of all leases that may not have expired.
  LeaseObservations observations(Instant now) const;

 private:
  bool mayBeUnexpired(const LeaseObservation& observation, Instant now) const;

  MemberId self_;
  LeaseTerms terms_;
  std::map<MachineId, LeaseEstimate> leases_;
};

}  // namespace kestrelhoist
