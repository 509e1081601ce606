// Present demand by machine type, in machines: booked room, and room of tasks that wait.
#pragma once

#include "cloud/scaling_decision.hpp"
#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

inline constexpr Duration kConstrainedMemory{60000};  // for how long a refused offer is hard to get

// `unplaced`: tasks that found no room, by job.
std::map<TypeId, TypeDemand> demandNow(const LeaderContext& context, Fleet& fleet,
                                       const std::map<JobId, std::uint32_t>& unplaced);

// Tasks that will ask for room, or leave it, without being on any machine's record yet.
struct ProjectedDemand {
  Resources perTask;
  std::uint32_t tasks{};
  bool spot{};
};

// The same in machines of the type that suits each best: firm and flexible.
std::map<TypeId, std::pair<double, double>> demandInMachines(
    const Catalogue& catalogue, const std::vector<ProjectedDemand>& ahead);

}  // namespace kestrelhoist
