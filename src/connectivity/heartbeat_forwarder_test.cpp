// Guards against a forwarded heartbeat whose response is lost and not requested again. The worker
// lost 1.5 s of its lease and did not receive the leader's commands.
#include "connectivity/heartbeat_forwarder.hpp"

#include <gtest/gtest.h>

#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

const MemberId kLeader{"leader"};

struct LostAnswers : testing::Test {
  std::mt19937_64 random{1};
  sim::VirtualClock clock;
  sim::Network network{clock, random};
  sim::HostRuntime runtime{clock, network, "me", 1.0};
  Platform platform;
  std::unique_ptr<PeerMembership> peers;
  int batches = 0;
  int repeats = 0;

  void SetUp() override {
    platform.peers.push_back({kLeader, ZoneId{"a"}, "leader:1"});
    peers = std::make_unique<PeerMembership>(runtime, runtime, platform);
    network.listen("leader:1", [this](const std::string&, const Request& request,
                                      const Respond& respond) {
      ++batches;
      respond(answerBatch(request, [](const Json&) { return jsonResponse(200, Json::object()); }));
    });
  }

  // Forwards one heartbeat. Returns the time until it was answered and whether the leader did so.
  std::pair<Duration, bool> forwardOne() {
    HeartbeatForwarder forwarder(runtime, *peers, MemberId{"me"});
    forwarder.onRepeated = [this] { ++repeats; };
    const Instant startedAt = runtime.now();
    std::optional<std::pair<Duration, bool>> result;
    forwarder.forward(kLeader, encodeBody({{"n", 1}}), [&](const std::optional<Response>& answer) {
      result.emplace(runtime.now() - startedAt, answer.has_value());
    });
    clock.runUntil(clock.now() + 4000);
    return result.value();
  }
};

TEST_F(LostAnswers, OneIsMadeUpForWithinTheWorkersPatience) {
  network.responsesToHostLostUntil["me"] = clock.now() + 300;
  const auto [duration, byLeader] = forwardOne();
  EXPECT_TRUE(byLeader);
  EXPECT_LT(duration, Duration{600});
  EXPECT_EQ(batches, 2);
  EXPECT_EQ(repeats, 1);
}

TEST_F(LostAnswers, NothingIsRepeatedWhileAnswersArrive) {
  EXPECT_TRUE(forwardOne().second);
  EXPECT_EQ(batches, 1);
  EXPECT_EQ(repeats, 0);
}

TEST_F(LostAnswers, ALeaderThatStaysSilentIsGivenUpAsBefore) {
  network.responsesToHostLostUntil["me"] = clock.now() + 10000;
  const auto [duration, byLeader] = forwardOne();
  EXPECT_FALSE(byLeader);
  EXPECT_LT(duration, Duration{1600});
  EXPECT_EQ(batches, 2);
}

}  // namespace
}  // namespace kestrelhoist
