// Guards against declaring a running worker dead because of a slow or broken link. A worker without
// a response counts as unreachable only if another worker responded over the same path at about the
// same time. A leader with a slow link gave up running machines (scenario deaf-leaders-slow-link).
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
    transport->recordHeartbeat("other:9", zoneA, std::nullopt);
  }
  void probe() {
    outcomes.clear();
    transport->probe("probed:9", zoneA, {"POST", "/commands", ""},
                     [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
  }
  void advance(std::int64_t ms) { clock.runUntil(clock.now() + ms); }
  void slow(const std::set<std::string>& hosts, std::int64_t roundTripMs) {
    network.slowLinkDelayMs = roundTripMs / 2;
    network.cut("leader", hosts, sim::CutMode::slow, 1000000);
  }
};

TEST_F(ProbeOfWorker, ThatLivesIsAnswered) {
  probe();
  advance(5000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::answered});
}

TEST_F(ProbeOfWorker, ThatIsDeadBesideALivingOneIsUnreachableAtItsDeadline) {
  network.powerOff("probed");
  probe();
  advance(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unreachable});
  advance(5000);
  EXPECT_EQ(outcomes.size(), 1U);
}

TEST_F(ProbeOfWorker, OverALinkAsSlowAsThatToOthersIsNeverUnreachable) {
  slow({"probed", "other"}, 3000);
  for (int i = 0; i < 3; ++i) {
    probe();
    transport->recordHeartbeat("other:9", zoneA, std::nullopt);
    advance(5000);
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), ProbeOutcome::unreachable), 0);
    ASSERT_FALSE(outcomes.empty());
    EXPECT_EQ(outcomes.back(), ProbeOutcome::answered);
  }
}

TEST_F(ProbeOfWorker, ThatIsDeadOnASlowLinkIsUnreachableOnceAnotherHasAnswered) {
  slow({"probed", "other"}, 3000);
  network.powerOff("probed");
  probe();
  advance(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
  advance(2500);
  EXPECT_EQ(outcomes, (Outcomes{ProbeOutcome::unknown, ProbeOutcome::unreachable}));
}

TEST_F(ProbeOfWorker, HeartbeatsOfOthersAreNoProofThatTheWayToWorkersIsOpen) {
  network.cut("leader", {"probed", "other"}, sim::CutMode::drop, 1000000);
  probe();
  advance(500);
  transport->recordHeartbeat("other:9", zoneA, std::nullopt);
  advance(5000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
}

TEST_F(ProbeOfWorker, InASlowZoneIsMeasuredByOthersOfThatZone) {
  advance(1);
  transport->recordHeartbeat("third:9", zoneB, std::nullopt);
  slow({"probed", "other"}, 3000);
  network.powerOff("probed");
  probe();
  advance(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
}

TEST_F(ProbeOfWorker, AloneInItsZoneIsMeasuredByAnyOther) {
  transport->probe("probed:9", zoneB, {"POST", "/commands", ""},
                   [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
  network.powerOff("probed");
  advance(1600);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unreachable});
}

TEST_F(ProbeOfWorker, ThatAnswersLateAloneIsAnsweredAndGivenMoreTimeAfterwards) {
  slow({"probed"}, 3000);
  probe();
  advance(5000);
  EXPECT_EQ(outcomes, (Outcomes{ProbeOutcome::unreachable, ProbeOutcome::answered}));
  transport->recordHeartbeat("other:9", zoneA, std::nullopt);
  probe();
  advance(5000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::answered});
}

TEST_F(ProbeOfWorker, WithNobodyElseToAskProvesNothing) {
  WorkerTransport withoutReference(runtime, runtime, *peers);
  withoutReference.recordHeartbeat("probed:9", zoneA, std::nullopt);
  network.powerOff("probed");
  withoutReference.probe("probed:9", zoneA, {"POST", "/commands", ""},
                         [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
  advance(6000);
  EXPECT_EQ(outcomes, Outcomes{ProbeOutcome::unknown});
}

// Guards against detecting a dead machine late. The probe went only through a peer that had no
// reference worker, so its outcome stayed unknown.
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
  WorkerTransport transportWithPeer(runtime, runtime, withPeer);
  network.powerOff("probed");
  for (int i = 0; i < 2; ++i) {
    outcomes.clear();
    transportWithPeer.recordHeartbeat("other:9", zoneA, std::nullopt);
    withPeer.onStatusRequest({"POST", "/mesh/hello", encodeBody(toJson(status))});
    transportWithPeer.probe(
        "probed:9", zoneA, {"POST", "/commands", ""},
        [this](const ProbeResult& result) { outcomes.push_back(result.outcome); });
    advance(2000);
  }
  EXPECT_EQ(outcomes, (Outcomes{ProbeOutcome::unknown, ProbeOutcome::unreachable}));
}

// A peer that sends a request to a worker on behalf of the leader distinguishes a dead worker from
// a broken path in the same way.
TEST_F(ProbeOfWorker, ThroughAPeerIsMeasuredByWhatThePeerReaches) {
  std::vector<int> statuses;
  auto serve = [&] {
    transport->serve("probed:9", {"POST", "/commands", ""},
                     [&](const Response& response) { statuses.push_back(response.status); });
    transport->recordHeartbeat("other:9", zoneA, std::nullopt);
    advance(2000);
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
