/// \file
/// What the leader sends to workers outside the answers to their heartbeats: commands that should
/// not wait, and probes. The responses are reports, of which only the state is applied.
#pragma once

#include <deque>
#include <functional>
#include <set>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Sends direct commands and probes while this controller leads.
class CommandDispatcher {
 public:
  CommandDispatcher(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Sends a machine its commands now rather than in answer to its next heartbeat.
  void sendCommands(const MachineId& id);
  /// Probes all machines that this leader has no report of, once there is a list of them.
  void probeAll();
  /// Probes machines that should have reported by now.
  void probeOverdue();
  /// Whether each worker had the time to report to this leader or was probed in vain.
  bool initialRoundOver() const;

  /// Called after a newer report of a machine was applied: it may have proven an outcome.
  std::function<void(Machine&)> onReport;

 private:
  void probeNextBatch();
  void probe(Machine& m);

  LeaderContext& context_;
  Fleet& fleet_;
  bool probedAll_ = false;  ///< instead of waiting for the initial round
  std::deque<MachineId> probeQueue_;
  std::set<MachineId> probing_;                            ///< no response yet
  std::size_t unreachableZoneProbes_ = kFewestZoneProbes;  ///< at a time, in unreachable zones
  static constexpr std::size_t kFewestZoneProbes = 2, kAtOnce = 32;
};

}  // namespace kestrelhoist
