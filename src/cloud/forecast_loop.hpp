/// \file
/// Maintains the demand forecasts: adds the demand at the end of each forecast interval, stores the
/// forecasts in one record, and starts the scaling decision.
#pragma once

#include <set>

#include "cloud/scaling_loop.hpp"

namespace kestrelhoist {

/// Ends the forecast intervals and keeps the forecast record up to date.
class ForecastLoop : public ControlLoop {
 public:
  ForecastLoop(LeaderContext& context, Fleet& fleet, PlanningLoop& planning, ScalingLoop& scaling,
               DemandForecasts& forecasts)
      : context_(context),
        fleet_(fleet),
        planning_(planning),
        scaling_(scaling),
        forecasts_(forecasts) {
    intervalEnd_ = context_.electedAt + context_.settings.window;
  }

  /// Commits the catalogue and the forecast record if they have changed.
  LoopStep next() override;
  void onTimer() override;
  /// Restores the forecasts that the previous leader stored.
  void restoreStored();

 private:
  void endInterval();
  void addCatalogue(TransactionBuilder& builder) const;
  /// Returns whether the suspected zones differ from those in the last written record.
  bool suspectedZonesChanged() const;
  /// Returns the forecast record.
  /// @param suspected The suspected zones, each with the time of its last sign of life.
  Json toJson(const std::map<ZoneId, Instant>& suspected) const;
  Json recordWithinLimit(std::size_t bytes, const std::map<ZoneId, Instant>& suspected) const;

  LeaderContext& context_;
  Fleet& fleet_;
  PlanningLoop& planning_;
  ScalingLoop& scaling_;
  DemandForecasts& forecasts_;
  Instant intervalEnd_{};
  bool recordOutdated_ = false;
  std::set<ZoneId> recordedSuspectedZones_;  ///< Holds the suspected zones that the record names.
  bool restored_ = false;
};

}  // namespace kestrelhoist
