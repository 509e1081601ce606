/// \file
/// The initial heartbeat round of a new leader: it learns what runs where before it places work or
/// gives machines back.
#pragma once

#include <cstddef>
#include <deque>

#include "fleet/worker_prober.hpp"

namespace kestrelhoist {

/// Asks the workers that a new leader has not heard for their reports, and tells when the round is
/// over: each worker has had the time to report, or each listed machine has reported or was probed
/// in vain.
class InitialRound {
 public:
  /// @param context Of the present leadership.
  /// @param fleet The machines; outlives the round.
  /// @param prober Sends the probes; outlives the round.
  InitialRound(LeaderContext& context, Fleet& fleet, WorkerProber& prober)
      : context_(context), fleet_(fleet), prober_(prober) {}

  /// Begins to probe the machines that have not reported. Does nothing after the first call. Call
  /// it once there is a list of machines, which tells their addresses.
  void probeUnheard();
  /// Whether the round is over.
  bool isOver() const;

 private:
  void probeNextBatch();
  void repeatUnanswered(std::size_t repeat);

  LeaderContext& context_;
  Fleet& fleet_;
  WorkerProber& prober_;
  bool isProbing_ = false;
  std::deque<MachineId> queue_;   ///< machines that are to be probed
  std::deque<MachineId> probed_;  ///< machines that were probed
};

}  // namespace kestrelhoist
