/// \file
/// Holds the demand forecasts of a leader, two for each machine type (see docs/design.md).
#pragma once

#include <map>

#include "forecast/forecast.hpp"

namespace kestrelhoist {

/// Holds the forecasts for one machine type. Firm work needs on-demand machines; flexible work may
/// use spot machines.
struct DemandSeries {
  Forecast firm, flexible;
};

/// Holds the forecasts for all machine types and the random generator that their predictions use.
struct DemandForecasts {
  std::map<TypeId, DemandSeries> series;
  std::mt19937_64 random;
};

}  // namespace kestrelhoist
