#include "cloud/scaling_decision.hpp"

#include <algorithm>
#include <cmath>

namespace kestrelhoist {
namespace {

// This multiple of the spread is zero for flexible work, so its target is the mean of the forecast
// and at least the present demand. Flexible work can wait until a machine has booted, and it often
// runs on machines that cost several times their spot price.
constexpr double kFlexible = 0.0;

int ceilMachines(double share) { return static_cast<int>(std::ceil(std::max(0.0, share) - 1e-6)); }

struct PoolState {
  int have{};   // Counts machines that are running, booting on time, or requested from the cloud.
  int inUse{};  // Counts machines that have tasks.
  std::map<ZoneId, int> perZone;
};

PoolState poolOf(const ScalingInput& in, bool spot) {
  PoolState p;
  for (const auto& m : in.machines) {
    if (m.offering.spot != spot) continue;
    if (!m.idle) ++p.inUse;
    if (m.late) continue;
    ++p.have;
    ++p.perZone[m.offering.zone];
  }
  for (const auto& [offering, count] : in.pendingRentals) {
    if (offering.spot != spot || offering.type != in.type->id) continue;
    p.have += static_cast<int>(count);
    p.perZone[offering.zone] += static_cast<int>(count);
  }
  return p;
}

// Adds up to `count` rentals to the decision. Each one goes to the zone with the fewest machines
// among those that are not refused. If `only` is set, other zones are left out.
void scaleOut(const ScalingInput& in, bool spot, int count, PoolState& pool, ScalingDecision& out,
              const std::set<ZoneId>* only = nullptr) {
  std::map<ZoneId, std::uint32_t> add;
  for (int i = 0; i < count; ++i) {
    const ZoneId* best = nullptr;
    for (const auto& zone : in.type->zones) {
      if (only && !only->contains(zone)) continue;
      InstanceOffering offering{in.type->id, zone, spot};
      if (in.refused.contains(offering) || (in.constrained.contains(offering) && add[zone] > 0))
        continue;
      if (!best || pool.perZone[zone] < pool.perZone[*best]) best = &zone;
    }
    if (!best) break;
    ++pool.perZone[*best];
    ++pool.have;
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
    if (m.idle && !m.keep && m.up && m.age >= in.minimumCharge) idle.push_back(&m);
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
  const TypeDemand& d = in.demand;
  const double k = in.spreadMultiple;
  PoolState spot = poolOf(in, true);
  PoolState ordinary = poolOf(in, false);

  double flexible = std::max(d.flexible.mean + kFlexible * d.flexible.spread,
                             d.flexibleOnSpot + d.flexibleOnOrdinary + d.flexibleWaiting);
  bool spotOffered =
      in.useSpot && std::any_of(in.type->zones.begin(), in.type->zones.end(), [&](const ZoneId& z) {
        // Checks `constrained` instead of `refused`, whose pauses are shorter. If the pauses of
        // zones ended one after another, the work would wait for spot machines forever.
        return !in.constrained.contains({in.type->id, z, true});
      });
  out.spotTarget = std::max(ceilMachines(flexible - d.flexibleOnOrdinary),
                            spot.inUse + ceilMachines(d.flexibleWaiting));
  if (!in.useSpot) out.spotTarget = spot.inUse;

  // Flexible demand that spot machines cannot meet now is met by on-demand machines.
  double overflow =
      spotOffered ? d.flexibleOnOrdinary : std::max(d.flexibleOnOrdinary, flexible - spot.have);
  double waitingHere =
      d.firmWaiting +
      (spotOffered ? 0.0 : std::max(0.0, d.flexibleWaiting - (spot.have - spot.inUse)));
  double firm = std::max(d.firm.mean + k * d.firm.spread, d.firmBooked + d.firmWaiting);
  out.ordinaryNeeded = ceilMachines(firm + overflow);
  out.ordinaryTarget = std::max(out.ordinaryNeeded, ordinary.inUse + ceilMachines(waitingHere));

  for (const auto& [zones, need] : d.pinnedWaiting) {
    // This work can only use machines in `zones`, so free machines in other zones do not count.
    // Machines that are booting or requested in these zones do.
    int coming = 0;
    for (const auto& m : in.machines) coming += zones.contains(m.offering.zone) && !m.up && !m.late;
    for (const auto& [offering, n] : in.pendingRentals) {
      if (zones.contains(offering.zone) && offering.type == in.type->id)
        coming += static_cast<int>(n);
    }
    for (const auto& r : out.rentals) {
      coming += zones.contains(r.offering.zone) ? static_cast<int>(r.count) : 0;
    }
    scaleOut(in, false, ceilMachines(need) - coming, ordinary, out, &zones);
  }
  if (out.spotTarget > spot.have) scaleOut(in, true, out.spotTarget - spot.have, spot, out);
  if (out.ordinaryTarget > ordinary.have) {
    scaleOut(in, false, out.ordinaryTarget - ordinary.have, ordinary, out);
  }
  if (in.scaleIn) {
    if (spot.have > out.spotTarget) scaleIn(in, true, spot.have - out.spotTarget, out);
    if (ordinary.have > out.ordinaryTarget) {
      scaleIn(in, false, ordinary.have - out.ordinaryTarget, out);
    }
  }
  return out;
}

}  // namespace kestrelhoist
