/// \file
/// Forecasts one kind of demand for a machine type, modelled on Aquatope's dropout network. A few
/// small linear predictors run many times over the demand of recent forecast intervals, each time
/// with random inputs dropped. The mean and spread of the runs are the forecast. The caller seeds
/// the random numbers.
#pragma once

#include <deque>
#include <random>
#include <vector>

#include "base/runtime.hpp"

namespace kestrelhoist {

/// Represents a predicted demand in machines.
struct Prediction {
  double mean{};
  double spread{};
};

/// Learns from the demand of each interval and predicts the demand `horizon` intervals ahead.
class Forecast {
 public:
  static constexpr std::size_t kInputs =
      5;  ///< A predictor reads the changes of this many intervals.
  static constexpr std::size_t kPredictors = 3;  ///< The predictors differ in their learning rates.
  static constexpr std::size_t kRuns = 24;       ///< A prediction takes this many runs.
  static constexpr double kDrop = 0.25;          ///< A run drops each input with this probability.

  Forecast() = default;
  explicit Forecast(std::size_t horizon) : horizon_(horizon) {}

  /// Adds the demand, in machines, of the interval that ends now. Updates the predictors by the
  /// errors of the predictions that they made `horizon` intervals ago.
  void observe(double demand);
  /// Fills the intervals that no leader recorded before a failover with the present demand. The
  /// predictors do not learn from them, so that the new leader does not rent machines for demand
  /// that has changed meanwhile (a weakness that DESIGN names).
  void fillMissed(std::size_t intervals, double demand);
  /// Predicts the demand `horizon` intervals ahead.
  Prediction predict(std::mt19937_64& random) const;
  /// Returns the number of intervals that were observed.
  std::size_t observedIntervals() const { return observed_; }
  std::size_t horizon() const { return horizon_; }
  void setHorizon(std::size_t h) { horizon_ = h; }

  Json toJson() const;
  /// Restores the state that toJson() wrote. Returns false and changes nothing if the value is
  /// malformed.
  bool fromJson(const Json& v);

 private:
  using Weights = std::vector<double>;
  /// Returns the changes in demand between successive intervals, newest first. The newest change
  /// ends `ago` intervals before now.
  std::vector<double> inputs(std::size_t ago) const;

  std::size_t horizon_ = 6;
  std::size_t observed_ = 0;
  std::deque<double> recent_;  ///< Holds the demand of recent intervals, newest last.
  std::vector<Weights> weights_ = std::vector<Weights>(kPredictors, Weights(kInputs, 0.0));
  double residual_ = 0;  ///< Holds the smoothed squared error of predictions.
};

}  // namespace kestrelhoist
