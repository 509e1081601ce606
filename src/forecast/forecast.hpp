/// \file
/// Demand forecast for one kind of demand on a machine type, after Aquatope's dropout network:
/// a few small linear predictors over recent windows, run many times with random inputs dropped;
/// the mean and spread of the runs are the forecast. Pure; randomness is seeded by the caller.
#pragma once

#include <deque>
#include <random>
#include <vector>

#include "base/runtime.hpp"

namespace kestrelhoist {

struct Prediction {
  double mean{};
  double spread{};
};

class Forecast {
 public:
  static constexpr std::size_t kInputs = 5;      ///< windows a predictor looks at
  static constexpr std::size_t kPredictors = 3;  ///< with different learning rates
  static constexpr std::size_t kRuns = 24;       ///< runs with dropped inputs
  static constexpr double kDrop = 0.25;

  Forecast() = default;
  explicit Forecast(std::size_t horizon) : horizon_(horizon) {}

  /// Ends a window in which `demand` (in machines) was seen; learns from how the predictions
  /// made `horizon` windows ago turned out.
  void observe(double demand);
  /// A new leader's windows that nobody recorded: filled with present demand and not learned
  /// from, so that it does not rent for demand that has moved (DESIGN names this weakness).
  void skip(std::size_t windows, double demand);
  Prediction predict(std::mt19937_64& random) const;
  std::size_t windows() const { return seen_; }
  std::size_t horizon() const { return horizon_; }
  void setHorizon(std::size_t h) { horizon_ = h; }

  Json toJson() const;
  /// False (and unchanged) if the value can't be read.
  bool fromJson(const Json& v);

 private:
  using Weights = std::vector<double>;
  /// Differences of recent windows that end `ago` windows before now, newest first.
  std::vector<double> inputs(std::size_t ago) const;

  std::size_t horizon_ = 6;
  std::size_t seen_ = 0;
  std::deque<double> recent_;  ///< newest last
  std::vector<Weights> weights_ = std::vector<Weights>(kPredictors, Weights(kInputs, 0.0));
  double residual_ = 0;  ///< smoothed squared error at the horizon
};

}  // namespace kestrelhoist
