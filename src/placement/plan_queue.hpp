/// \file
/// Orders the waiting jobs of a plan's input.
#pragma once

#include <vector>

#include "placement/job_queue.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

/// Returns the queue entries of the input's jobs in the order in which they are served. An entry
/// identifies its job by the index in PlanInput::jobs.
std::vector<QueueEntry> buildQueue(const PlanInput& input);

}  // namespace kestrelhoist
