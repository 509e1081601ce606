/// \file
/// Declares the log of when this controller last acknowledged a heartbeat of each worker.
#pragma once

#include <map>

#include "base/runtime.hpp"

namespace kestrelhoist {

/// Keeps, for each worker, the arrival time of the newest heartbeat that this controller
/// acknowledged.
///
/// A new leader asks its peers for these times. They bound how long the tasks of a worker can run
/// whose heartbeats do not reach the new leader. Every controller keeps its own log, so the times
/// survive a failover. They decide when a machine's termination is requested, but never whether a
/// task counts as ended.
class HeartbeatAckLog {
 public:
  /// Records that the worker's heartbeat which arrived at `receivedAt` has been acknowledged.
  void record(const MachineId& machine, Instant receivedAt);
  /// Removes the workers whose newest acknowledged heartbeat arrived more than ten minutes ago.
  void expire(Instant now);
  const std::map<MachineId, Instant>& entries() const { return acknowledgedAt_; }

  /// Encodes the log as a JSON object from machine ids to ages in milliseconds.
  Json toJson(Instant now) const;
  /// Decodes a peer's log that was received at `receivedAt` on the local clock. Each age is
  /// subtracted from `receivedAt`, so each resulting time is no earlier than the true one. Entries
  /// of the wrong type are ignored.
  static std::map<MachineId, Instant> parse(const Json& v, Instant receivedAt);

 private:
  std::map<MachineId, Instant> acknowledgedAt_;
};

}  // namespace kestrelhoist
