#include "cloud/client.hpp"

#include <gtest/gtest.h>

#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

struct CloudList : testing::Test {
  std::mt19937_64 random{1};
  sim::VirtualClock clock;
  sim::Network network{clock, random};
  sim::HostRuntime runtime{clock, network, "me", 1.0};
  int requestCount = 0;

  void SetUp() override {
    network.listen("cloud:1", [this](const std::string&, const Request&, const Respond& respond) {
      ++requestCount;
      respond(jsonResponse(
          200,
          {{"hosts", {{{"ref", "host-1"}, {"rig", "box"}, {"site", "a"}, {"phase", "running"}}}},
           {"truncated", false}}));
    });
  }

  // Returns how long reading the machine list takes. The result is empty if no list arrives.
  std::optional<Duration> timeToList() {
    CloudClient cloud(runtime, runtime, "cloud:1", 10);
    const Instant begun = runtime.now();
    std::optional<Duration> took;
    cloud.listMachines([&](const std::optional<std::vector<ListedMachine>>& list) {
      if (list && list->size() == 1) took = runtime.now() - begun;
    });
    clock.runUntil(clock.now() + 6000);
    return took;
  }
};

TEST_F(CloudList, ALostAnswerIsMadeUpForWithinASecond) {
  network.responsesToHostLostUntil["me"] = clock.now() + 300;
  const auto took = timeToList();
  ASSERT_TRUE(took);
  EXPECT_LT(*took, Duration{1000});
  EXPECT_EQ(requestCount, 2);
}

TEST_F(CloudList, IsAskedForOnceWhileAnswersArrive) {
  EXPECT_TRUE(timeToList());
  EXPECT_EQ(requestCount, 1);
}

}  // namespace
}  // namespace kestrelhoist
