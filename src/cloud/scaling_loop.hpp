/// \file
/// Rents machines by the forecast and gives idle ones back.
#pragma once

#include "cloud/client.hpp"
#include "cloud/demand.hpp"
#include "forecast/demand_series.hpp"
#include "placement/planning_loop.hpp"

namespace kestrelhoist {

class RentalTransaction;

/// A rental is decided anew until it is asked for; it is on record before the cloud is asked for
/// it, and again with the machines that came of it.
class ScalingLoop : public ControlLoop {
 public:
  ScalingLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher,
              PlanningLoop& planning, DemandForecasts& forecasts)
      : context_(context),
        fleet_(fleet),
        dispatcher_(dispatcher),
        planning_(planning),
        forecasts_(forecasts) {}

  /// Commits rental records: results, machines that were on no record, and new rentals.
  LoopStep next() override;
  void onTimer() override { startRentals(); }
  /// Decides what to rent and, when a forecast interval ends, what to give back.
  void decide(bool intervalEnds);
  /// Decides between the ends of intervals, once a second.
  void check();
  /// Demand that will begin, and that will end, within a time; empty functions if nobody can tell.
  std::function<std::vector<ProjectedDemand>(Duration)> upcoming, ending;
  /// What stands between a job without resources and machines that it may use.
  PendingReason resourcesReason(const JobSpec& spec) const;
  /// Offerings that were refused, and when last.
  const std::map<InstanceOffering, Instant>& refused() const { return refused_; }

 private:
  /// Rental records (scaling_loop_rentals.cpp).
  std::vector<RentalId> recordResults(RentalTransaction& transaction);
  void recordAdoptedMachines(RentalTransaction& transaction);
  void adoptMachine(const MachineId& id, bool draining,
                    std::map<InstanceOffering, RentalRecord>& adopted) const;
  std::size_t recordNewRentals(RentalTransaction& transaction);
  RentalId nextRentalId(const std::string& prefix);
  void startRentals();
  void onRentalAnswered(const RentalRecord& rental, const RentalResult& result);

  /// Decisions (scaling_loop.cpp).
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
  /// Consolidation (scaling_loop_consolidation.cpp).
  void consolidateMachines(const TypeId& type, std::size_t surplus);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  PlanningLoop& planning_;
  DemandForecasts& forecasts_;
  std::map<InstanceOffering, std::uint32_t>
      wanted_;  ///< machines to be rented, by the last decision
  std::set<RentalId> asked_;
  std::map<RentalId, RentalResult> results_;     ///< to be committed
  std::map<InstanceOffering, Instant> refused_;  ///< when last
  std::uint64_t count_ = 0;
  Instant nextCheck_{};
};

}  // namespace kestrelhoist
