/// \file
/// The decisions of a plan that is being made.
#pragma once

#include <set>
#include <vector>

#include "placement/planner.hpp"

namespace kestrelhoist {

/// What has been decided so far. Copied before a gang is tried, and restored if it doesn't fit
/// whole. Machines go by their index in PlanInput::machines.
struct PlanState {
  explicit PlanState(const PlanInput& input);

  Plan plan;
  std::vector<Resources> free;                 ///< by machine: now, less what this plan books
  std::vector<Resources> soon;                 ///< by machine: once everything stopping has gone
  std::vector<double> protectedShare;          ///< by machine: what protected services take of it
  std::vector<std::vector<PlanImage>> images;  ///< by machine
  std::vector<Resources> used;                 ///< by team
  std::set<AttemptId> stopped;                 ///< tasks that this plan stops
};

}  // namespace kestrelhoist
