/// \file
/// Demand by machine type, in machines: booked resources, and resources of tasks that wait.
#pragma once

#include "cloud/scaling_decision.hpp"
#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// For how long an offering counts as capacity-constrained after it was refused.
inline constexpr Duration kConstrainedMemory{60000};

/// Present demand. `unplaced`: the number of tasks that found no resources, by job.
std::map<TypeId, TypeDemand> demandNow(const LeaderContext& context, Fleet& fleet,
                                       const std::map<JobId, std::uint32_t>& unplaced);

/// Tasks that will ask for resources, or free them, without being on any machine's record yet.
struct ProjectedDemand {
  Resources perTask;
  std::uint32_t tasks{};
  bool spot{};
};

/// Demand in machines of one type.
struct MachineDemand {
  double firm{};      ///< Needs ordinary machines.
  double flexible{};  ///< May use spot machines.
};

/// Converts projected demand to machines of the type that suits each best.
std::map<TypeId, MachineDemand> demandInMachines(const Catalogue& catalogue,
                                                 const std::vector<ProjectedDemand>& projected);

}  // namespace kestrelhoist
