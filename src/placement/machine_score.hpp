/// \file
/// Rates machines with free resources, to choose the best machine for a task.
#pragma once

#include <vector>

#include "placement/job_placement.hpp"

namespace kestrelhoist {

/// Computes the scores of machines for the tasks of one job. A score takes into account the tasks
/// that the plan has placed so far. A machine is identified by its index in PlanInput::machines.
class MachineScore {
 public:
  /// Creates the scoring for the job of `placement`. `machinesWithFreeResources` holds the machines
  /// with free resources.
  MachineScore(const PlanInput& input, const PlanState& state, const JobPlacement& placement,
               const std::vector<std::size_t>& machinesWithFreeResources);

  /// Returns the score of a machine. A higher score is better.
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
  void countFreeMachinesByZone(const std::vector<std::size_t>& machinesWithFreeResources);

  const PlanInput& input_;
  const PlanState& state_;
  const JobPlacement& placement_;
  /// Sums free shares of machines by zone, for one-zone jobs.
  std::vector<double> freeMachinesInZone_;
};

}  // namespace kestrelhoist
