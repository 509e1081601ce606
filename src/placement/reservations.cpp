#include "placement/reservations.hpp"

#include <algorithm>
#include <utility>

#include "placement/job_placement.hpp"

namespace kestrelhoist {
namespace {

// At most this many jobs have reservations at a time.
constexpr int kMaxJobs = 4;
// Slots of all zones are collected under this key if the job is not bound to one zone.
constexpr std::uint32_t kAnyZone = 0;

}  // namespace

void Reservations::reserve(const PlanInput& input, const PlanState& state,
                           const JobPlacement& placement, std::uint32_t tasks) {
  if (jobs_ >= kMaxJobs) return;
  bool gang = placement.spec().kind == JobKind::gang;
  auto slots = earliestSlots(findSlots(input, state, placement, tasks), gang);
  if (slots.empty()) return;
  ++jobs_;
  for (const auto& slot : slots) {
    // A gang starts when its last slot is free.
    double neededInS = gang ? slots.back().freeInS : slot.freeInS;
    auto [entry, isNew] =
        byMachine_.try_emplace(slot.machine, Reservation{neededInS, &placement.job()});
    if (!isNew) entry->second.neededInS = std::min(entry->second.neededInS, neededInS);
  }
}

// Finds the earliest slots for `tasks` tasks of the job among those that are free now and those
// that become free as running tasks end. The slots are grouped by zone if all tasks must run in one
// zone.
Reservations::SlotsByZone Reservations::findSlots(const PlanInput& input, const PlanState& state,
                                                  const JobPlacement& placement,
                                                  std::uint32_t tasks) const {
  const JobSpec& spec = placement.spec();
  SlotsByZone byZone;
  for (std::size_t m = 0; m < input.machines.size(); ++m) {
    const auto& machine = input.machines[m];
    if (!machine.usable || byMachine_.contains(m) || !placement.allowed(m)) continue;
    auto zone = byZone.try_emplace(spec.oneZone ? machine.zone : kAnyZone, tasks).first;
    addSlots(machine, m, state.free[m], spec.perTask, tasks, zone->second);
  }
  return byZone;
}

// Adds the slots of one machine for up to `tasks` tasks.
void Reservations::addSlots(const PlanMachine& machine, std::size_t index, Resources free,
                            const Resources& perTask, std::uint32_t tasks, EarliestSlots& slots) {
  auto add = [&](double freeInS) {
    std::uint32_t fitting = perTask.countIn(free, tasks);
    slots.add({freeInS, index, fitting});
    free -= perTask * fitting;
    tasks -= fitting;
  };
  auto expectedEnds = machine.expectedEnds;
  std::sort(
      expectedEnds.begin(), expectedEnds.end(),
      [](const ExpectedTaskEnd& a, const ExpectedTaskEnd& b) { return a.inSeconds < b.inSeconds; });
  double atS = 0;
  add(atS);
  for (const auto& end : expectedEnds) {
    if (tasks == 0) return;
    atS = std::max(atS, end.inSeconds);
    free += end.capacity;
    add(atS);
  }
}

// Returns the slots of the zone in which the last of them is free earliest. For a gang, only zones
// with a slot for each task count.
std::vector<MachineSlots> Reservations::earliestSlots(const SlotsByZone& byZone, bool gang) {
  std::vector<MachineSlots> best;
  for (const auto& [zone, earliest] : byZone) {
    if (gang && !earliest.suffice()) continue;
    std::vector<MachineSlots> slots = earliest.sorted();
    if (slots.empty()) continue;
    if (best.empty() || slots.back().freeInS < best.back().freeInS) best = std::move(slots);
  }
  return best;
}

std::optional<double> Reservations::neededIn(std::size_t machine, const PlanJob& job) const {
  auto found = byMachine_.find(machine);
  if (found == byMachine_.end() || found->second.job == &job) return std::nullopt;
  return found->second.neededInS;
}

std::vector<MachineId> Reservations::machines(const PlanInput& input) const {
  std::vector<MachineId> out;
  out.reserve(byMachine_.size());
  for (const auto& [machine, reservation] : byMachine_) {
    out.push_back(input.machines[machine].id);
  }
  return out;
}

}  // namespace kestrelhoist
