#include "fleet/command_repeater.hpp"

#include <algorithm>
#include <vector>

namespace kestrelhoist {
namespace {

// A worker whose tasks change reports the change within 0.5 s of its last report (PROTOCOL,
// "Workers").
constexpr Duration kRepeatAfter{750};
// Commands are repeated at most this often until a newer heartbeat arrives.
constexpr int kMaxRepeats = 3;
constexpr std::size_t kMaxMachinesAtOnce = 16;

}  // namespace

void CommandRepeater::expectConfirmation(const MachineId& machine, Instant now) {
  sent_.insert_or_assign(machine, Sent{now});
}

void CommandRepeater::repeatDue(Instant now) {
  for (const auto& machine : due(now)) repeat(machine, now);
}

std::vector<MachineId> CommandRepeater::due(Instant now) const {
  std::vector<std::pair<Instant, MachineId>> oldest;
  for (const auto& [machine, sent] : sent_) {
    if (now - sent.at >= kRepeatAfter) oldest.emplace_back(sent.at, machine);
  }
  std::sort(oldest.begin(), oldest.end());
  if (oldest.size() > kMaxMachinesAtOnce) oldest.resize(kMaxMachinesAtOnce);
  std::vector<MachineId> machines;
  machines.reserve(oldest.size());
  for (auto& [at, machine] : oldest) machines.push_back(std::move(machine));
  return machines;
}

void CommandRepeater::repeat(const MachineId& machine, Instant now) {
  const int repeats = sent_.at(machine).repeats + 1;
  if (repeats > kMaxRepeats || !send_(machine)) {
    sent_.erase(machine);
    return;
  }
  sent_.insert_or_assign(machine, Sent{now, repeats});
  if (onRepeated) onRepeated();
}

}  // namespace kestrelhoist
