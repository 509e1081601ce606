/// \file
/// Repeats commands that a worker has not confirmed, so that a lost answer to its heartbeat or a
/// lost direct command does not make its tasks wait for the next heartbeat.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

/// Remembers to which machines launches and stops were sent, and when. The class performs no I/O
/// and is not thread-safe.
class CommandRepeater {
 public:
  /// @param send Sends a machine what its newest report shows to be missing; false if that is
  ///        nothing, because the commands are confirmed or the machine is gone.
  explicit CommandRepeater(std::function<bool(const MachineId&)> send) : send_(std::move(send)) {}

  /// Launches or stops were sent to the machine, directly or in answer to its heartbeat, or its
  /// answer to a probe shows that some may be missing.
  void expectConfirmation(const MachineId& machine, Instant now);
  /// Repeats those that were sent a while ago, the oldest first and only so many at a time.
  void repeatDue(Instant now);
  /// Called for each machine whose commands are repeated; may be null.
  std::function<void()> onRepeated;

 private:
  struct Sent {
    Instant at;
    int repeats = 0;
  };
  std::vector<MachineId> due(Instant now) const;
  void repeat(const MachineId& machine, Instant now);

  std::function<bool(const MachineId&)> send_;
  std::map<MachineId, Sent> sent_;
};

}  // namespace kestrelhoist
