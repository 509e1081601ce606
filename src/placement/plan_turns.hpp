// The order in which the waiting jobs of a plan are served.
#pragma once

#include <vector>

#include "placement/order.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

// Jobs by their index in PlanInput::jobs.
std::vector<OrderTurn> turnsOf(const PlanInput& input);

}  // namespace kestrelhoist
