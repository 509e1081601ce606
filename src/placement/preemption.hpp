/// \file
/// Frees resources for a waiting task by stopping less important tasks.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "placement/job_placement.hpp"
#include "placement/machine_candidate.hpp"

namespace kestrelhoist {

/// Selects the machines on which tasks may be stopped for a waiting task.
enum class PreemptionTarget {
  anyMachine,  ///< All machines that the job may use are considered.
  /// Only machines that have the job's image are considered, and only if stopping tasks there costs
  /// less than fetching the image elsewhere.
  machinesWithImage,
};

/// Frees resources for the tasks of one job. A machine is identified by its index in
/// PlanInput::machines.
class Preemption {
 public:
  /// Creates the preemption for the job of `placement`. `machinesWithStoppableTasks` holds the
  /// machines on which a task may be stopped or is stopping.
  Preemption(const PlanInput& input, PlanState& state, JobPlacement& placement,
             const std::vector<std::size_t>& machinesWithStoppableTasks);

  /// Allocates resources for one task on a machine where stopping tasks will free them, and stops
  /// less important tasks if that is not enough. Returns false if no machine qualifies. A later
  /// plan places the task, once the resources are free.
  bool freeResources(PreemptionTarget target);

 private:
  using Victims = std::vector<const PlanTask*>;
  /// Describes which tasks to stop on a machine so that one task of the job fits, and the cost.
  struct PreemptionOption {
    double cost{};  ///< The cost is roughly a number of seconds.
    Victims victims;
  };

  CandidateQueue& candidatesFor(PreemptionTarget target);
  std::optional<PreemptionOption> preemptionOptionFor(std::size_t machine,
                                                      PreemptionTarget target) const;
  bool isCandidate(std::size_t machine, PreemptionTarget target) const;
  bool mayStop(bool guaranteed, const PlanTask& task) const;
  Victims stoppableOn(std::size_t machine) const;
  void apply(std::size_t machine, const Victims& victims);

  const PlanInput& input_;
  PlanState& state_;
  JobPlacement& placement_;
  const std::vector<std::size_t>& machinesWithStoppableTasks_;
  std::array<std::optional<CandidateQueue>, 2> candidates_;  ///< Is indexed by PreemptionTarget.
};

}  // namespace kestrelhoist
