/// \file
/// Reserves machines for jobs that have waited long and do not fit into the free resources.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "placement/earliest_slots.hpp"
#include "placement/plan_state.hpp"

namespace kestrelhoist {

class JobPlacement;

/// Selects the machines that a plan reserves, with backfill. Small tasks fill resources as soon as
/// they become free, so a gang, or a task that needs most of a machine, would never find enough.
/// The machines on which it fits earliest are therefore reserved for it, and until then accept only
/// tasks that end before. Reservations are not stored: a later plan, or a new leader, selects the
/// same machines again, because no task that runs longer was placed on them.
class Reservations {
 public:
  /// Reserves the machines on which `tasks` tasks of the job fit earliest. Only a few jobs have
  /// reservations at a time; for further jobs, the call does nothing.
  void reserve(const PlanInput& input, const PlanState& state, const JobPlacement& placement,
               std::uint32_t tasks);

  /// Returns whether no machine is reserved.
  bool empty() const { return byMachine_.empty(); }
  /// Returns in how many seconds another job than `job` needs the machine; empty if no other job
  /// has reserved it.
  std::optional<double> neededIn(std::size_t machine, const PlanJob& job) const;
  /// Returns the reserved machines, in the order of PlanInput::machines.
  std::vector<MachineId> machines(const PlanInput& input) const;

 private:
  struct Reservation {
    double neededInS{};
    const PlanJob* job{};
  };
  using SlotsByZone = std::map<std::uint32_t, EarliestSlots>;

  SlotsByZone findSlots(const PlanInput& input, const PlanState& state,
                        const JobPlacement& placement, std::uint32_t tasks) const;
  static void addSlots(const PlanMachine& machine, std::size_t index, Resources free,
                       const Resources& perTask, std::uint32_t tasks, EarliestSlots& slots);
  static std::vector<MachineSlots> earliestSlots(const SlotsByZone& byZone, bool gang);

  std::map<std::size_t, Reservation> byMachine_;
  int jobs_ = 0;  ///< Counts the jobs that have reserved a machine.
};

}  // namespace kestrelhoist
