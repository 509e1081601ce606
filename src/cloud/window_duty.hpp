// The forecast's windows: demand is recorded at each turn, kept in one state value, and rented for.
#pragma once

#include "cloud/rental_duty.hpp"

namespace kestrelhoist {

class WindowDuty : public ControlLoop {
 public:
  WindowDuty(LeaderContext& context, Fleet& fleet, PlanningLoop& plans, RentalDuty& rentals,
             DemandForecasts& forecasts)
      : context_(context), fleet_(fleet), plans_(plans), rentals_(rentals), forecasts_(forecasts) {
    ends_ = context_.electedAt + context_.settings.window;
  }

  LoopStep next() override;
  void onTimer() override;
  // Takes over the windows that an earlier leader left.
  void load();

 private:
  void turn();
  Json toJson() const;
  Json fitting(std::size_t bytes) const;

  LeaderContext& context_;
  Fleet& fleet_;
  PlanningLoop& plans_;
  RentalDuty& rentals_;
  DemandForecasts& forecasts_;
  Instant ends_{};
  bool dirty_ = false;
  bool loaded_ = false;
};

}  // namespace kestrelhoist
