/// \file
/// The forecast's windows: demand is recorded at each turn, kept in one state value, and rented
/// for.
#pragma once

#include <set>

#include "cloud/scaling_loop.hpp"

namespace kestrelhoist {

class ForecastLoop : public ControlLoop {
 public:
  ForecastLoop(LeaderContext& context, Fleet& fleet, PlanningLoop& planning, ScalingLoop& scaling,
               DemandForecasts& forecasts)
      : context_(context),
        fleet_(fleet),
        planning_(planning),
        scaling_(scaling),
        forecasts_(forecasts) {
    ends_ = context_.electedAt + context_.settings.window;
  }

  LoopStep next() override;
  void onTimer() override;
  /// Takes over the windows that an earlier leader left.
  void load();

 private:
  void turn();
  /// Whether zones fell silent, or came back, since the record was last written.
  bool suspectedZonesChanged() const;
  /// The record, which names these zones as silent since then.
  Json toJson(const std::map<ZoneId, Instant>& suspected) const;
  Json fitting(std::size_t bytes, const std::map<ZoneId, Instant>& suspected) const;

  LeaderContext& context_;
  Fleet& fleet_;
  PlanningLoop& planning_;
  ScalingLoop& scaling_;
  DemandForecasts& forecasts_;
  Instant ends_{};
  bool dirty_ = false;
  std::set<ZoneId> recordedSuspects_;  ///< zones that the record names as silent
  bool loaded_ = false;
};

}  // namespace kestrelhoist
