#include "leadership/peer_membership.hpp"

#include <gtest/gtest.h>

#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

TEST(PeerMembership, APeerThatReachedTheStoreBeforeTheOutageIsNoSignOfBeingRefusedAlone) {
  std::mt19937_64 random(1);
  sim::VirtualClock clock;
  sim::Network network(clock, random);
  sim::HostRuntime runtime(clock, network, "me", 1.0);
  Platform platform;
  platform.peers.push_back({MemberId{"peer"}, ZoneId{"a"}, "peer:1"});
  PeerMembership peers(runtime, runtime, platform);
  peers.start([] { return PeerStatus{MemberId{"me"}, {}, false, {}, {}, true}; }, Duration{500});
  clock.runUntil(10000);
  auto receiveStatus = [&](int storeAgeMs) {
    PeerStatus s{MemberId{"peer"}, {}, false, Duration{storeAgeMs}, {}, true};
    peers.onStatusRequest({"POST", "/mesh/hello", encodeBody(toJson(s))});
  };
  // The reads of this controller have failed since 9.0 s.
  receiveStatus(1200);  // The peer last reached the state service at 8.8 s.
  EXPECT_FALSE(peers.peerReachingStore(Instant{9000}));
  receiveStatus(400);  // The peer reached it at 9.6 s, after the failures here began.
  EXPECT_EQ(peers.peerReachingStore(Instant{9000}), MemberId{"peer"});
  clock.runUntil(13000);  // The last status of the peer is too old.
  EXPECT_FALSE(peers.peerReachingStore(Instant{9000}));
}

// Guards against wrong conclusions from refused connections. The leader waited in vain for a
// controller that had just exited in a partitioned zone. In another case it assumed that a
// controller behind a packet filter was dead, and the machines of that zone were released while
// tasks ran on them.
TEST(PeerMembership, AFreshRefusalIsAnEndedPeerALongOneAFilter) {
  std::mt19937_64 random(1);
  sim::VirtualClock clock;
  sim::Network network(clock, random);
  sim::HostRuntime runtime(clock, network, "me", 1.0);
  Platform platform;
  MemberId peer{"peer"};
  platform.peers.push_back({peer, ZoneId{"a"}, "peer:1"});  // No process listens there.
  PeerMembership peers(runtime, runtime, platform);
  EXPECT_TRUE(peers.mayBeAlive(peer));
  peers.start([] { return PeerStatus{MemberId{"me"}, {}, false, {}, {}, true}; }, Duration{500});
  clock.runUntil(3000);
  EXPECT_FALSE(peers.mayBeAlive(peer));
  clock.runUntil(15000);
  EXPECT_TRUE(peers.mayBeAlive(peer));
  peers.onStatusRequest(
      {"POST", "/mesh/hello", encodeBody(toJson(PeerStatus{peer, {}, false, {}, {}, true}))});
  EXPECT_TRUE(peers.mayBeAlive(peer));
  clock.runUntil(17000);
  EXPECT_FALSE(peers.mayBeAlive(peer));
}

}  // namespace
}  // namespace kestrelhoist
