#include "placement/earliest_slots.hpp"

#include <algorithm>
#include <utility>

namespace kestrelhoist {

bool MachineSlots::operator<(const MachineSlots& other) const {
  return std::pair(freeInS, machine) < std::pair(other.freeInS, other.machine);
}

void EarliestSlots::add(const MachineSlots& slots) {
  if (slots.tasks == 0 || maxTasks_ == 0) return;
  if (suffice() && !(slots < latestFirst_.top())) return;
  latestFirst_.push(slots);
  tasks_ += slots.tasks;
  while (tasks_ - latestFirst_.top().tasks >= maxTasks_) {
    tasks_ -= latestFirst_.top().tasks;
    latestFirst_.pop();
  }
}

std::vector<MachineSlots> EarliestSlots::sorted() const {
  std::vector<MachineSlots> slots;
  slots.reserve(latestFirst_.size());
  for (auto rest = latestFirst_; !rest.empty(); rest.pop()) slots.push_back(rest.top());
  std::reverse(slots.begin(), slots.end());
  return slots;
}

}  // namespace kestrelhoist
