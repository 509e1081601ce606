/// \file
/// Making room for a task by stopping others.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "placement/job_placement.hpp"
#include "placement/machine_candidate.hpp"

namespace kestrelhoist {

/// Where room is made for a task.
enum class PreemptionTarget {
  anyMachine,
  imageHeld,  ///< only where the job's image is, and only if that costs less than the fetch
};

/// Makes room for the tasks of one job. Machines go by their index in PlanInput::machines.
class Preemption {
 public:
  /// `clearable`: the machines with something that may be stopped or is stopping.
  Preemption(const PlanInput& input, PlanState& state, JobPlacement& placement,
             const std::vector<std::size_t>& clearable);

  /// Takes room that is about to be free, or stops less important work for it; false: there is
  /// none. The task is placed by a later plan, once the room is free.
  bool makeRoom(PreemptionTarget target);

 private:
  using Victims = std::vector<const PlanTask*>;
  /// What it takes to make room for a task on a machine.
  struct Clearing {
    double cost{};  ///< about in seconds
    Victims victims;
  };

  CandidateQueue& candidatesFor(PreemptionTarget target);
  std::optional<Clearing> clearingOf(std::size_t machine, PreemptionTarget target) const;
  bool considered(std::size_t machine, PreemptionTarget target) const;
  bool mayStop(bool guaranteed, const PlanTask& task) const;
  Victims stoppableOn(std::size_t machine) const;
  void apply(std::size_t machine, const Victims& victims);

  const PlanInput& input_;
  PlanState& state_;
  JobPlacement& placement_;
  const std::vector<std::size_t>& clearable_;
  std::array<std::optional<CandidateQueue>, 2> candidates_;  ///< by target
};

}  // namespace kestrelhoist
