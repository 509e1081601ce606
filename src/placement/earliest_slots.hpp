/// \file
/// Collects the resources that become free earliest for the tasks of one job.
#pragma once

#include <cstddef>
#include <cstdint>
#include <queue>
#include <vector>

namespace kestrelhoist {

/// Describes resources on a machine that become free at the same time for some tasks of a job.
struct MachineSlots {
  double freeInS{};       ///< This is the number of seconds until the resources are free.
  std::size_t machine{};  ///< Is an index into PlanInput::machines.
  std::uint32_t tasks{};  ///< Counts the tasks of the job that fit side by side.

  /// Orders slots by time and, at the same time, by machine.
  bool operator<(const MachineSlots& other) const;
};

/// Keeps the earliest of all slots that are added, up to a number of tasks. Slots for any number of
/// tasks are one entry, and later ones are dropped at once, so the memory is bounded by the number
/// of tasks and by the number of slots that are added, however small the tasks are.
class EarliestSlots {
 public:
  /// Keeps slots for up to `maxTasks` tasks.
  explicit EarliestSlots(std::uint32_t maxTasks) : maxTasks_(maxTasks) {}

  /// Adds slots. The latest ones are dropped as soon as the others suffice for all tasks.
  void add(const MachineSlots& slots);

  /// Returns whether the slots suffice for all tasks.
  bool suffice() const { return tasks_ >= maxTasks_; }
  /// Returns the slots that were kept, the earliest first.
  std::vector<MachineSlots> sorted() const;

 private:
  std::uint32_t maxTasks_;
  std::uint64_t tasks_ = 0;  ///< Counts the tasks for which there are slots.
  std::priority_queue<MachineSlots> latestFirst_;
};

}  // namespace kestrelhoist
