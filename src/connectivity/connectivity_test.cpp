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

// Returns a view in which the records were read one second ago, the worker has the known token and
// no other controller is reachable.
HeartbeatView viewWithoutPeers() {
  HeartbeatView v;
  v.now = Instant{100000};
  v.contactAge = Duration{1000};
  v.renewUntil = v.now + Duration{19000};
  v.knownToken = v.reportedToken = FencingToken{7};
  v.maxLeaderKeyLifetime = Duration{3000};
  v.lease = Duration{12000};
  return v;
}

TEST(Route, TheLeaderIsAskedWhileItIsHeard) {
  auto v = viewWithoutPeers();
  v.leader = kPeer;
  v.leaderForwards = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::forward);
  v.leads = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::serve);
}

TEST(Route, ALeaderThatTakesNoReportsFromPeersGetsItsWorkers) {
  auto v = viewWithoutPeers();
  v.leader = kPeer;
  v.leaderReachesWorkers = true;  // The leader has the previous version, or forwarding fails.
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::redirect);
  EXPECT_EQ(routeHeartbeat(v).to, kPeer);
  // The worker has just returned because it could not reach the leader.
  v.sinceRedirect = Duration{5000};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.sinceRedirect = Duration{7000};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::redirect);
}

TEST(Route, LeaseOnlyWithinTheBoundAndUnderAKnownToken) {
  auto v = viewWithoutPeers();
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.renewUntil = v.now;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.renewUntil = v.now - Duration{1};  // The records may lack a cancellation for too long.
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v = viewWithoutPeers();
  // The worker would ignore the response and keep reporting here until its lease expires.
  v.reportedToken = FencingToken{8};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v = viewWithoutPeers();
  v.knownToken = v.reportedToken = FencingToken{};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v = viewWithoutPeers();
  v.renewUntil.reset();
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
}

TEST(Route, AHolderThatRenewsOutOfSightGetsItsWorkers) {
  auto v = viewWithoutPeers();
  v.unreachableLeader = kPeer;
  v.leaderUnreachableFor =
      Duration{2900};  // The leader key may exist this long after its owner stopped.
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.leaderUnreachableFor = Duration{3100};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::redirect);
  EXPECT_EQ(routeHeartbeat(v).to, kPeer);
}

TEST(Route, CutOffAloneItKeepsItsZonesWorkersAndSendsOthersOn) {
  auto v = viewWithoutPeers();
  v.isolated = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
  v.workerInForeignZone = true;
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::reject);
  v.sinceRedirect = Duration{3000};
  EXPECT_EQ(routeHeartbeat(v).action, RouteAction::leaseOnly);
}

// Guards against keeping the workers of the zone on an isolated controller. The leader declared
// them dead, although they could have reported to it.
TEST(Route, CutOffAloneItSendsItsZonesWorkersOnOnceOthersShowThatItIsNotTheZone) {
  auto v = viewWithoutPeers();
  v.isolated = v.foreignZonesReporting = true;
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
  link.onFailed(Instant{450});  // A request sent after this one got a response.
  EXPECT_FALSE(link.failing());
}

TEST(PeerProxy, OnlyThroughPeersThatReachedItSinceItFailsHere) {
  PeerProxyView v;
  v.peers = {{kPeer, true, Instant{10200}, true, false},
             {kOther, true, Instant{11000}, true, false}};
  EXPECT_FALSE(chooseProxyPeer(v));  // The direct link does not fail.
  v.failingSince = Instant{10000};
  EXPECT_EQ(chooseProxyPeer(v), kOther);
  v.peers[1].blocked = true;
  EXPECT_FALSE(chooseProxyPeer(v)) << "an answer that was under way when the outage began";
  v.peers[0].reachedAt = Instant{10400};
  EXPECT_EQ(chooseProxyPeer(v), kPeer);
  // The previous version responds with 404, which would be mistaken for a response of the service.
  v.peers[0].supportsForwarding = false;
  EXPECT_FALSE(chooseProxyPeer(v));
  v.peers[0].supportsForwarding = true;
  v.peers[0].recentlyReachable = false;
  EXPECT_FALSE(chooseProxyPeer(v));
}

TEST(HeartbeatAckLog, AgesAreBoundsFromAboveWhereverTheyAreRead) {
  HeartbeatAckLog a;
  a.record(MachineId{"host-1"}, Instant{1000});
  a.record(MachineId{"host-1"}, Instant{900});
  auto encoded = a.toJson(Instant{5000});
  // The receiver has another clock, and the log took some time to arrive.
  auto read = HeartbeatAckLog::parse(encoded, Instant{777000});
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
  HeartbeatForwarder forwarder(runtime, *peers, MemberId{"me"});
  std::map<int, int> answers;
  for (int n = 0; n < 200; ++n) {
    forwarder.forward(kPeer, encodeBody({{"n", n}}), [&, n](std::optional<Response> r) {
      ASSERT_TRUE(r);
      answers[n] = decodeBody(r->body)->value("of", -1);
    });
  }
  clock.runUntil(clock.now() + 1000);
  ASSERT_EQ(answers.size(), 200u);
  for (const auto& [asked, of] : answers) EXPECT_EQ(asked, of);
  EXPECT_LE(batches, 5);
}

// Guards against a leader that counts as failing forever after one failure. No heartbeat was
// forwarded to it any more, so its recovery was not noticed, and every worker was redirected to it.
// It was found in the run `apart` at the site tfc-bratislava-fleet.
TEST_F(TwoControllers, ALeaderThatDidNotAnswerIsTriedAgain) {
  HeartbeatForwarder forwarder(runtime, *peers, MemberId{"me"});
  network.cut("me", {"peer"}, sim::CutMode::hold, 6000);
  int unanswered = 0;
  Instant startedAt = runtime.now();
  auto forwardOne = [&] {
    forwarder.forward(kPeer, encodeBody({{"n", 1}}),
                      [&](std::optional<Response> r) { unanswered += !r; });
  };
  for (int i = 0; i < 5; ++i) {
    forwardOne();
    clock.runUntil(clock.now() + 1000);
  }
  // Each heartbeat fails within the 4 s that a worker waits for its response.
  EXPECT_GE(unanswered, 2);
  EXPECT_GT(forwarder.failingFor(kPeer), Duration{2000});
  clock.runUntil(startedAt.ms + 12000);
  EXPECT_EQ(forwarder.failingFor(kPeer), Duration{0});
  forwardOne();
  clock.runUntil(clock.now() + 1000);
  EXPECT_EQ(unanswered, 5);
}

// Guards against declaring a worker unreachable while this controller cannot reach any worker. A
// missing response is evidence only if another worker responds over the same path.
TEST_F(TwoControllers, SilenceCountsOnlyWhereOthersWereReached) {
  WorkerTransport transport(runtime, runtime, *peers);
  network.listen("live:9", [](const std::string&, const Request&, const Respond& respond) {
    respond(jsonResponse(200, Json::object()));
  });
  network.powerOff("dead");
  std::vector<int> statuses;
  auto sendTo = [&](const std::string& address) {
    transport.send(address, {"POST", "/commands", ""}, Duration{1500},
                   [&](std::optional<Response> r) { statuses.push_back(r ? r->status : 0); });
  };
  sendTo("dead:9");
  clock.runUntil(clock.now() + 2000);
  EXPECT_EQ(statuses, (std::vector{0}));
  sendTo("dead:9");
  sendTo("live:9");
  clock.runUntil(clock.now() + 2000);
  EXPECT_EQ(statuses, (std::vector{0, 200, kNotReached}));
}

}  // namespace
}  // namespace kestrelhoist
