/// \file
/// The forecasts of one leadership: two series a machine type (docs/design.md).
#pragma once

#include <map>

#include "forecast/forecast.hpp"

namespace kestrelhoist {

struct DemandSeries {
  Forecast firm, flexible;
};

struct DemandForecasts {
  std::map<TypeId, DemandSeries> series;
  std::mt19937_64 random;
};

}  // namespace kestrelhoist
