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
  auto hear = [&](int storeAgeMs) {
    PeerStatus s{MemberId{"peer"}, {}, false, Duration{storeAgeMs}, {}, true};
    peers.onStatusRequest({"POST", "/mesh/hello", encodeBody(toJson(s))});
  };
  // Reads fail here since 9.0 s.
  hear(1200);  // it last reached the service at 8.8 s
  EXPECT_FALSE(peers.peerReachingStore(Instant{9000}));
  hear(400);  // at 9.6 s: it is served while this node is not
  EXPECT_EQ(peers.peerReachingStore(Instant{9000}), MemberId{"peer"});
  clock.runUntil(13000);  // nothing heard since
  EXPECT_FALSE(peers.peerReachingStore(Instant{9000}));
}

// Found on grown sites: a zone cut off whose controller had just ended was waited for in vain; one
// behind a packet filter was taken for dead, and the running work of its zone was released.
TEST(PeerMembership, AFreshRefusalIsAnEndedPeerALongOneAFilter) {
  std::mt19937_64 random(1);
  sim::VirtualClock clock;
  sim::Network network(clock, random);
  sim::HostRuntime runtime(clock, network, "me", 1.0);
  Platform platform;
  MemberId peer{"peer"};
  platform.peers.push_back({peer, ZoneId{"a"}, "peer:1"});  // nobody listens there
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
