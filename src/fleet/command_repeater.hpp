/// \file
/// Repeats commands that a worker has not confirmed, so that tasks do not wait for the next
/// heartbeat if the answer to a heartbeat or a direct command is lost.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

/// Records to which machines launches and stops were sent, and when. The class performs no I/O and
/// is not thread-safe.
class CommandRepeater {
 public:
  /// @param send Sends a machine the commands that its newest report does not confirm. Returns
  ///        false if there are none, or if the machine no longer exists.
  explicit CommandRepeater(std::function<bool(const MachineId&)> send) : send_(std::move(send)) {}

  /// Records that launches or stops were sent to the machine, directly or in the answer to a
  /// heartbeat, or that the machine's answer to a probe shows that some commands may be missing.
  void expectConfirmation(const MachineId& machine, Instant now);
  /// Repeats commands that have been unconfirmed for some time, the oldest first and for a limited
  /// number of machines at a time.
  void repeatDue(Instant now);
  /// This callback runs for each machine whose commands are repeated; it may be null.
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
