/// \file
/// The demand forecasts that a leader keeps: two for each machine type (docs/design.md).
#pragma once

#include <map>

#include "forecast/forecast.hpp"

namespace kestrelhoist {

/// The forecasts of one machine type: firm work needs on-demand machines, flexible work may use
/// spot machines.
struct DemandSeries {
  Forecast firm, flexible;
};

/// The forecasts of all machine types with the random generator that their predictions use.
struct DemandForecasts {
  std::map<TypeId, DemandSeries> series;
  std::mt19937_64 random;
};

}  // namespace kestrelhoist
