/// \file
/// The order in which the waiting jobs of a plan are served.
#pragma once

#include <vector>

#include "placement/job_queue.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

/// Jobs by their index in PlanInput::jobs.
std::vector<QueueEntry> queueOf(const PlanInput& input);

}  // namespace kestrelhoist
