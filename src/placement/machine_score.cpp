#include "placement/machine_score.hpp"

namespace kestrelhoist {
namespace {

constexpr double kPerSecondOfFetch = 3.0;
constexpr double kSpot = 30.0;
// A machine on which the job failed: any other first.
constexpr double kFailedHere = 500.0;
// Where a replica costs as much, the machine and the zone with fewer of its siblings. Not more: a
// machine that is lost takes as many replicas with it whoever they belong to, and replicas spread
// over more machines than they fill leave half-empty machines to pay for.
constexpr double kSiblingHere = 2.0;
constexpr double kSiblingInZone = 2.0;
// Of a protected service, more: what a zone or a machine takes with it must stay little.
constexpr double kProtectedWeight = 4.0;
// A machine that is kept for another image, which this one might evict.
constexpr double kKeepsAnother = 15.0;
// More than half of a machine for protected services: what only lower ranks use beside them is
// where those of a lost zone or machine find room with the image held.
constexpr double kMoreThanHalf = 20.0;
// A machine whose worker may lose its tasks soon: about what is lost with them until they run
// again, as seconds of fetching.
constexpr double kLeaseAtRisk = 5 * kPerSecondOfFetch;
// A full machine is worth so much more than an empty one, so that whole machines fall idle.
constexpr double kFullMachine = 10.0;
// All tasks must follow into the zone of the first: the one with the most room.
constexpr double kPerMachineFreeInZone = 1000.0;

// Whether work is lost, and people notice, when a task is killed seconds after its start.
bool suffersFromRestart(const JobSpec& spec) {
  return spec.kind != JobKind::array || !spec.checkpoints();
}

}  // namespace

MachineScore::MachineScore(const PlanInput& input, const PlanState& state,
                           const JobPlacement& placement, const std::vector<std::size_t>& open)
    : input_(input), state_(state), placement_(placement) {
  if (placement.spec().oneZone) measureZones(open);
}

void MachineScore::measureZones(const std::vector<std::size_t>& open) {
  freeInZone_.assign(input_.zones, 0);
  for (auto m : open) freeInZone_[input_.machines[m].zone] += 1.0 - usedShare(m);
}

double MachineScore::of(std::size_t m) const {
  const auto& machine = input_.machines[m];
  double score = -kPerSecondOfFetch * placement_.startDelaySeconds(m);
  score += spotBonus(machine);
  score -= failurePenalty(m);
  score -= otherImagePenalty(m);
  score -= leasePenalty(machine);
  if (placement_.spec().kind == JobKind::service) {
    score -= protectedSharePenalty(m);
    score -= siblingPenalty(m);
    score -= zonePenalty(machine.zone);
  }
  score += kFullMachine * usedShare(m);
  if (placement_.spec().oneZone) score += kPerMachineFreeInZone * freeInZone_[machine.zone];
  return score;
}

double MachineScore::usedShare(std::size_t m) const {
  const Resources& whole = input_.machines[m].capacity;
  return (whole - state_.free[m]).shareOf(whole);
}

double MachineScore::spotBonus(const PlanMachine& machine) const {
  return placement_.spec().spotAllowed && machine.spot ? kSpot : 0;
}

double MachineScore::failurePenalty(std::size_t m) const {
  return placement_.job().failedOn.contains(m) ? kFailedHere : 0;
}

double MachineScore::leasePenalty(const PlanMachine& machine) const {
  return machine.leaseAtRisk && suffersFromRestart(placement_.spec()) ? kLeaseAtRisk : 0;
}

double MachineScore::otherImagePenalty(std::size_t m) const {
  return input_.machines[m].keptForImage && !placement_.holdsImage(m) ? kKeepsAnother : 0;
}

double MachineScore::protectedSharePenalty(std::size_t m) const {
  if (!placement_.job().protectedService) return 0;
  double share =
      state_.protectedShare[m] + placement_.spec().perTask.shareOf(input_.machines[m].capacity);
  return share > 0.5 + kRoomTolerance ? kMoreThanHalf : 0;
}

double MachineScore::siblingWeight() const {
  return placement_.job().protectedService ? kProtectedWeight : 1.0;
}

double MachineScore::siblingPenalty(std::size_t m) const {
  const auto& siblings = placement_.spread().siblings;
  auto here = siblings.find(m);
  return here == siblings.end() ? 0 : siblingWeight() * kSiblingHere * here->second;
}

// Fewer of its replicas go when a zone does.
double MachineScore::zonePenalty(std::uint32_t zone) const {
  if (!placement_.spec().spread && !placement_.job().protectedService) return 0;
  return siblingWeight() * kSiblingInZone * placement_.spread().perZone[zone];
}

}  // namespace kestrelhoist
