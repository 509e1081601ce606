// Guards against a fault in which one lost answer delayed reads by a second. Two lost answers in a
// row made a leader step down.
#include "base/hedged_request.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

constexpr HedgeTimes kTimes{Duration{400}, Duration{1000}};

struct Hedged : testing::Test {
  using Answer = std::optional<int>;
  std::mt19937_64 random{1};
  sim::VirtualClock clock;
  sim::Network network{clock, random};
  sim::HostRuntime runtime{clock, network, "me", 1.0};
  std::vector<std::function<void(Answer)>> sends;
  std::vector<Duration> timeouts;
  int repeats = 0;
  std::vector<std::pair<Instant, Answer>> results;
  Instant begun = runtime.now();

  void start() {
    auto send = [this](Duration timeout, std::function<void(Answer)> done) {
      timeouts.push_back(timeout);
      sends.push_back(std::move(done));
    };
    auto request = std::make_shared<HedgedRequest<Answer>>(
        runtime, send, [](const Answer& answer) { return !answer; },
        [this](Instant sentAt, Answer answer) { results.emplace_back(sentAt, answer); });
    request->start(kTimes, [this] { ++repeats; });
  }
  void advanceTo(std::int64_t ms) { clock.runUntil(begun.ms + ms); }
};

TEST_F(Hedged, IsSentOnceIfItIsAnsweredSoon) {
  start();
  advanceTo(10);
  sends[0](7);
  advanceTo(2000);
  EXPECT_EQ(sends.size(), 1U);
  EXPECT_EQ(repeats, 0);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].second, 7);
}

TEST_F(Hedged, IsSentOnceMoreWithinTheSameTimeout) {
  start();
  advanceTo(450);
  ASSERT_EQ(sends.size(), 2U);
  EXPECT_EQ(timeouts[1], Duration{600});
  EXPECT_EQ(repeats, 1);
  sends[1](8);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].first, begun + Duration{400});
  sends[0](7);  // This answer is late and is ignored.
  EXPECT_EQ(results.size(), 1U);
}

TEST_F(Hedged, TheFirstSendMayStillBeAnswered) {
  start();
  advanceTo(500);
  sends[0](7);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].first, begun);
}

TEST_F(Hedged, FailsOnceNoSendCanBeAnswered) {
  start();
  advanceTo(1000);
  sends[0](std::nullopt);
  EXPECT_TRUE(results.empty());
  sends[1](std::nullopt);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].first, begun);
  EXPECT_FALSE(results[0].second);
}

TEST_F(Hedged, ARefusalAtOnceIsNotRepeated) {
  start();
  advanceTo(5);
  sends[0](std::nullopt);
  EXPECT_EQ(results.size(), 1U);
  advanceTo(2000);
  EXPECT_EQ(sends.size(), 1U);
}

}  // namespace
}  // namespace kestrelhoist
