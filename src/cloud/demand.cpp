#include "cloud/demand.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/machine_share.hpp"

namespace kestrelhoist {
namespace {

// Returns the allowed machine type on which a task costs the least. The result is null if no
// type can hold the task.
const MachineType* cheapestType(const Catalogue& catalogue, const Resources& perTask,
                                const JobSpec* spec) {
  const MachineType* best = nullptr;
  for (const auto& type : catalogue.types) {
    if ((spec && !spec->allowsType(type.id)) || !perTask.fitsIn(type.capacity)) continue;
    if (!best || type.price * perTask.shareOf(type.capacity) <
                     best->price * perTask.shareOf(best->capacity)) {
      best = &type;
    }
  }
  return best;
}

// Returns how many machines the tasks fill. Only whole tasks fit on a machine, so a task that needs
// slightly more than half of a machine counts as a whole machine.
double machinesFor(const MachineType& type, const Resources& perTask, std::uint32_t tasks) {
  double perMachine = std::floor(1.0 / countedShare(perTask.shareOf(type.capacity)) + 1e-6);
  return tasks / std::max(1.0, perMachine);
}

// Returns the zones in which machines can run the job's waiting tasks. The result is empty if all
// zones can. At most half of the replicas of a spread service may be placed in one zone. When this
// was ignored, three of six replicas waited forever: an idle machine counted as free for them, but
// it was in the zone of the three other replicas.
std::set<ZoneId> eligibleZones(const LeaderContext& context, Fleet& fleet, const JobState& job,
                               const MachineType& type) {
  const JobSpec& spec = *job.record.spec;
  if (spec.zone) return {*spec.zone};
  if (!spec.spread) return {};
  std::map<ZoneId, std::uint32_t> perZone;
  for (const auto& [index, placed] : job.placed) {
    const auto* record = context.replica.machine(placed.machine);
    const Machine* m = fleet.find(placed.machine);
    if (m && m->session.outcomes.contains({{spec.id, index}, placed.attempt})) continue;
    if (record) ++perZone[record->zone];
  }
  std::set<ZoneId> eligible;
  for (const auto& zone : type.zones) {
    if (perZone[zone] < spec.zoneLimit()) eligible.insert(zone);
  }
  return eligible.size() < type.zones.size() ? eligible : std::set<ZoneId>{};
}

using DemandByType = std::map<TypeId, TypeDemand>;

void addBooked(TypeDemand& demand, double share, bool spotAllowed, bool onSpot) {
  if (!spotAllowed) {
    demand.firmBooked += share;
  } else if (onSpot) {
    demand.flexibleBookedOnSpot += share;
  } else {
    demand.flexibleBookedOnDemand += share;
  }
}

// Adds the resources of tasks that are placed on machines, except tasks with a confirmed outcome.
void addBookedResources(const LeaderContext& context, const Fleet& fleet, DemandByType& demand) {
  for (const auto& [id, record] : context.replica.machines()) {
    const MachineType* type = context.catalogue->find(record.type);
    if (!type) continue;
    const Machine* machine = fleet.find(id);
    for (const auto& task : record.tasks) {
      if (!task.job->record.spec || (machine && machine->session.outcomes.contains(task.id)))
        continue;
      const JobSpec& spec = *task.job->record.spec;
      addBooked(demand[type->id], spec.perTask.shareOf(type->capacity), spec.spotAllowed,
                record.spot);
    }
  }
}

void addWaiting(const LeaderContext& context, Fleet& fleet, const JobState& job,
                std::uint32_t tasks, DemandByType& demand) {
  const JobSpec& spec = *job.record.spec;
  const MachineType* best = cheapestType(*context.catalogue, spec.perTask, &spec);
  if (!best) return;
  TypeDemand& ofType = demand[best->id];
  const double share = machinesFor(*best, spec.perTask, tasks);
  (spec.spotAllowed ? ofType.flexibleWaiting : ofType.firmWaiting) += share;
  if (auto zones = eligibleZones(context, fleet, job, *best); !zones.empty()) {
    ofType.waitingInZones[zones] += share;
  }
}

// The next trial of a suspect job must not be placed on the machine that the job excludes. Counts
// the free resources of that machine as booked, so that another machine is rented for the job.
void addExcludedMachine(const LeaderContext& context, const Fleet& fleet, const JobSpec& spec,
                        std::set<MachineId>& counted, DemandByType& demand) {
  auto excluded = fleet.failureAttribution().excludedMachine(spec.id, context.runtime.now());
  if (!excluded || !counted.insert(*excluded).second) return;
  const auto* record = context.replica.machine(*excluded);
  const MachineType* type = record ? context.catalogue->find(record->type) : nullptr;
  if (!type) return;
  double free = 1;
  for (const auto& task : record->tasks) {
    if (task.job->record.spec) free -= task.job->record.spec->perTask.shareOf(type->capacity);
  }
  addBooked(demand[type->id], std::max(0.0, free), spec.spotAllowed, record->spot);
}

}  // namespace

std::map<TypeId, MachineDemand> demandInMachines(const Catalogue& catalogue,
                                                 const std::vector<ProjectedDemand>& projected) {
  std::map<TypeId, MachineDemand> out;
  for (const auto& demand : projected) {
    const MachineType* best = cheapestType(catalogue, demand.perTask, nullptr);
    if (!best) continue;
    MachineDemand& total = out[best->id];
    (demand.spot ? total.flexible : total.firm) += machinesFor(*best, demand.perTask, demand.tasks);
  }
  return out;
}

DemandByType presentDemand(const LeaderContext& context, Fleet& fleet,
                           const std::map<JobId, std::uint32_t>& unplaced) {
  DemandByType demand;
  for (const auto& type : context.catalogue->types) demand[type.id];
  addBookedResources(context, fleet, demand);
  std::set<MachineId> excluded;
  for (const auto& [id, tasks] : unplaced) {
    const auto* job = context.replica.job(id);
    if (!job || !job->active() || !job->record.spec) continue;
    addWaiting(context, fleet, *job, tasks, demand);
    addExcludedMachine(context, fleet, *job->record.spec, excluded, demand);
  }
  return demand;
}

}  // namespace kestrelhoist
