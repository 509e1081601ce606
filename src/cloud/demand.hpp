/// \file
/// Computes the demand for each machine type, in machines, from the resources of placed tasks and
/// of tasks that wait for a machine.
#pragma once

#include "cloud/scaling_decision.hpp"
#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// An offering counts as capacity-constrained for this long after the cloud refused it.
inline constexpr Duration kConstrainedMemory{60000};

/// Returns the present demand by machine type.
/// @param unplaced The number of tasks of each job that the planner could not place.
std::map<TypeId, TypeDemand> presentDemand(const LeaderContext& context, Fleet& fleet,
                                           const std::map<JobId, std::uint32_t>& unplaced);

/// Describes tasks that are expected to need or to free resources soon, but do not appear in the
/// record of any machine yet.
struct ProjectedDemand {
  Resources perTask;
  std::uint32_t tasks{};
  bool spot{};
};

/// Holds the demand for one machine type, in machines.
struct MachineDemand {
  double firm{};      ///< Only on-demand machines can serve this part.
  double flexible{};  ///< Spot machines may serve this part.
};

/// Converts projected demand to machines; each task counts for the machine type on which it is
/// cheapest.
std::map<TypeId, MachineDemand> demandInMachines(const Catalogue& catalogue,
                                                 const std::vector<ProjectedDemand>& projected);

}  // namespace kestrelhoist
