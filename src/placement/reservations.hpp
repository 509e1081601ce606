/// \file
/// Machines whose room is gathered for jobs that waited long and find none at once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "placement/plan_state.hpp"

namespace kestrelhoist {

class JobPlacement;

/// Small work fills each piece of room as it comes free, so a gang or a task that needs most of a
/// machine would never find enough: the machines where it comes first are reserved for it, and
/// until that moment take only what ends before. Nothing is stored: a later plan, or leader, finds
/// the same machines, since nothing that lasts longer was placed there.
class Reservations {
 public:
  /// Reserves the machines where so many tasks of the job find room first. No more than a few jobs
  /// at a time get any.
  void reserve(const PlanInput& input, const PlanState& state, const JobPlacement& placement,
               std::uint32_t tasks);

  bool empty() const { return byMachine_.empty(); }
  /// In how many seconds a job other than this one needs the machine; empty: none does.
  std::optional<double> neededIn(std::size_t machine, const PlanJob& job) const;
  /// The reserved machines, in the order of the input.
  std::vector<MachineId> machines(const PlanInput& input) const;

 private:
  struct Reservation {
    double neededInS{};
    const PlanJob* job{};
  };
  /// Room for one task.
  struct Slot {
    double freeInS{};
    std::size_t machine{};
    bool operator<(const Slot& other) const;
  };
  using SlotsByZone = std::map<std::uint32_t, std::vector<Slot>>;

  SlotsByZone findSlots(const PlanInput& input, const PlanState& state,
                        const JobPlacement& placement) const;
  static void appendSlots(const PlanMachine& machine, std::size_t index, Resources free,
                          const Resources& perTask, std::vector<Slot>& slots);
  static std::vector<Slot> earliestSlots(SlotsByZone byZone, std::uint32_t tasks, bool gang);

  std::map<std::size_t, Reservation> byMachine_;
  int jobs_ = 0;  ///< that have reserved something
};

}  // namespace kestrelhoist
