#include "placement/machine_score.hpp"

namespace kestrelhoist {
namespace {

constexpr double kPenaltyPerFetchSecond = 3.0;
constexpr double kSpotBonus = 30.0;
// A machine on which the job has failed is used only if no other machine has free resources.
constexpr double kFailedOnMachinePenalty = 500.0;
// Of otherwise equal machines, a service replica prefers the machine and the zone with fewer
// replicas of the same service. The weights are small: a lost machine loses as many replicas in
// any case, whichever services they belong to, and replicas that are spread over more machines than
// they fill leave half-empty machines that cost money.
constexpr double kSiblingOnMachinePenalty = 2.0;
constexpr double kSiblingInZonePenalty = 2.0;
// Protected services are spread more strongly, because the loss of a zone or a machine must cost
// them few replicas.
constexpr double kProtectedServiceFactor = 4.0;
// Placing the task on a machine that is kept for another image might evict that image.
constexpr double kKeptForOtherImagePenalty = 15.0;
// Protected services should use at most half of a machine. Tasks of lower priority use the other
// half and can be preempted, so that replicas from a lost zone or machine fit there and find their
// image in the cache.
constexpr double kProtectedMajorityPenalty = 20.0;
// A worker whose lease is at risk may lose its tasks soon. The penalty equals about the time until
// they run again, expressed in seconds of fetching.
constexpr double kLeaseAtRiskPenalty = 5 * kPenaltyPerFetchSecond;
// A full machine scores this much higher than an empty one, so that other machines become idle as a
// whole and can be terminated.
constexpr double kFullMachineBonus = 10.0;
// All tasks of a one-zone job must run in the zone of the first task, so the zone with the most
// free resources is chosen.
constexpr double kBonusPerFreeMachineInZone = 1000.0;

// Returns whether killing a task of the job seconds after its start loses work or disturbs users.
bool suffersFromRestart(const JobSpec& spec) {
  return spec.kind != JobKind::array || !spec.checkpoints();
}

}  // namespace

MachineScore::MachineScore(const PlanInput& input, const PlanState& state,
                           const JobPlacement& placement,
                           const std::vector<std::size_t>& machinesWithFreeResources)
    : input_(input), state_(state), placement_(placement) {
  if (placement.spec().oneZone) countFreeMachinesByZone(machinesWithFreeResources);
}

void MachineScore::countFreeMachinesByZone(
    const std::vector<std::size_t>& machinesWithFreeResources) {
  freeMachinesInZone_.assign(input_.zones, 0);
  for (auto m : machinesWithFreeResources)
    freeMachinesInZone_[input_.machines[m].zone] += 1.0 - usedShare(m);
}

double MachineScore::of(std::size_t m) const {
  const auto& machine = input_.machines[m];
  double score = -kPenaltyPerFetchSecond * placement_.startDelaySeconds(m);
  score += spotBonus(machine);
  score -= failurePenalty(m);
  score -= otherImagePenalty(m);
  score -= leasePenalty(machine);
  if (placement_.spec().kind == JobKind::service) {
    score -= protectedSharePenalty(m);
    score -= siblingPenalty(m);
    score -= zonePenalty(machine.zone);
  }
  score += kFullMachineBonus * usedShare(m);
  if (placement_.spec().oneZone)
    score += kBonusPerFreeMachineInZone * freeMachinesInZone_[machine.zone];
  return score;
}

double MachineScore::usedShare(std::size_t m) const {
  const Resources& whole = input_.machines[m].capacity;
  return (whole - state_.free[m]).shareOf(whole);
}

double MachineScore::spotBonus(const PlanMachine& machine) const {
  return placement_.spec().spotAllowed && machine.spot ? kSpotBonus : 0;
}

double MachineScore::failurePenalty(std::size_t m) const {
  return placement_.job().failedOn.contains(m) ? kFailedOnMachinePenalty : 0;
}

double MachineScore::leasePenalty(const PlanMachine& machine) const {
  return machine.leaseAtRisk && suffersFromRestart(placement_.spec()) ? kLeaseAtRiskPenalty : 0;
}

double MachineScore::otherImagePenalty(std::size_t m) const {
  return input_.machines[m].keptForImage && !placement_.holdsImage(m) ? kKeptForOtherImagePenalty
                                                                      : 0;
}

double MachineScore::protectedSharePenalty(std::size_t m) const {
  if (!placement_.job().protectedService) return 0;
  double share =
      state_.protectedShare[m] + placement_.spec().perTask.shareOf(input_.machines[m].capacity);
  return share > 0.5 + kResourceTolerance ? kProtectedMajorityPenalty : 0;
}

double MachineScore::siblingWeight() const {
  return placement_.job().protectedService ? kProtectedServiceFactor : 1.0;
}

double MachineScore::siblingPenalty(std::size_t m) const {
  const auto& siblings = placement_.spread().siblings;
  auto here = siblings.find(m);
  return here == siblings.end() ? 0 : siblingWeight() * kSiblingOnMachinePenalty * here->second;
}

// Returns the penalty for replicas of the same service in the zone, so that the loss of a zone
// takes fewer of them.
double MachineScore::zonePenalty(std::uint32_t zone) const {
  if (!placement_.spec().spread && !placement_.job().protectedService) return 0;
  return siblingWeight() * kSiblingInZonePenalty * placement_.spread().perZone[zone];
}

}  // namespace kestrelhoist
