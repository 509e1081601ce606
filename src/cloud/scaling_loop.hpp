/// \file
/// Rents machines according to the demand forecast and terminates idle machines.
#pragma once

#include "cloud/client.hpp"
#include "cloud/demand.hpp"
#include "forecast/demand_series.hpp"
#include "placement/planning_loop.hpp"

namespace kestrelhoist {

class RentalTransaction;

/// Decides at least once a second which machines to rent. Writes the record of a rental before it
/// requests the machines from the cloud, and adds the machines to the record after the answer.
class ScalingLoop : public ControlLoop {
 public:
  ScalingLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher,
              PlanningLoop& planning, DemandForecasts& forecasts)
      : context_(context),
        fleet_(fleet),
        dispatcher_(dispatcher),
        planning_(planning),
        forecasts_(forecasts) {}

  /// Commits rental records: the cloud's answers, machines that had no record, and new rentals.
  LoopStep next() override;
  void onTimer() override { startRentals(); }
  /// Decides which machines to rent and, if a forecast interval ends now, which to terminate.
  void decide(bool intervalEnds);
  /// Calls decide() once a second between the ends of forecast intervals.
  void decideIfDue();
  /// These functions return the demand that begins, or ends, within the given time. They are empty
  /// if no such estimate is available.
  std::function<std::vector<ProjectedDemand>(Duration)> demandStartingWithin, demandEndingWithin;
  /// Returns why a job that does not fit on any machine must wait for more machines.
  PendingReason resourcesReason(const JobSpec& spec) const;
  /// Returns the offerings that the cloud refused, each with the time of its last refusal.
  const std::map<InstanceOffering, Instant>& refused() const { return refused_; }

 private:
  /// These functions maintain rental records (scaling_loop_rentals.cpp).
  std::vector<RentalId> recordResults(RentalTransaction& transaction);
  void recordAdoptedMachines(RentalTransaction& transaction);
  void adoptMachine(const MachineId& id, bool draining,
                    std::map<InstanceOffering, RentalRecord>& adopted) const;
  std::size_t recordNewRentals(RentalTransaction& transaction);
  RentalId nextRentalId(const std::string& prefix);
  void startRentals();
  void onRentalAnswered(const RentalRecord& rental, const RentalResult& result);

  /// These functions decide what to rent and what to terminate (scaling_loop.cpp).
  bool inMassFailure() const;
  ScalingInput inputFor(const MachineType& type, const TypeDemand& present, bool intervalEnds);
  void addForecast(const MachineType& type, TypeDemand& demand);
  void addProjectedDemand(const MachineType& type, TypeDemand& demand) const;
  void addRefusals(const MachineType& type, ScalingInput& input) const;
  void addPendingRentals(ScalingInput& input) const;
  ScalingMachine scalingMachineOf(const Machine& machine, const MachineType& type) const;
  void logInterval(const ScalingInput& input, const ScalingDecision& decision) const;
  void consolidateSurplus(const ScalingInput& input, const ScalingDecision& decision);
  void apply(const ScalingInput& input, const ScalingDecision& decision);
  /// Empties up to `surplus` machines of a type (scaling_loop_consolidation.cpp).
  void consolidateMachines(const TypeId& type, std::size_t surplus);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  PlanningLoop& planning_;
  DemandForecasts& forecasts_;
  /// Machines to be rented, according to the last decision.
  std::map<InstanceOffering, std::uint32_t> machinesToRent_;
  std::set<RentalId> requested_;  ///< Rentals that were requested from the cloud.
  /// The cloud's answers that are not committed yet.
  std::map<RentalId, RentalResult> uncommittedResults_;
  std::map<InstanceOffering, Instant> refused_;  ///< The time of the last refusal by offering.
  std::uint64_t rentalCount_ = 0;
  Instant nextDecision_{};
};

}  // namespace kestrelhoist
