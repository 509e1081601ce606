#include "placement/consolidate.hpp"

#include <algorithm>
#include <numeric>

namespace kestrelhoist {
namespace {

// A replica that has run for less than this is not moved, so that two consecutive runs don't move
// the same replica.
constexpr Duration kMinReplicaAge{60000};

double serviceShare(const ConsolidationCandidate& m) {
  double share = 0;
  for (const auto& t : m.services) share += t.spec->perTask.shareOf(m.capacity);
  return share;
}

bool hasCachedImage(const ConsolidationCandidate& m, std::uint32_t image) {
  return std::any_of(m.images.begin(), m.images.end(),
                     [&](const PlanImage& i) { return i.id == image && i.cached; });
}

}  // namespace

ConsolidationDecision chooseDrainCandidates(ConsolidationInput in) {
  ConsolidationDecision decision;
  std::vector<std::size_t> order(in.machines.size());
  std::vector<double> share;
  for (const auto& m : in.machines) share.push_back(serviceShare(m));
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return share[a] < share[b]; });
  std::set<std::size_t> drained, targets;
  for (auto from : order) {
    if (drained.size() >= in.surplus) break;
    const ConsolidationCandidate& source = in.machines[from];
    if (share[from] == 0 || share[from] > 0.5 || targets.contains(from)) continue;
    if (decision.moves.size() + source.services.size() > in.maxMoves) continue;
    // The machine is drained only if all of its replicas can move.
    auto perZone = in.perZone;
    std::vector<std::pair<std::size_t, Resources>> booked;
    bool allFit = true;
    for (const auto& t : source.services) {
      auto& zones = perZone[t.spec->id];
      std::size_t best = in.machines.size();
      for (std::size_t to = 0; to < in.machines.size() && t.age >= kMinReplicaAge; ++to) {
        const ConsolidationCandidate& target = in.machines[to];
        if (to == from || drained.contains(to) || share[to] == 0 || share[to] < share[from] ||
            !t.spec->perTask.fitsIn(target.free) || !hasCachedImage(target, t.image) ||
            !t.spec->allowsType(target.type) || (t.spec->zone && target.zone != source.zone)) {
          continue;
        }
        if (target.zone != source.zone &&
            (t.spec->oneZone || (t.spec->spread && zones[target.zone] >= t.spec->zoneLimit()))) {
          continue;
        }
        if (best == in.machines.size() || share[to] > share[best]) best = to;
      }
      if (best == in.machines.size()) {
        allFit = false;
        break;
      }
      in.machines[best].free -= t.spec->perTask;
      booked.emplace_back(best, t.spec->perTask);
      --zones[source.zone];
      ++zones[in.machines[best].zone];
    }
    if (!allFit) {
      for (const auto& [m, resources] : booked) in.machines[m].free += resources;
      continue;
    }
    in.perZone = std::move(perZone);
    drained.insert(from);
    for (const auto& [m, resources] : booked) targets.insert(m);
    decision.machines.push_back(source.id);
    for (const auto& t : source.services) decision.moves.emplace_back(source.id, t.id);
  }
  return decision;
}

}  // namespace kestrelhoist
