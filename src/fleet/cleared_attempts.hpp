/// \file
/// Detects that a worker reports an attempt again that the leader told it to clear.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "fleet/heartbeat_messages.hpp"

namespace kestrelhoist {

/// Remembers the attempts that one worker was told to clear most recently. An attempt that was
/// absent from a report and is reported again was started a second time, so a task may run on two
/// machines at once.
class ClearedAttempts {
 public:
  /// Limits the number of attempts that are remembered.
  static constexpr std::size_t kMaxAttempts = 64;

  /// Records that the leader derived a `clear` of this attempt.
  void onClear(const AttemptId& attempt);
  /// Forgets all attempts, because the worker has begun a new epoch.
  void onNewWorkerEpoch();
  /// Applies a newer report and returns the attempts that it contains although an earlier report
  /// no longer contained them.
  std::vector<AttemptId> onReport(const Report& report);

 private:
  /// Maps each attempt to whether a report has shown its absence.
  std::map<AttemptId, bool> isAbsent_;
  std::deque<AttemptId> order_;  ///< Holds the attempts, the least recently cleared first.
};

}  // namespace kestrelhoist
