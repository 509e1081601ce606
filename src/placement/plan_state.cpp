#include "placement/plan_state.hpp"

namespace kestrelhoist {

PlanState::PlanState(const PlanInput& input) : used(input.used) {
  free.reserve(input.machines.size());
  freeAfterStops.reserve(input.machines.size());
  protectedShare.reserve(input.machines.size());
  images.reserve(input.machines.size());
  for (const auto& machine : input.machines) {
    free.push_back(machine.free);
    freeAfterStops.push_back(machine.freeAfterStops);
    protectedShare.push_back(machine.protectedShare);
    images.push_back(machine.images);
  }
  plan.unplaced.resize(input.jobs.size());
  plan.awaitingStops.resize(input.jobs.size());
  plan.laterTasks.resize(input.jobs.size());
  plan.withheld.resize(input.jobs.size());
  plan.overLimit.resize(input.jobs.size());
}

}  // namespace kestrelhoist
