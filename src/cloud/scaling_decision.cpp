#include "cloud/scaling_decision.hpp"

#include <algorithm>
#include <cmath>

namespace kestrelhoist {
namespace {

// This multiple of the spread is zero for flexible work, so its target is the mean of the forecast
// and at least the present demand. Flexible work can wait until a machine has booted, and it often
// runs on machines that cost several times their spot price.
constexpr double kFlexibleSpreadMultiple = 0.0;

int ceilMachines(double share) { return static_cast<int>(std::ceil(std::max(0.0, share) - 1e-6)); }

// Counts the machines of one type on the spot or the on-demand market.
struct MarketState {
  // Machines count as available if they run, boot on time or are requested from the cloud.
  int available{};
  int inUse{};  // Counts machines that have tasks.
  std::map<ZoneId, int> perZone;
};

MarketState marketStateOf(const ScalingInput& in, bool spot) {
  MarketState market;
  for (const auto& m : in.machines) {
    if (m.offering.spot != spot) continue;
    if (!m.isIdle) ++market.inUse;
    if (m.bootOverdue) continue;
    ++market.available;
    ++market.perZone[m.offering.zone];
  }
  for (const auto& [offering, count] : in.pendingRentals) {
    if (offering.spot != spot || offering.type != in.type->id) continue;
    market.available += static_cast<int>(count);
    market.perZone[offering.zone] += static_cast<int>(count);
  }
  return market;
}

// Adds up to `count` rentals to the decision. Each one goes to the zone with the fewest machines
// among those that are not refused. If `only` is set, other zones are left out.
void scaleOut(const ScalingInput& in, bool spot, int count, MarketState& market,
              ScalingDecision& out, const std::set<ZoneId>* only = nullptr) {
  std::map<ZoneId, std::uint32_t> add;
  for (int i = 0; i < count; ++i) {
    const ZoneId* best = nullptr;
    for (const auto& zone : in.type->zones) {
      if (only && !only->contains(zone)) continue;
      InstanceOffering offering{in.type->id, zone, spot};
      if (in.refused.contains(offering) || (in.constrained.contains(offering) && add[zone] > 0))
        continue;
      if (!best || market.perZone[zone] < market.perZone[*best]) best = &zone;
    }
    if (!best) break;
    ++market.perZone[*best];
    ++market.available;
    ++add[*best];
  }
  for (const auto& [zone, n] : add) {
    if (n > 0) out.rentals.push_back({{in.type->id, zone, spot}, n});
  }
}

void scaleIn(const ScalingInput& in, bool spot, int surplus, ScalingDecision& out) {
  std::map<ZoneId, int> perZone;
  std::vector<const ScalingMachine*> idle;
  for (const auto& m : in.machines) {
    if (m.offering.spot != spot) continue;
    ++perZone[m.offering.zone];
    if (m.isIdle && !m.keepWarm && m.hasReported && m.age >= in.minimumCharge) idle.push_back(&m);
  }
  while (surplus-- > 0 && !idle.empty()) {
    // Terminates the newest machine of the zone with the most machines, because its image cache
    // holds the least.
    auto best = std::max_element(idle.begin(), idle.end(), [&](const auto* a, const auto* b) {
      int x = perZone[a->offering.zone], y = perZone[b->offering.zone];
      return x != y ? x < y : a->age > b->age;
    });
    --perZone[(*best)->offering.zone];
    out.scaleIn.push_back((*best)->id);
    idle.erase(best);
  }
}

}  // namespace

ScalingDecision decideScaling(const ScalingInput& in) {
  ScalingDecision out;
  const TypeDemand& demand = in.demand;
  const double k = in.spreadMultiple;
  MarketState spot = marketStateOf(in, true);
  MarketState onDemand = marketStateOf(in, false);

  double flexible = std::max(
      demand.flexible.mean + kFlexibleSpreadMultiple * demand.flexible.spread,
      demand.flexibleBookedOnSpot + demand.flexibleBookedOnDemand + demand.flexibleWaiting);
  bool spotOffered =
      in.useSpot && std::any_of(in.type->zones.begin(), in.type->zones.end(), [&](const ZoneId& z) {
        // Checks `constrained` instead of `refused`, whose pauses are shorter. If the pauses of
        // zones ended one after another, the work would wait for spot machines forever.
        return !in.constrained.contains({in.type->id, z, true});
      });
  out.spotTarget = std::max(ceilMachines(flexible - demand.flexibleBookedOnDemand),
                            spot.inUse + ceilMachines(demand.flexibleWaiting));
  if (!in.useSpot) out.spotTarget = spot.inUse;

  // Flexible demand that spot machines cannot meet now is met by on-demand machines.
  double overflow = spotOffered
                        ? demand.flexibleBookedOnDemand
                        : std::max(demand.flexibleBookedOnDemand, flexible - spot.available);
  double waitingHere =
      demand.firmWaiting +
      (spotOffered ? 0.0 : std::max(0.0, demand.flexibleWaiting - (spot.available - spot.inUse)));
  double firm =
      std::max(demand.firm.mean + k * demand.firm.spread, demand.firmBooked + demand.firmWaiting);
  out.onDemandNeeded = ceilMachines(firm + overflow);
  out.onDemandTarget = std::max(out.onDemandNeeded, onDemand.inUse + ceilMachines(waitingHere));

  for (const auto& [zones, need] : demand.waitingInZones) {
    // This work can only use machines in `zones`, so free machines in other zones do not count.
    // Machines that are booting or requested in these zones do.
    int pendingMachines = 0;
    for (const auto& m : in.machines)
      pendingMachines += zones.contains(m.offering.zone) && !m.hasReported && !m.bootOverdue;
    for (const auto& [offering, n] : in.pendingRentals) {
      if (zones.contains(offering.zone) && offering.type == in.type->id)
        pendingMachines += static_cast<int>(n);
    }
    for (const auto& r : out.rentals) {
      pendingMachines += zones.contains(r.offering.zone) ? static_cast<int>(r.count) : 0;
    }
    scaleOut(in, false, ceilMachines(need) - pendingMachines, onDemand, out, &zones);
  }
  if (out.spotTarget > spot.available)
    scaleOut(in, true, out.spotTarget - spot.available, spot, out);
  if (out.onDemandTarget > onDemand.available) {
    scaleOut(in, false, out.onDemandTarget - onDemand.available, onDemand, out);
  }
  if (in.scaleIn) {
    if (spot.available > out.spotTarget) scaleIn(in, true, spot.available - out.spotTarget, out);
    if (onDemand.available > out.onDemandTarget) {
      scaleIn(in, false, onDemand.available - out.onDemandTarget, out);
    }
  }
  return out;
}

}  // namespace kestrelhoist
