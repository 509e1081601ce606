/// \file
/// Projects which resources blocked jobs will request, and which resources their dependencies will
/// free, when the dependencies end. The projection relies on the run times that job owners
/// estimate.
#pragma once

#include <vector>

#include "cloud/demand.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

/// Returns the demand of the blocked jobs whose dependencies are expected to end within `horizon`.
std::vector<ProjectedDemand> demandOfJobsReadyWithin(const Replica& replica, Duration horizon);
/// Returns the resources of the running dependencies of blocked jobs that are expected to end
/// within `horizon`.
std::vector<ProjectedDemand> demandOfDependenciesEndingWithin(const Replica& replica,
                                                              Duration horizon);

}  // namespace kestrelhoist
