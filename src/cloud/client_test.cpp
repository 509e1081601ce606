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
  int asked = 0;

  void SetUp() override {
    network.listen("cloud:1", [this](const std::string&, const Request&, const Respond& respond) {
      ++asked;
      respond(jsonResponse(
          200,
          {{"hosts", {{{"ref", "host-1"}, {"rig", "box"}, {"site", "a"}, {"phase", "running"}}}},
           {"truncated", false}}));
    });
  }

  // How long the list takes; empty if there is none.
  std::optional<Duration> listTakes() {
    CloudClient cloud(runtime, runtime, "cloud:1", 10);
    const Instant begun = runtime.now();
    std::optional<Duration> took;
    cloud.list([&](const std::optional<std::vector<ListedMachine>>& list) {
      if (list && list->size() == 1) took = runtime.now() - begun;
    });
    clock.runUntil(clock.now() + 6000);
    return took;
  }
};

TEST_F(CloudList, ALostAnswerIsMadeUpForWithinASecond) {
  network.responsesToHostLostUntil["me"] = clock.now() + 300;
  const auto took = listTakes();
  ASSERT_TRUE(took);
  EXPECT_LT(*took, Duration{1000});
  EXPECT_EQ(asked, 2);
}

TEST_F(CloudList, IsAskedForOnceWhileAnswersArrive) {
  EXPECT_TRUE(listTakes());
  EXPECT_EQ(asked, 1);
}

}  // namespace
}  // namespace kestrelhoist
