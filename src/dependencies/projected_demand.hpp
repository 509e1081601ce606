/// \file
/// Room that jobs will ask for, or leave, when the jobs that they await are done (DESIGN: waiting
/// downstream jobs of a running upstream job add their room). Estimates of their owners, no
/// promise.
#pragma once

#include <vector>

#include "cloud/demand.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

/// Of held jobs that are expected to become ready within `horizon`.
std::vector<ProjectedDemand> demandOfJobsReadyWithin(const Replica& replica, Duration horizon);
/// Of awaited jobs that run now and are expected to end within it.
std::vector<ProjectedDemand> demandOfDependenciesEndingWithin(const Replica& replica,
                                                              Duration horizon);

}  // namespace kestrelhoist
