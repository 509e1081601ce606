/// \file
/// Implements the initial heartbeat round of a new leader, in which the leader learns which tasks
/// run on which machines before it places tasks or terminates machines.
#pragma once

#include <cstddef>
#include <deque>

#include "fleet/worker_prober.hpp"

namespace kestrelhoist {

/// Asks the workers that have not reported to a new leader for their reports, and determines when
/// the round is over: each worker has had the time to report, or each listed machine has reported
/// or its probe has failed.
class InitialRound {
 public:
  /// @param context The context of the current leadership.
  /// @param fleet The machines; it must outlive the round.
  /// @param prober The sender of the probes; it must outlive the round.
  InitialRound(LeaderContext& context, Fleet& fleet, WorkerProber& prober)
      : context_(context), fleet_(fleet), prober_(prober) {}

  /// Starts to probe the machines that have not reported. Only the first call has an effect. It
  /// must be called when a list of machines is available, which contains their addresses.
  void probeUnreported();
  /// Returns whether the round is over.
  bool isOver() const;

 private:
  void probeNextBatch();
  void repeatUnanswered(std::size_t repeat);

  LeaderContext& context_;
  Fleet& fleet_;
  WorkerProber& prober_;
  bool isProbing_ = false;
  std::deque<MachineId> queue_;   ///< Contains the machines that are still to be probed.
  std::deque<MachineId> probed_;  ///< Contains the machines that were probed.
};

}  // namespace kestrelhoist
