#include "cloud/demand.hpp"

#include <cmath>

namespace kestrelhoist {
namespace {

// The cheapest allowed type that holds a task.
const MachineType* cheapest(const Catalogue& catalogue, const Resources& perTask,
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

// A task that is a bit more than a half of a machine takes a whole one.
double machinesFor(const MachineType& type, const Resources& perTask, std::uint32_t tasks) {
  double perMachine = std::floor(1.0 / std::max(1e-6, perTask.shareOf(type.capacity)) + 1e-6);
  return tasks / std::max(1.0, perMachine);
}

// Where machines would help a job's waiting tasks; empty: anywhere. Of a service that is spread, at
// most half may be in one zone: three of six replicas waited for ever beside an idle machine in the
// zone of the three others, which counted as room for them.
std::set<ZoneId> zonesLeft(const LeaderContext& context, Fleet& fleet, const JobState& job,
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
  std::set<ZoneId> left;
  for (const auto& zone : type.zones) {
    if (perZone[zone] < spec.zoneLimit()) left.insert(zone);
  }
  return left.size() < type.zones.size() ? left : std::set<ZoneId>{};
}

}  // namespace

std::map<TypeId, MachineDemand> demandInMachines(const Catalogue& catalogue,
                                                 const std::vector<ProjectedDemand>& projected) {
  std::map<TypeId, MachineDemand> out;
  for (const auto& demand : projected) {
    const MachineType* best = cheapest(catalogue, demand.perTask, nullptr);
    if (!best) continue;
    MachineDemand& total = out[best->id];
    (demand.spot ? total.flexible : total.firm) += machinesFor(*best, demand.perTask, demand.tasks);
  }
  return out;
}

std::map<TypeId, TypeDemand> demandNow(const LeaderContext& context, Fleet& fleet,
                                       const std::map<JobId, std::uint32_t>& unplaced) {
  std::map<TypeId, TypeDemand> demand;
  for (const auto& type : context.catalogue->types) demand[type.id];
  for (const auto& [id, record] : context.replica.machines()) {
    const MachineType* type = context.catalogue->find(record.type);
    if (!type) continue;
    auto& d = demand[type->id];
    const Machine* m = fleet.find(id);
    for (const auto& t : record.tasks) {
      if (!t.job->record.spec || (m && m->session.outcomes.contains(t.id))) continue;
      const JobSpec& spec = *t.job->record.spec;
      double share = spec.perTask.shareOf(type->capacity);
      if (!spec.spotAllowed) {
        d.firmBooked += share;
      } else if (record.spot) {
        d.flexibleOnSpot += share;
      } else {
        d.flexibleOnOrdinary += share;
      }
    }
  }
  for (const auto& [id, count] : unplaced) {
    const auto* job = context.replica.job(id);
    if (!job || !job->active() || !job->record.spec) continue;
    const JobSpec& spec = *job->record.spec;
    const MachineType* best = cheapest(*context.catalogue, spec.perTask, &spec);
    if (!best) continue;
    auto& d = demand[best->id];
    double share = machinesFor(*best, spec.perTask, count);
    (spec.spotAllowed ? d.flexibleWaiting : d.firmWaiting) += share;
    if (auto zones = zonesLeft(context, fleet, *job, *best); !zones.empty()) {
      d.pinnedWaiting[zones] += share;
    }
  }
  return demand;
}

}  // namespace kestrelhoist
