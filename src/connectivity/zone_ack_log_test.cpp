// Guards against a new leader that declares the workers of a partitioned zone dead too late. The
// heartbeat times of the old leader were lost with it, so the new leader measured the silence of
// the zone from its own election, and production replicas were missing for one more lease duration.
#include "connectivity/zone_ack_log.hpp"

#include <gtest/gtest.h>

#include <set>

namespace kestrelhoist {
namespace {

const ZoneId kZoneA{"a"}, kZoneB{"b"}, kZoneC{"c"};
const MemberId kLeader{"leader"}, kThird{"third"};

Platform platformWithPeers() {
  Platform platform;
  platform.member = MemberId{"me"};
  platform.zone = kZoneA;
  platform.zones = {kZoneA, kZoneB, kZoneC};
  platform.peers = {{kLeader, kZoneA, "leader:1"}, {kThird, kZoneB, "third:1"}};
  platform.reportEvery = Duration{8000};
  return platform;
}

constexpr std::int64_t kHourMs = 3600000;

/// Sets up a controller that has been running for an hour and two peers that respond to it.
struct ZoneAcks : testing::Test {
  Platform platform = platformWithPeers();
  ZoneAckLog log{platform, Instant{0}};
  std::set<MemberId> refusingPeers;

  static ZoneAckReport reportWith(std::map<ZoneId, Duration> known,
                                  Duration uptime = Duration{kHourMs}) {
    return {uptime, std::move(known), {}};
  }
  void receiveResponse(const MemberId& peer, std::int64_t atMs, std::map<ZoneId, Duration> known,
                       Duration uptime = Duration{kHourMs}) {
    log.onPeerAnswer(peer, Instant{atMs - 10}, Instant{atMs}, reportWith(std::move(known), uptime));
  }
  void refuseConnection(const MemberId& peer, std::int64_t atMs) {
    refusingPeers.insert(peer);
    log.onPeerRefused(peer, Instant{atMs});
  }
  std::map<ZoneId, Instant> bounds(std::int64_t atMs) const {
    return log.bounds(Instant{atMs},
                      [this](const MemberId& peer) { return !refusingPeers.contains(peer); });
  }
  std::optional<Instant> boundOf(const ZoneId& zone, std::int64_t atMs) const {
    auto all = bounds(atMs);
    return all.contains(zone) ? std::optional(all.at(zone)) : std::nullopt;
  }
};

TEST_F(ZoneAcks, OutliveTheLeaderThatGaveThem) {
  receiveResponse(kLeader, kHourMs, {{kZoneC, Duration{5000}}, {kZoneA, Duration{100}}});
  receiveResponse(kThird, kHourMs, {{kZoneB, Duration{100}}});
  refuseConnection(kLeader, kHourMs + 400);
  receiveResponse(kThird, kHourMs + 500, {{kZoneB, Duration{100}}});
  EXPECT_EQ(boundOf(kZoneC, kHourMs + 500), Instant{kHourMs - 5000});
}

TEST_F(ZoneAcks, OfAZoneThatWasOnTimeCountUntilTheLeadersEnd) {
  receiveResponse(kLeader, kHourMs, {{kZoneC, Duration{1500}}});
  receiveResponse(kThird, kHourMs, {});
  refuseConnection(kLeader, kHourMs + 400);
  EXPECT_EQ(boundOf(kZoneC, kHourMs + 500), Instant{kHourMs + 400});
}

TEST_F(ZoneAcks, CountUntilTheEndOfALeaderThatWasNotHeardForLong) {
  receiveResponse(kLeader, kHourMs, {{kZoneC, Duration{60000}}});
  receiveResponse(kThird, kHourMs, {});
  refuseConnection(kLeader, kHourMs + 9000);
  receiveResponse(kThird, kHourMs + 9000, {});
  EXPECT_EQ(boundOf(kZoneC, kHourMs + 9000), Instant{kHourMs + 9000});
}

TEST_F(ZoneAcks, AreUnknownWhileAControllerThatCannotBeAskedMayGiveThem) {
  receiveResponse(kLeader, kHourMs, {{kZoneC, Duration{5000}}});
  receiveResponse(kThird, kHourMs, {});
  EXPECT_TRUE(boundOf(kZoneC, kHourMs + 1900));
  receiveResponse(kThird, kHourMs + 2500, {});
  EXPECT_TRUE(bounds(kHourMs + 2500).empty());  // The leader does not respond but may still run.
}

TEST_F(ZoneAcks, AreUnknownInTheZoneOfAControllerThatRefuses) {
  receiveResponse(kLeader, kHourMs, {});
  receiveResponse(kThird, kHourMs, {{kZoneC, Duration{5000}}, {kZoneB, Duration{5000}}});
  refuseConnection(kThird, kHourMs + 400);
  receiveResponse(kLeader, kHourMs + 500, {});
  EXPECT_FALSE(
      boundOf(kZoneB, kHourMs + 500));  // The peer may be partitioned together with its zone.
  EXPECT_TRUE(boundOf(kZoneC, kHourMs + 500));
  refusingPeers.clear();  // The refusals last so long that a packet filter is the likelier cause.
  EXPECT_FALSE(boundOf(kZoneC, kHourMs + 500));
}

TEST_F(ZoneAcks, AreUnknownWhileAPeerOfAnEarlierVersionDoesNotTell) {
  receiveResponse(kLeader, kHourMs, {});
  log.onPeerAnswer(kThird, Instant{kHourMs}, Instant{kHourMs}, std::nullopt);
  EXPECT_TRUE(bounds(kHourMs).empty());
}

TEST_F(ZoneAcks, OfAControllerThatIsBackAtOnceCountUntilItsStart) {
  receiveResponse(kThird, kHourMs, {});
  receiveResponse(kLeader, kHourMs, {{kZoneC, Duration{60000}}, {kZoneA, Duration{100}}});
  receiveResponse(kLeader, kHourMs + 500, {}, Duration{200});
  EXPECT_EQ(boundOf(kZoneA, kHourMs + 500), Instant{kHourMs + 300});
  EXPECT_EQ(boundOf(kZoneC, kHourMs + 500), Instant{kHourMs - 60000});
}

TEST_F(ZoneAcks, ThatCameUnaskedAndLateMakeAZoneLookNewerNeverOlder) {
  receiveResponse(kLeader, kHourMs, {{kZoneC, Duration{5000}}});
  receiveResponse(kThird, kHourMs, {});
  log.onPeerAnnouncement(Instant{kHourMs + 100}, reportWith({{kZoneC, Duration{4000}}}));
  EXPECT_EQ(boundOf(kZoneC, kHourMs + 100), Instant{kHourMs - 3900});
  log.onPeerAnnouncement(Instant{kHourMs + 200}, reportWith({{kZoneC, Duration{90000}}}));
  EXPECT_EQ(boundOf(kZoneC, kHourMs + 200), Instant{kHourMs - 3900});
  // A delayed status does not show that the peer has reported everything up to its arrival.
  receiveResponse(kThird, kHourMs + 30000, {});
  log.onPeerAnnouncement(Instant{kHourMs + 30000}, reportWith({{kZoneC, Duration{5000}}}));
  EXPECT_FALSE(boundOf(kZoneC, kHourMs + 30000));
}

TEST_F(ZoneAcks, AreAnnouncedWhenPeersKnowNoRecentOne) {
  EXPECT_TRUE(log.onAcknowledged(kZoneC, Instant{kHourMs}));
  EXPECT_FALSE(log.onAcknowledged(kZoneC, Instant{kHourMs + 2000}));
  EXPECT_TRUE(log.onAcknowledged(kZoneC, Instant{kHourMs + 4001}));
  EXPECT_FALSE(log.onAcknowledged(ZoneId{"elsewhere"}, Instant{kHourMs}));
  EXPECT_FALSE(log.report(Instant{kHourMs + 5000}, [](const MemberId&) { return true; })
                   .knownAges.contains(ZoneId{"elsewhere"}));
}

// A controller that has just started has no record of the acknowledgements of its earlier process.
// Its peers report bounds for them once they have noticed the restart.
TEST_F(ZoneAcks, ComeBackFromPeersToAControllerThatStartedAnew) {
  ZoneAckLog restarted{platform, Instant{kHourMs}};
  auto alive = [](const MemberId&) { return true; };
  ZoneAckReport report{Duration{kHourMs}, {{kZoneC, Duration{9000}}}, {{kZoneC, Duration{9000}}}};
  for (const auto& peer : {kLeader, kThird}) {
    restarted.onPeerAnswer(peer, Instant{kHourMs + 500}, Instant{kHourMs + 500}, report);
  }
  EXPECT_EQ(restarted.bounds(Instant{kHourMs + 500}, alive).at(kZoneC), Instant{kHourMs});
  report.knownAges[kZoneC] = report.boundAges[kZoneC] = Duration{10500};
  for (const auto& peer : {kLeader, kThird}) {
    restarted.onPeerAnswer(peer, Instant{kHourMs + 2000}, Instant{kHourMs + 2000}, report);
  }
  EXPECT_EQ(restarted.bounds(Instant{kHourMs + 2000}, alive).at(kZoneC), Instant{kHourMs - 8500});
}

TEST_F(ZoneAcks, OfAControllerWithoutPeersBeginWithItsStart) {
  platform.peers.clear();
  ZoneAckLog withoutPeers{platform, Instant{7000}};
  auto alive = [](const MemberId&) { return true; };
  EXPECT_EQ(withoutPeers.bounds(Instant{9000}, alive).at(kZoneC), Instant{7000});
  withoutPeers.onAcknowledged(kZoneC, Instant{8000});
  EXPECT_EQ(withoutPeers.bounds(Instant{9000}, alive).at(kZoneC), Instant{8000});
}

TEST_F(ZoneAcks, AreReadBackAsTheyWereWritten) {
  const ZoneAckReport report{Duration{5}, {{kZoneC, Duration{7}}}, {{kZoneA, Duration{9}}}};
  auto read = zoneAckReportFrom(toJson(report), platform.zones);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->uptime, report.uptime);
  EXPECT_EQ(read->knownAges, report.knownAges);
  EXPECT_EQ(read->boundAges, report.boundAges);
}

TEST_F(ZoneAcks, ThatAreMalformedAreLeftOutAsAWhole) {
  for (const char* text : {
           R"({})",
           R"([])",
           R"({"uptime_ms":1,"known_ms":{"a":1}})",
           R"({"uptime_ms":1,"known_ms":{"a":1,"nowhere":1},"bound_ms":{}})",
           R"({"uptime_ms":1,"known_ms":{"a":-1},"bound_ms":{}})",
           R"({"uptime_ms":-1,"known_ms":{},"bound_ms":{}})",
           R"({"uptime_ms":1,"known_ms":{"a":"1"},"bound_ms":{}})",
           R"({"uptime_ms":1,"known_ms":{"a":1.5},"bound_ms":{}})",
           R"({"uptime_ms":1,"known_ms":{"a":18446744073709551615},"bound_ms":{}})",
           R"({"uptime_ms":1,"known_ms":[1],"bound_ms":{}})",
           R"({"uptime_ms":1,"known_ms":{"a":1,"b":1,"c":1,"d":1},"bound_ms":{}})",
       }) {
    EXPECT_FALSE(zoneAckReportFrom(Json::parse(text), platform.zones)) << text;
  }
}

}  // namespace
}  // namespace kestrelhoist
