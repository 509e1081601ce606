/// Records when this controller last acknowledged each worker's heartbeat.
#pragma once

#include <map>

#include "base/runtime.hpp"

namespace kestrelhoist {

/// Per worker, the arrival time of the newest heartbeat that this controller answered.
///
/// A new leader asks its peers for these times to learn until when the tasks of workers that it
/// does not hear from can run; they survive the end of any single leader. The times decide when a
/// machine's release is requested, never whether a task counts as ended.
class HeartbeatAckLog {
 public:
  /// Records that the heartbeat which arrived at `receivedAt` has been answered.
  void record(const MachineId& machine, Instant receivedAt);
  /// Drops workers that have not been answered for ten minutes.
  void expire(Instant now);
  const std::map<MachineId, Instant>& entries() const { return acknowledgedAt_; }

  /// Encodes the log as {machine: age in milliseconds}.
  Json toJson(Instant now) const;
  /// Decodes a peer's log that was received at `receivedAt` on the local clock. Ages count from
  /// then, so each time is an upper bound. Entries of the wrong type are ignored.
  static std::map<MachineId, Instant> parse(const Json& v, Instant receivedAt);

 private:
  std::map<MachineId, Instant> acknowledgedAt_;
};

}  // namespace kestrelhoist
