#include <algorithm>

#include "base/log.hpp"
#include "cloud/scaling_loop.hpp"
#include "placement/consolidate.hpp"

namespace kestrelhoist {

// Cordons machines that hold few service replicas and moves these replicas to machines that have
// their images. The cordoned machines become idle and can be terminated.
void ScalingLoop::consolidateMachines(const TypeId& type, std::size_t surplus) {
  constexpr double kMoveShare = 0.02;  // One call may move this share of all replicas.
  constexpr std::size_t kMinMoves = 4;
  Instant now = context_.runtime.now();
  std::erase_if(fleet_.cordoned(), [&](const MachineId& id) { return !fleet_.find(id); });
  ConsolidationInput in;
  std::map<ZoneId, std::uint32_t> zones;
  for (const auto& z : context_.platform.zones) zones.try_emplace(z, zones.size());
  const MachineType* known = context_.catalogue->find(type);
  std::size_t replicas = 0;
  for (const auto& [id, record] : context_.replica.machines()) {
    const Machine* m = fleet_.find(id);
    if (record.type != type || record.spot || !m || !fleet_.usable(*m, now)) continue;
    if (context_.effectivePolicy && context_.effectivePolicy->isWarmMachine(id)) continue;
    ConsolidationCandidate c{id, type, zones[record.zone], known->capacity, known->capacity,
                             {}, {}};
    for (const auto& i : m->images) c.images.push_back({i.id, i.gb, i.fetched});
    for (const auto& t : record.tasks) {
      const auto& spec = t.job->record.spec;
      if (!spec || m->session.outcomes.contains(t.id)) continue;
      c.free -= spec->perTask;
      if (spec->kind != JobKind::service) continue;
      ++replicas;
      auto& perZone = in.perZone[spec->id];
      perZone.resize(context_.platform.zones.size() + 1);
      ++perZone[c.zone];
      auto seen = m->firstSeenRunning.find(t.id);
      c.services.push_back({t.id, spec, t.job->image,
                            seen == m->firstSeenRunning.end() || !t.job->active()
                                ? Duration{0}
                                : now - seen->second});
    }
    if (!fleet_.cordoned().contains(id)) in.machines.push_back(std::move(c));
  }
  in.surplus = surplus;
  in.maxMoves =
      std::max(kMinMoves, static_cast<std::size_t>(kMoveShare * static_cast<double>(replicas)));
  auto decision = chooseDrainCandidates(std::move(in));
  for (const auto& id : decision.machines) fleet_.cordoned().insert(id);
  for (const auto& [machine, task] : decision.moves) {
    fleet_.requestStop(task, machine, Duration{0});
    dispatcher_.sendCommands(machine);
  }
  if (!decision.machines.empty()) {
    logInfo("machines cordoned for consolidation", "machines", decision.machines.size(),
            "replicas_moved", decision.moves.size());
  }
}

}  // namespace kestrelhoist
