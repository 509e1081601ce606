// What a worker's silence proves: nothing, unless another worker answered on the same way at about
// the same time. A leader over a slow link gave up machines that lived (deaf-leaders-slow-link).
#include "connectivity/worker_transport.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

using Outcomes = std::vector<ProbeOutcome>;

struct ProbeOfWorker : testing::Test {
  const ZoneId zoneA{"a"}, zoneB{"b"};
  std::mt19937_64 random{1};
  sim::VirtualClock clock;
  sim::Network network{clock, random};
  sim::HostRuntime runtime{clock, network, "leader", 1.0};
  Platform platform;
  std::unique_ptr<PeerMembership> peers;
  std::unique_ptr<WorkerTransport> transport;
  Outcomes outcomes;

  void SetUp() override {
    peers = std::make_unique<PeerMembership>(runtime, runtime, platform);
    transport = std::make_unique<WorkerTransport>(runtime, runtime, *peers);
    for (const char* host : {"probed", "other", "third"}) {
      network.listen(std::string(host) + ":9",
                     [](const std::string&, const Request&, const Respond& respond) {
                       respond(jsonResponse(200, Json::object()));
                     });
    }
    transport->noteReport("other:9", zoneA, std::nullopt);
  }
  void probe() {
    outcomes.clear();
    transport->probe("probed:9", zoneA, {"POST", "/commands", ""},
                     [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
  }
  void pass(std::int64_t ms) { clock.runUntil(clock.now() + ms); }
  void slow(const std::set<std::string>& hosts, std::int64_t roundTripMs) {
    network.slowLinkDelayMs = roundTripMs / 2;
    network.cut("leader", hosts, sim::CutMode::slow, 1000000);
  }
};

TEST_F(ProbeOfWorker, ThatLivesIsAnswered) {
  probe();
  pass(5000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::answered});
}

TEST_F(ProbeOfWorker, ThatIsDeadBesideALivingOneIsUnreachableAtItsDeadline) {
  network.powerOff("probed");
  probe();
  pass(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unreachable});
  pass(5000);
  EXPECT_EQ(outcomes.size(), 1U);
}

TEST_F(ProbeOfWorker, OverALinkAsSlowAsThatToOthersIsNeverUnreachable) {
  slow({"probed", "other"}, 3000);
  for (int i = 0; i < 3; ++i) {
    probe();
    transport->noteReport("other:9", zoneA, std::nullopt);
    pass(5000);
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), ProbeOutcome::unreachable), 0);
    ASSERT_FALSE(outcomes.empty());
    EXPECT_EQ(outcomes.back(), ProbeOutcome::answered);
  }
}

TEST_F(ProbeOfWorker, ThatIsDeadOnASlowLinkIsUnreachableOnceAnotherHasAnswered) {
  slow({"probed", "other"}, 3000);
  network.powerOff("probed");
  probe();
  pass(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
  pass(2500);
  EXPECT_EQ(outcomes, (Outcomes{ProbeOutcome::unknown, ProbeOutcome::unreachable}));
}

TEST_F(ProbeOfWorker, HeartbeatsOfOthersAreNoProofThatTheWayToWorkersIsOpen) {
  network.cut("leader", {"probed", "other"}, sim::CutMode::drop, 1000000);
  probe();
  pass(500);
  transport->noteReport("other:9", zoneA, std::nullopt);
  pass(5000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
}

TEST_F(ProbeOfWorker, InASlowZoneIsMeasuredByOthersOfThatZone) {
  pass(1);
  transport->noteReport("third:9", zoneB, std::nullopt);
  slow({"probed", "other"}, 3000);
  network.powerOff("probed");
  probe();
  pass(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
}

TEST_F(ProbeOfWorker, AloneInItsZoneIsMeasuredByAnyOther) {
  transport->probe("probed:9", zoneB, {"POST", "/commands", ""},
                   [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
  network.powerOff("probed");
  pass(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unreachable});
}

TEST_F(ProbeOfWorker, ThatAnswersLateAloneIsAnsweredAndGivenMoreTimeAfterwards) {
  slow({"probed"}, 3000);
  probe();
  pass(5000);
  EXPECT_EQ(outcomes, (Outcomes{ProbeOutcome::unreachable, ProbeOutcome::answered}));
  transport->noteReport("other:9", zoneA, std::nullopt);
  probe();
  pass(5000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::answered});
}

TEST_F(ProbeOfWorker, WithNobodyElseToAskProvesNothing) {
  WorkerTransport alone(runtime, runtime, *peers);
  alone.noteReport("probed:9", zoneA, std::nullopt);
  network.powerOff("probed");
  alone.probe("probed:9", zoneA, {"POST", "/commands", ""},
              [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
  pass(6000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
}

// The peer has no other worker to compare with; a dead machine was given up later for that.
TEST_F(ProbeOfWorker, ThatIsDeadIsProbedDirectlyBesideAPeerThatCannotTell) {
  constexpr int kPeerReachesNoWorker = 504;
  const MemberId peer{"peer"};
  platform.peers.push_back({peer, zoneB, "peer:1"});
  PeerMembership withPeer(runtime, runtime, platform);
  network.listen("peer:1", [](const std::string&, const Request&, const Respond& respond) {
    respond(jsonResponse(kPeerReachesNoWorker, Json::object()));
  });
  PeerStatus status;
  status.member = peer;
  status.supportsForwarding = true;
  withPeer.start([&status] { return status; }, Duration{1000000});
  WorkerTransport beside(runtime, runtime, withPeer);
  network.powerOff("probed");
  for (int i = 0; i < 2; ++i) {
    outcomes.clear();
    beside.noteReport("other:9", zoneA, std::nullopt);
    withPeer.onStatusRequest({"POST", "/mesh/hello", encodeBody(toJson(status))});
    beside.probe("probed:9", zoneA, {"POST", "/commands", ""},
                 [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
    pass(2000);
  }
  EXPECT_EQ(outcomes, (Outcomes{ProbeOutcome::unknown, ProbeOutcome::unreachable}));
}

// A peer that is asked to reach a worker tells a dead one from a way that is cut, likewise.
TEST_F(ProbeOfWorker, ThroughAPeerIsMeasuredByWhatThePeerReaches) {
  std::vector<int> statuses;
  auto serve = [&] {
    transport->serve("probed:9", {"POST", "/commands", ""},
                     [&](const Response& response) { statuses.push_back(response.status); });
    transport->noteReport("other:9", zoneA, std::nullopt);
    pass(2000);
  };
  network.powerOff("probed");
  serve();
  network.cut("leader", {"other"}, sim::CutMode::drop, 1000000);
  serve();
  constexpr int kPeerReachesNoWorker = 504;
  EXPECT_EQ(statuses, (std::vector{kNotReached, kPeerReachesNoWorker}));
}

}  // namespace
}  // namespace kestrelhoist
