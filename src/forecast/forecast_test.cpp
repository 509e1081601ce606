#include "forecast/forecast.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

Prediction observeAndPredict(Forecast& forecast, const std::vector<double>& demand) {
  for (double d : demand) forecast.observe(d);
  std::mt19937_64 random(1);
  return forecast.predict(random);
}

TEST(Forecast, SteadyDemandIsExpectedWithLittleSpread) {
  Forecast forecast(4);
  auto p = observeAndPredict(forecast, std::vector<double>(40, 6.0));
  EXPECT_NEAR(p.mean, 6.0, 0.01);
  EXPECT_LT(p.spread, 0.1);
}

TEST(Forecast, ARampIsExpectedToGoOn) {
  Forecast forecast(4);
  std::vector<double> ramp;
  for (int i = 0; i < 60; ++i) ramp.push_back(0.5 * i);
  auto p = observeAndPredict(forecast, ramp);
  EXPECT_GT(p.mean, ramp.back() + 0.5);
  EXPECT_LT(p.mean, ramp.back() + 4.0);
}

TEST(Forecast, OneSwarmInflatesTheSpreadByABoundedAmountAndItFades) {
  Forecast forecast(4);
  std::vector<double> demand(30, 4.0);
  demand.insert(demand.end(), 3, 40.0);
  auto during = observeAndPredict(forecast, demand);
  EXPECT_LT(during.spread, 12.0);
  auto later = observeAndPredict(forecast, std::vector<double>(30, 4.0));
  EXPECT_LT(later.mean + later.spread, 6.0);
}

TEST(Forecast, MissedWindowsAreFilledWithPresentDemand) {
  Forecast forecast(4);
  observeAndPredict(forecast, {20, 22, 24, 26, 28, 30, 32, 34});
  forecast.fillMissed(6, 3.0);
  std::mt19937_64 random(1);
  EXPECT_NEAR(forecast.predict(random).mean, 3.0, 1.0);
}

TEST(Forecast, IsStoredAndReadBack) {
  Forecast forecast(4);
  auto p = observeAndPredict(forecast, {1, 2, 4, 3, 5, 6, 4, 7, 8});
  Forecast restored;
  ASSERT_TRUE(restored.fromJson(forecast.toJson()));
  std::mt19937_64 random(1);
  EXPECT_DOUBLE_EQ(restored.predict(random).mean, p.mean);
  EXPECT_FALSE(restored.fromJson(Json{{"horizon", 4}}));
}

}  // namespace
}  // namespace kestrelhoist
