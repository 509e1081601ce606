#include "forecast/forecast.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

Prediction after(Forecast& f, const std::vector<double>& demand) {
  for (double d : demand) f.observe(d);
  std::mt19937_64 random(1);
  return f.predict(random);
}

TEST(Forecast, SteadyDemandIsExpectedWithLittleSpread) {
  Forecast f(4);
  auto p = after(f, std::vector<double>(40, 6.0));
  EXPECT_NEAR(p.mean, 6.0, 0.01);
  EXPECT_LT(p.spread, 0.1);
}

TEST(Forecast, ARampIsExpectedToGoOn) {
  Forecast f(4);
  std::vector<double> ramp;
  for (int i = 0; i < 60; ++i) ramp.push_back(0.5 * i);
  auto p = after(f, ramp);
  EXPECT_GT(p.mean, ramp.back() + 0.5);
  EXPECT_LT(p.mean, ramp.back() + 4.0);
}

TEST(Forecast, OneSwarmInflatesTheSpreadByABoundedAmountAndItFades) {
  Forecast f(4);
  std::vector<double> demand(30, 4.0);
  demand.insert(demand.end(), 3, 40.0);
  auto during = after(f, demand);
  EXPECT_LT(during.spread, 12.0);
  auto later = after(f, std::vector<double>(30, 4.0));
  EXPECT_LT(later.mean + later.spread, 6.0);
}

TEST(Forecast, MissedWindowsAreFilledWithPresentDemand) {
  Forecast f(4);
  after(f, {20, 22, 24, 26, 28, 30, 32, 34});
  f.fillMissed(6, 3.0);
  std::mt19937_64 random(1);
  EXPECT_NEAR(f.predict(random).mean, 3.0, 1.0);
}

TEST(Forecast, IsStoredAndReadBack) {
  Forecast f(4);
  auto p = after(f, {1, 2, 4, 3, 5, 6, 4, 7, 8});
  Forecast g;
  ASSERT_TRUE(g.fromJson(f.toJson()));
  std::mt19937_64 random(1);
  EXPECT_DOUBLE_EQ(g.predict(random).mean, p.mean);
  EXPECT_FALSE(g.fromJson(Json{{"horizon", 4}}));
}

}  // namespace
}  // namespace kestrelhoist
