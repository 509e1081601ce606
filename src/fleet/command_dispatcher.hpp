// What the leader says to machines outside their reports: orders that should not wait, and
// questions. Answers bring reports, from which only facts are taken.
#pragma once

#include <deque>
#include <functional>
#include <set>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

class CommandDispatcher {
 public:
  CommandDispatcher(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  // Sends a machine its orders now rather than with its next report.
  void sendCommands(const MachineId& id);
  // Asks all machines that this leader has not heard, once there is a list.
  void probeAll();
  void probeOverdue();
  bool initialRoundOver() const;

  // A machine's newer report was taken in: it may have proven something.
  std::function<void(Machine&)> onReport;

 private:
  void probe(Machine& m);

  LeaderContext& context_;
  Fleet& fleet_;
  bool probedAll_ = false;  // in place of waiting for the round
  std::deque<MachineId> probeQueue_;
  std::set<MachineId> probing_;                            // no answer yet
  std::size_t unreachableZoneProbes_ = kFewestZoneProbes;  // of machines in silent zones
  static constexpr std::size_t kFewestZoneProbes = 2, kAtOnce = 32;
};

}  // namespace kestrelhoist
