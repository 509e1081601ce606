/// \file
/// Remembers what a controller can tell of workers' leases, for the controller that leads next.
#pragma once

#include <map>

#include "config/platform.hpp"
#include "fleet/heartbeat_messages.hpp"
#include "fleet/lease_estimate.hpp"

namespace kestrelhoist {

/// What leases of this deployment's workers depend on.
LeaseTerms leaseTermsOf(const Platform& platform);

/// What a controller tells of leases, by worker.
using LeaseSightings = std::map<MachineId, LeaseSighting>;

/// The form in which peers are told.
Json toJson(const LeaseSightings& sightings, Instant now);
/// Decodes what was received at `receivedAt` on the local clock. Entries that are malformed are
/// ignored.
LeaseSightings leaseSightingsFrom(const Json& v, Instant receivedAt);

/// The heartbeats that workers sent to this controller, as far as they tell of leases that may
/// still run. A new leader has received none of its own, and begins with what all controllers know.
class LeaseLog {
 public:
  /// @param platform The settings of this controller.
  explicit LeaseLog(const Platform& platform);

  /// A worker sent this heartbeat here.
  void onHeartbeat(const Report& report, Instant now);
  /// Another controller told this.
  void adopt(const LeaseSightings& sightings);
  /// Drops what tells of no lease that may still run.
  void expire(Instant now);
  /// What is known of each worker.
  LeaseSightings sightings(Instant now) const;

 private:
  bool mayMatter(const LeaseSighting& sighting, Instant now) const;

  MemberId self_;
  LeaseTerms terms_;
  std::map<MachineId, LeaseEstimate> leases_;
};

}  // namespace kestrelhoist
