#include "forecast/forecast.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kestrelhoist {
namespace {
constexpr double kLearningRates[Forecast::kPredictors] = {0.02, 0.08, 0.2};
// The smoothed error moves by this share per interval, so a burst affects it for about a minute.
constexpr double kResidualDecay = 0.15;
constexpr double kMaxWeight = 2.0;
}  // namespace

std::vector<double> Forecast::inputs(std::size_t ago) const {
  std::vector<double> x(kInputs, 0.0);
  for (std::size_t i = 0; i < kInputs; ++i) {
    if (recent_.size() < ago + i + 2) break;
    x[i] = recent_[recent_.size() - 1 - ago - i] - recent_[recent_.size() - 2 - ago - i];
  }
  return x;
}

void Forecast::observe(double demand) {
  if (!std::isfinite(demand) || demand < 0) return;
  recent_.push_back(demand);
  ++observed_;
  if (recent_.size() > horizon_) {
    // Compares the prediction made `horizon` intervals ago with the observed demand.
    double base = recent_[recent_.size() - 1 - horizon_];
    auto x = inputs(horizon_);
    double power = std::inner_product(x.begin(), x.end(), x.begin(), 1.0);
    double meanError = 0;
    for (std::size_t p = 0; p < kPredictors; ++p) {
      auto& w = weights_[p];
      double predicted = base + std::inner_product(x.begin(), x.end(), w.begin(), 0.0);
      double error = demand - predicted;
      meanError += error / kPredictors;
      for (std::size_t i = 0; i < kInputs; ++i) {
        w[i] = std::clamp(w[i] + kLearningRates[p] * error * x[i] / power, -kMaxWeight, kMaxWeight);
      }
    }
    // The error of one interval is bounded. Without the bound a burst of jobs inflates the spread,
    // and machines are still rented after the burst is over (a weakness that DESIGN names).
    double boundedError = std::min(meanError * meanError, 4.0 * residual_ + 1.0);
    residual_ += kResidualDecay * (boundedError - residual_);
  }
  while (recent_.size() > horizon_ + kInputs + 2) recent_.pop_front();
}

void Forecast::fillMissed(std::size_t intervals, double demand) {
  if (intervals == 0 || !std::isfinite(demand) || demand < 0) return;
  std::size_t maxIntervals = horizon_ + kInputs + 2;
  for (std::size_t i = 0; i < std::min(intervals, maxIntervals); ++i) recent_.push_back(demand);
  while (recent_.size() > maxIntervals) recent_.pop_front();
}

Prediction Forecast::predict(std::mt19937_64& random) const {
  if (recent_.empty()) return {};
  auto x = inputs(0);
  std::bernoulli_distribution keep(1.0 - kDrop);
  double sum = 0, squares = 0;
  for (std::size_t run = 0; run < kRuns; ++run) {
    const auto& w = weights_[run % kPredictors];
    double y = recent_.back();
    for (std::size_t i = 0; i < kInputs; ++i) {
      if (keep(random)) y += w[i] * x[i] / (1.0 - kDrop);
    }
    sum += y;
    squares += y * y;
  }
  double mean = sum / kRuns;
  double variance = std::max(0.0, squares / kRuns - mean * mean);
  return {std::max(0.0, mean), std::sqrt(variance + residual_)};
}

Json Forecast::toJson() const {
  return {{"horizon", horizon_},
          {"seen", observed_},
          {"recent", recent_},
          {"weights", weights_},
          {"residual", residual_}};
}

bool Forecast::fromJson(const Json& v) {
  auto horizon = countField(v, "horizon");
  auto seen = countField(v, "seen");
  auto residual = numberField(v, "residual");
  const Json* recent = field(v, "recent");
  const Json* weights = field(v, "weights");
  if (!horizon || *horizon > 1000 || !seen || !residual || !recent || !recent->is_array() ||
      !weights || !weights->is_array() || weights->size() != kPredictors) {
    return false;
  }
  std::deque<double> newRecent;
  for (const auto& r : *recent) {
    if (!r.is_number()) return false;
    newRecent.push_back(r.get<double>());
  }
  std::vector<Weights> newWeights;
  for (const auto& w : *weights) {
    if (!w.is_array() || w.size() != kInputs) return false;
    Weights one;
    for (const auto& n : w) {
      if (!n.is_number()) return false;
      one.push_back(n.get<double>());
    }
    newWeights.push_back(std::move(one));
  }
  horizon_ = *horizon;
  observed_ = *seen;
  residual_ = *residual;
  recent_ = std::move(newRecent);
  weights_ = std::move(newWeights);
  return true;
}

}  // namespace kestrelhoist
