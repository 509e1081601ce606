#include <gtest/gtest.h>

#include "connectivity/heartbeat_ack_log.hpp"
#include "connectivity/heartbeat_forwarder.hpp"
#include "connectivity/heartbeat_route.hpp"
#include "connectivity/peer_proxy.hpp"
#include "connectivity/worker_transport.hpp"
#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

const MemberId kPeer{"peer"}, kOther{"other"};

// Read a second ago, with the token that the worker has, and nobody to ask.
HeartbeatView alone() {
  HeartbeatView v;
  v.now = Instant{100000};
  v.contactAge = Duration{1000};
  v.renewUntil = v.now + Duration{19000};
  v.knownToken = v.reportedToken = FencingToken{7};
  v.leaderLeaseLife = Duration{3000};
  v.lease = Duration{12000};
  return v;
}

TEST(Route, TheLeaderIsAskedWhileItIsHeard) {
  auto v = alone();
  v.leader = kPeer;
  v.leaderForwards = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::forward);
  v.leads = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::serve);
}

TEST(Route, ALeaderThatTakesNoReportsFromPeersGetsItsWorkers) {
  auto v = alone();
  v.leader = kPeer;
  v.leaderReachesWorkers = true;  // the version before, or passing on fails
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::redirect);
  EXPECT_EQ(routeHeartbeat(v).to, kPeer);
  // Back from there a moment ago: it did not get through.
  v.sinceRedirect = Duration{5000};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.sinceRedirect = Duration{7000};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::redirect);
}

TEST(Route, LeaseOnlyWithinTheBoundAndUnderAKnownToken) {
  auto v = alone();
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.renewUntil = v.now;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.renewUntil = v.now - Duration{1};  // a cancellation might be unknown for too long
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v = alone();
  v.reportedToken = FencingToken{8};  // the worker would drop it, and stay while its lease runs out
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v = alone();
  v.knownToken = v.reportedToken = FencingToken{};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v = alone();
  v.renewUntil.reset();
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
}

TEST(Route, AHolderThatRenewsOutOfSightGetsItsWorkers) {
  auto v = alone();
  v.unreachableLeader = kPeer;
  v.leaderUnreachableFor = Duration{2900};  // its key may outlive it for so long
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.leaderUnreachableFor = Duration{3100};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::redirect);
  EXPECT_EQ(routeHeartbeat(v).to, kPeer);
}

TEST(Route, CutOffAloneItKeepsItsZonesWorkersAndSendsOthersOn) {
  auto v = alone();
  v.isolated = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.foreignZone = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v.sinceRedirect = Duration{3000};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
}

// Its zone's workers looked dead to the leader, which could hear them.
TEST(Route, CutOffAloneItSendsItsZonesWorkersOnOnceOthersShowThatItIsNotTheZone) {
  auto v = alone();
  v.isolated = v.foreignZonesReach = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
}

TEST(LinkHealth, AnAnswerToWhatWasSentEarlierDoesNotClearALaterFailure) {
  LinkHealth link;
  EXPECT_EQ(link.state(Instant{0}, Duration{1000}), LinkState::unknown);
  link.onFailed(Instant{500});
  link.onAnswered(Instant{400});
  EXPECT_EQ(link.state(Instant{600}, Duration{1000}), LinkState::degraded);
  EXPECT_EQ(link.state(Instant{1500}, Duration{1000}), LinkState::down);
  link.onAnswered(Instant{500});
  EXPECT_EQ(link.state(Instant{1500}, Duration{1000}), LinkState::up);
  link.onFailed(Instant{450});  // given up late: something sent after it was answered
  EXPECT_FALSE(link.failing());
}

TEST(PeerProxy, OnlyThroughPeersThatReachedItSinceItFailsHere) {
  PeerProxyView v;
  v.peers = {{kPeer, true, Instant{10200}, true, false},
             {kOther, true, Instant{11000}, true, false}};
  EXPECT_FALSE(chooseProxyPeer(v));  // nothing fails
  v.failingSince = Instant{10000};
  EXPECT_EQ(chooseProxyPeer(v), kOther);
  v.peers[1].blocked = true;
  EXPECT_FALSE(chooseProxyPeer(v)) << "an answer that was under way when the outage began";
  v.peers[0].reachedAt = Instant{10400};
  EXPECT_EQ(chooseProxyPeer(v), kPeer);
  v.peers[0].supportsForwarding =
      false;  // the version before: its 404 would look like the service's
  EXPECT_FALSE(chooseProxyPeer(v));
  v.peers[0].supportsForwarding = true;
  v.peers[0].recentlyReachable = false;
  EXPECT_FALSE(chooseProxyPeer(v));
}

TEST(HeartbeatAckLog, AgesAreBoundsFromAboveWhereverTheyAreRead) {
  HeartbeatAckLog a;
  a.record(MachineId{"host-1"}, Instant{1000});
  a.record(MachineId{"host-1"}, Instant{900});
  auto told = a.toJson(Instant{5000});
  auto read = HeartbeatAckLog::parse(told, Instant{777000});  // another clock, some time on the way
  EXPECT_EQ(read.at(MachineId{"host-1"}), Instant{773000});
  a.expire(Instant{1000000});
  EXPECT_TRUE(a.entries().empty());
  EXPECT_TRUE(HeartbeatAckLog::parse(Json::parse(R"({"host-1":"x"})"), Instant{1}).empty());
}

struct TwoControllers : testing::Test {
  std::mt19937_64 random{1};
  sim::VirtualClock clock;
  sim::Network network{clock, random};
  sim::HostRuntime runtime{clock, network, "me", 1.0};
  Platform platform;
  std::unique_ptr<PeerMembership> peers;
  int batches = 0;

  void SetUp() override {
    platform.peers.push_back({kPeer, ZoneId{"a"}, "peer:1"});
    peers = std::make_unique<PeerMembership>(runtime, runtime, platform);
    network.listen("peer:1", [this](const std::string&, const Request& q, const Respond& respond) {
      if (!q.path.starts_with("/mesh/reports/")) return respond(jsonResponse(404, Json::object()));
      ++batches;
      respond(answerBatch(q, [](const Json& report) {
        return jsonResponse(200, {{"of", report.value("n", -1)}});
      }));
    });
  }
};

TEST_F(TwoControllers, EachReportGetsTheAnswerToItself) {
  HeartbeatForwarder relay(runtime, *peers, MemberId{"me"});
  std::map<int, int> answers;
  for (int n = 0; n < 200; ++n) {
    relay.forward(kPeer, encodeBody({{"n", n}}), [&, n](std::optional<Response> r) {
      ASSERT_TRUE(r);
      answers[n] = decodeBody(r->body)->value("of", -1);
    });
  }
  clock.runUntil(clock.now() + 1000);
  ASSERT_EQ(answers.size(), 200u);
  for (const auto& [asked, of] : answers) EXPECT_EQ(asked, of);
  EXPECT_LE(batches, 5);
}

// Found on tfc-bratislava-fleet's day `apart`: what had failed once counted as failing for ever,
// since nothing was passed any more, and every worker was sent to the leader.
TEST_F(TwoControllers, ALeaderThatDidNotAnswerIsTriedAgain) {
  HeartbeatForwarder relay(runtime, *peers, MemberId{"me"});
  network.cut("me", {"peer"}, sim::CutMode::hold, 6000);
  int unanswered = 0;
  Instant began = runtime.now();
  auto pass = [&] {
    relay.forward(kPeer, encodeBody({{"n", 1}}),
                  [&](std::optional<Response> r) { unanswered += !r; });
  };
  for (int i = 0; i < 5; ++i) {
    pass();
    clock.runUntil(clock.now() + 1000);
  }
  // Each within a worker's patience of 4 s.
  EXPECT_GE(unanswered, 2);
  EXPECT_GT(relay.failingFor(kPeer), Duration{2000});
  clock.runUntil(began.ms + 12000);
  EXPECT_EQ(relay.failingFor(kPeer), Duration{0});
  pass();
  clock.runUntil(clock.now() + 1000);
  EXPECT_EQ(unanswered, 5);
}

// A machine is asked in vain only over a way that works: its silence must not count against it
// while this controller is the one that is cut off from all of them.
TEST_F(TwoControllers, SilenceCountsOnlyWhereOthersWereReached) {
  WorkerTransport line(runtime, runtime, *peers);
  network.listen("live:9", [](const std::string&, const Request&, const Respond& respond) {
    respond(jsonResponse(200, Json::object()));
  });
  network.powerOff("dead");
  std::vector<int> got;
  auto ask = [&](const std::string& address) {
    line.send(address, {"POST", "/commands", ""}, Duration{1500},
              [&](std::optional<Response> r) { got.push_back(r ? r->status : 0); });
  };
  ask("dead:9");
  clock.runUntil(clock.now() + 2000);
  EXPECT_EQ(got, (std::vector{0}));
  ask("dead:9");
  ask("live:9");
  clock.runUntil(clock.now() + 2000);
  EXPECT_EQ(got, (std::vector{0, 200, kNotReached}));
}

}  // namespace
}  // namespace kestrelhoist
