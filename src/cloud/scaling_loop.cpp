#include "cloud/scaling_loop.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kDecisionInterval{1000};
// A refused offering is not requested again for this long.
constexpr Duration kRefusedPause{15000};
// A machine that has been booting for this multiple of its type's boot time no longer counts.
constexpr double kLateBootFactor = 1.7;
}  // namespace

void ScalingLoop::decide(bool intervalEnds) {
  const Instant now = context_.runtime.now();
  nextDecision_ = now + kDecisionInterval;
  std::erase_if(refused_,
                [&](const auto& entry) { return now - entry.second > kConstrainedMemory; });
  auto demand = presentDemand(context_, fleet_, planning_.unplaced());
  machinesToRent_.clear();
  // Tasks that could not be placed may use the machines that were cordoned for consolidation.
  if (!planning_.unplaced().empty()) fleet_.cordoned().clear();
  for (const auto& type : context_.catalogue->types) {
    ScalingInput input = inputFor(type, demand[type.id], intervalEnds);
    ScalingDecision decision = decideScaling(input);
    if (intervalEnds) {
      logInterval(input, decision);
      consolidateSurplus(input, decision);
    }
    apply(input, decision);
  }
  if (!machinesToRent_.empty()) context_.scheduleCycle();
}

// During a mass failure no machine is terminated or consolidated, so that the capacity is available
// for replacing lost tasks.
bool ScalingLoop::inMassFailure() const {
  return context_.effectivePolicy && context_.effectivePolicy->massFailure();
}

ScalingInput ScalingLoop::inputFor(const MachineType& type, const TypeDemand& present,
                                   bool intervalEnds) {
  ScalingInput input;
  input.type = &type;
  input.demand = present;
  addForecast(type, input.demand);
  input.spreadMultiple = context_.settings.spreadMultiple;
  input.useSpot = context_.settings.useSpot;
  input.scaleIn = intervalEnds && !inMassFailure();
  addRefusals(type, input);
  addPendingRentals(input);
  for (const auto& [id, machine] : fleet_.machines()) {
    const auto* record = context_.replica.machine(id);
    if (machine.type != type.id || machine.terminationRequested || (record && record->draining) ||
        machine.terminationNoticeEnds || fleet_.isFaulty(machine)) {
      continue;
    }
    input.machines.push_back(scalingMachineOf(machine, type));
  }
  return input;
}

void ScalingLoop::addForecast(const MachineType& type, TypeDemand& demand) {
  if (auto series = forecasts_.series.find(type.id); series != forecasts_.series.end()) {
    demand.firm = series->second.firm.predict(forecasts_.random);
    demand.flexible = series->second.flexible.predict(forecasts_.random);
  }
  addProjectedDemand(type, demand);
  if (context_.effectivePolicy) {
    const double calendarDemand =
        context_.effectivePolicy->machinesForNextPeriod(type.boot * 3 / 2) /
        static_cast<double>(context_.catalogue->types.size());
    demand.firm.mean = std::max(demand.firm.mean, demand.firmBooked + calendarDemand);
  }
}

// Adds the demand of jobs whose dependencies end within the horizon, less the resources that these
// dependencies free by then (see DESIGN).
void ScalingLoop::addProjectedDemand(const MachineType& type, TypeDemand& demand) const {
  if (!demandStartingWithin || !demandEndingWithin) return;
  const Duration horizon = type.boot + type.boot / 2;
  const MachineDemand starting =
      demandInMachines(*context_.catalogue, demandStartingWithin(horizon))[type.id];
  const MachineDemand ending =
      demandInMachines(*context_.catalogue, demandEndingWithin(horizon))[type.id];
  const double firm = demand.firmBooked + demand.firmWaiting;
  const double flexible =
      demand.flexibleBookedOnSpot + demand.flexibleBookedOnDemand + demand.flexibleWaiting;
  if (starting.firm > ending.firm) {
    demand.firm.mean = std::max(demand.firm.mean, firm + starting.firm - ending.firm);
  }
  if (starting.flexible > ending.flexible) {
    demand.flexible.mean =
        std::max(demand.flexible.mean, flexible + starting.flexible - ending.flexible);
  }
}

void ScalingLoop::addRefusals(const MachineType& type, ScalingInput& input) const {
  const Instant now = context_.runtime.now();
  for (const auto& [offering, at] : refused_) {
    input.constrained.insert(offering);
    if (now - at < kRefusedPause) input.refused.insert(offering);
  }
  // New machines in an unreachable zone would be unreachable, too.
  for (const auto& zone : fleet_.unreachableZones()) {
    input.refused.insert({type.id, zone, false});
    input.refused.insert({type.id, zone, true});
  }
}

void ScalingLoop::addPendingRentals(ScalingInput& input) const {
  for (const auto& [id, rental] : context_.replica.rentals()) {
    if (rental.answered) continue;
    auto result = uncommittedResults_.find(id);
    const auto count = result == uncommittedResults_.end()
                           ? rental.count
                           : static_cast<std::uint32_t>(result->second.machines.size());
    input.pendingRentals[{rental.type, rental.zone, rental.spot}] += count;
  }
}

ScalingMachine ScalingLoop::scalingMachineOf(const Machine& machine,
                                             const MachineType& type) const {
  const auto* record = context_.replica.machine(machine.id);
  ScalingMachine out;
  out.id = machine.id;
  out.offering = {machine.type, machine.zone, machine.spot};
  out.hasReported = machine.hasReported();
  out.age = context_.runtime.now() - machine.rentedAt;
  // Only a machine that the cloud lists as booting can be late. A new leader has not yet received
  // heartbeats of running machines; if they counted as late, it would rent all of them again.
  out.bootOverdue = !out.hasReported && machine.listed == ListedState::booting &&
                    toSeconds(out.age) > kLateBootFactor * toSeconds(type.boot);
  out.isIdle = !record || record->tasks.empty();
  out.keepWarm = context_.effectivePolicy && context_.effectivePolicy->isWarmMachine(machine.id);
  return out;
}

void ScalingLoop::logInterval(const ScalingInput& input, const ScalingDecision& decision) const {
  const TypeDemand& demand = input.demand;
  logInfo("forecast interval", "type", input.type->id, "firm", demand.firmBooked, "firm_waiting",
          demand.firmWaiting, "firm_mean", demand.firm.mean, "firm_spread", demand.firm.spread,
          "flexible", demand.flexibleBookedOnSpot + demand.flexibleBookedOnDemand,
          "flexible_waiting", demand.flexibleWaiting, "flexible_mean", demand.flexible.mean,
          "flexible_spread", demand.flexible.spread, "target_ordinary", decision.onDemandTarget,
          "target_spot", decision.spotTarget, "have", input.machines.size());
}

void ScalingLoop::consolidateSurplus(const ScalingInput& input, const ScalingDecision& decision) {
  if (inMassFailure() || !planning_.unplaced().empty()) return;
  const auto onDemand = static_cast<int>(std::count_if(
      input.machines.begin(), input.machines.end(), [&](const ScalingMachine& machine) {
        return !machine.offering.spot && !fleet_.cordoned().contains(machine.id);
      }));
  const int needed = decision.onDemandNeeded + 1;
  if (onDemand > needed) {
    consolidateMachines(input.type->id, static_cast<std::size_t>(onDemand - needed));
  }
}

void ScalingLoop::apply(const ScalingInput& input, const ScalingDecision& decision) {
  std::size_t have = input.machines.size();
  for (const auto& [offering, count] : input.pendingRentals) have += count;
  const std::size_t limit = context_.settings.maxMachines;  // Zero means that there is no limit.
  for (const auto& rental : decision.rentals) {
    std::uint32_t count = rental.count;
    if (limit > 0) {
      const std::size_t left = limit > have ? limit - have : 0;
      count = static_cast<std::uint32_t>(std::min<std::size_t>(count, left));
    }
    have += count;
    if (count > 0) machinesToRent_[rental.offering] += count;
  }
  for (const auto& id : decision.scaleIn) {
    if (auto* machine = fleet_.find(id)) {
      fleet_.requestTermination(*machine, "idle above the target");
    }
  }
}

PendingReason ScalingLoop::resourcesReason(const JobSpec& spec) const {
  bool offered = false, machineExpected = false;
  auto mayUse = [&](const TypeId& type, const ZoneId& zone, bool spot) {
    return spec.allowsType(type) && (!spec.zone || *spec.zone == zone) &&
           (!spot || spec.spotAllowed);
  };
  for (const auto& [id, m] : fleet_.machines()) {
    machineExpected = machineExpected || (!m.hasReported() && !m.terminationRequested &&
                                          mayUse(m.type, m.zone, m.spot));
  }
  for (const auto& [id, r] : context_.replica.rentals()) {
    machineExpected = machineExpected || (!r.answered && mayUse(r.type, r.zone, r.spot));
  }
  if (machineExpected) return PendingReason::boot;
  for (const auto& type : context_.catalogue->types) {
    for (const auto& zone : type.zones) {
      for (bool spot : {false, true}) {
        offered =
            offered || (mayUse(type.id, zone, spot) && !refused_.contains({type.id, zone, spot}));
      }
    }
  }
  return offered ? PendingReason::resources : PendingReason::capacity;
}

void ScalingLoop::decideIfDue() {
  if (context_.runtime.now() >= nextDecision_) decide(false);
}

}  // namespace kestrelhoist
