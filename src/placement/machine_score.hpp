/// \file
/// Which of the machines with free room is the best for a task.
#pragma once

#include <vector>

#include "placement/job_placement.hpp"

namespace kestrelhoist {

/// Scores machines for the tasks of one job, with what is booked at the moment of asking. Machines
/// go by their index in PlanInput::machines.
class MachineScore {
 public:
  /// `open`: the machines with some free room.
  MachineScore(const PlanInput& input, const PlanState& state, const JobPlacement& placement,
               const std::vector<std::size_t>& open);

  /// Higher is better.
  double of(std::size_t machine) const;

 private:
  double spotBonus(const PlanMachine& machine) const;
  double failurePenalty(std::size_t machine) const;
  double otherImagePenalty(std::size_t machine) const;
  double leasePenalty(const PlanMachine& machine) const;
  double protectedSharePenalty(std::size_t machine) const;
  double siblingPenalty(std::size_t machine) const;
  double zonePenalty(std::uint32_t zone) const;
  double usedShare(std::size_t machine) const;
  double siblingWeight() const;
  void measureZones(const std::vector<std::size_t>& open);

  const PlanInput& input_;
  const PlanState& state_;
  const JobPlacement& placement_;
  std::vector<double> freeInZone_;  ///< whole machines; measured for jobs that go to one zone
};

}  // namespace kestrelhoist
