// Rents machines by the forecast: decided anew until asked for, on record before it is asked for,
// and again with the machines that came of it.
#pragma once

#include "cloud/client.hpp"
#include "cloud/demand.hpp"
#include "forecast/demand_series.hpp"
#include "placement/planning_loop.hpp"

namespace kestrelhoist {

class ScalingLoop : public ControlLoop {
 public:
  ScalingLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher,
              PlanningLoop& planning, DemandForecasts& forecasts)
      : context_(context),
        fleet_(fleet),
        dispatcher_(dispatcher),
        planning_(planning),
        forecasts_(forecasts) {}

  LoopStep next() override;
  void onTimer() override { startRentals(); }
  // Decides what to rent and, at a window's turn, what to give back.
  void decide(bool turn);
  // The same between turns, once a second.
  void check();
  // Room that will be asked for, and left, within a time; null if nobody tells.
  std::function<std::vector<ProjectedDemand>(Duration)> upcoming, ending;
  // What stands between a job without room and machines that it may use.
  PendingReason resourcesReason(const JobSpec& spec) const;
  // Offers that were refused, and when last.
  const std::map<InstanceOffering, Instant>& refused() const { return refused_; }

 private:
  void startRentals();
  void onRentalAnswered(const RentalRecord& rental, const RentalResult& result);
  void consolidateMachines(const TypeId& type, std::size_t surplus);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  PlanningLoop& planning_;
  DemandForecasts& forecasts_;
  std::map<InstanceOffering, std::uint32_t> wanted_;  // machines to be rented, by the last decision
  std::set<RentalId> asked_;
  std::map<RentalId, RentalResult> results_;     // to be committed
  std::map<InstanceOffering, Instant> refused_;  // when last
  std::uint64_t count_ = 0;
  Instant nextCheck_{};
};

}  // namespace kestrelhoist
