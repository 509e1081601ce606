/// \file
/// Holds the intermediate state of a plan while the planner works on it.
#pragma once

#include <set>
#include <vector>

#include "placement/planner.hpp"

namespace kestrelhoist {

/// Holds the decisions made so far, and the resources that they leave. The planner copies the state
/// before it places a gang, and restores it if not all tasks of the gang fit. A machine is
/// identified by its index in PlanInput::machines.
struct PlanState {
  explicit PlanState(const PlanInput& input);

  Plan plan;
  /// Holds, by machine, the resources that are free now and that this plan has not allocated.
  std::vector<Resources> free;
  /// Holds, by machine, the resources that are free once all stopping tasks have ended, less those
  /// that this plan has allocated.
  std::vector<Resources> freeAfterStops;
  /// Holds, by machine, the share that protected services use.
  std::vector<double> protectedShare;
  std::vector<std::vector<PlanImage>> images;  ///< Holds the images of each machine.
  std::vector<Resources> used;                 ///< Holds the resources that each team uses.
  std::set<AttemptId> stopped;                 ///< Holds the tasks that this plan stops.
};

}  // namespace kestrelhoist
