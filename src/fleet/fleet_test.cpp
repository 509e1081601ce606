// Tests when a leader declares machines lost that no longer report, depending on how many other
// machines report.
#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

struct Silence : testing::Test {
  Platform platform;
  Replica replica;
  std::unique_ptr<Fleet> fleet;
  static constexpr int kMachines = 40;

  Silence() {
    platform.reportEvery = Duration{3000};
    platform.workerLease = Duration{17500};
    platform.cancelWithin = Duration{47500};
    platform.peers.resize(2);
    RentalRecord rental;
    rental.id = RentalId{"r-1"};
    rental.type = TypeId{"box"};
    rental.zone = ZoneId{"a"};
    rental.answered = true;
    for (int i = 0; i < kMachines; ++i) rental.machines.push_back({machineId(i), false});
    replica.apply({keys::rental(rental.id), toJson(rental), Revision{1}});
    fleet = std::make_unique<Fleet>(platform, replica, FencingToken{5}, Instant{0});
    fleet->adoptRecords(Instant{0}, 0);
    applyHeartbeats(kMachines, 1000);
  }
  static MachineId machineId(int i) { return MachineId{"host-" + std::to_string(100000 + i)}; }
  void applyHeartbeats(int machines, std::int64_t atMs) {
    for (int i = 0; i < machines; ++i) {
      Report r;
      r.machine = machineId(i);
      r.type = TypeId{"box"};
      r.zone = ZoneId{i % 2 ? "a" : "b"};
      r.workerEpoch = WorkerEpoch{1};
      r.sequence = ReportSequence{static_cast<std::uint64_t>(atMs)};
      r.token = FencingToken{5};
      fleet->applyReport(r, Instant{atMs}, true);
    }
  }
  std::size_t terminatingAt(std::int64_t atMs) {
    fleet->detectFailures(Instant{atMs}, nullptr, [](const ZoneId&) { return false; });
    return fleet->terminating().size();
  }
};

TEST_F(Silence, OfSomeIsTheirsWhileMostAreHeard) {
  applyHeartbeats(30, 19000);
  EXPECT_EQ(terminatingAt(20000), 10U);
}

// Guards against a leader that receives almost no reports terminating healthy machines; 203 of them
// were terminated within a second.
TEST_F(Silence, OfNearlyAllIsTheLeadersOwn) {
  applyHeartbeats(3, 24000);
  EXPECT_EQ(terminatingAt(25000), 0U);
  applyHeartbeats(3, 60000);
  // This is two leases and the renewal limit of 26.97 s after the last sign of life.
  EXPECT_EQ(terminatingAt(62000), 0U);
  applyHeartbeats(3, 64500);
  EXPECT_EQ(terminatingAt(65000), 37U);
}

// The fleet consists of three machines in this leader's own zone, whose reports no longer arrive.
struct SilenceOfFew : Silence {
  static constexpr int kRemaining = 3;
  static constexpr std::int64_t kNewestReportAtMs = 100000;
  SilenceOfFew() {
    for (int i = kRemaining; i < kMachines; ++i) fleet->onTerminated(machineId(i), Instant{2000});
    applyHeartbeats(kRemaining, kNewestReportAtMs);
  }
};

// Guards against the termination of three running machines after one lease: no worker reached the
// leader, but a controller that the leader could not reach answered them all the time
// (deaf-leaders-slow-few).
TEST_F(SilenceOfFew, ThatAnUnheardPeerMayAnswerIsNoLossBeforeTheirLeasesCanEnd) {
  fleet->setPeerUnreachable(true);
  // This is just below a lease, the renewal limit of 26.97 s and a second.
  EXPECT_EQ(terminatingAt(kNewestReportAtMs + 44000), 0U);
  EXPECT_EQ(terminatingAt(kNewestReportAtMs + 46000), 3U);
}

TEST_F(SilenceOfFew, WhileAllPeersAreHeardIsALossAfterALease) {
  EXPECT_EQ(terminatingAt(kNewestReportAtMs + 18000), 0U);
  EXPECT_EQ(terminatingAt(kNewestReportAtMs + 19000), 3U);
}

// The new leader never receives a report from a zone of three machines with tasks, while another
// zone reports.
struct UnheardZone : testing::Test {
  Platform platform;
  Replica replica;
  std::unique_ptr<Fleet> fleet;
  const ZoneId zoneA{"a"}, zoneC{"c"};
  static constexpr std::int64_t kElectedAt = 100000;

  UnheardZone() {
    platform.reportEvery = Duration{1000};
    platform.workerLease = Duration{11000};
    platform.cancelWithin = Duration{41000};
    platform.zones = {zoneA, ZoneId{"b"}, zoneC};
    platform.peers.resize(1);
    addRental("a", 5);
    addRental("c", 3);
    JobRecord job;
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId{"j-000001"};
    spec->tasks = 8;
    job.spec = spec;
    job.chunkSize = 8;
    replica.apply({keys::job(spec->id), toJson(job), Revision{3}});
    TaskChunkRecord tasks;
    for (std::uint32_t i = 0; i < 5; ++i) tasks.placed[i] = placementOn("a", i);
    for (std::uint32_t i = 0; i < 3; ++i) tasks.placed[5 + i] = placementOn("c", i);
    replica.apply({keys::tasks(spec->id, 0), toJson(tasks), Revision{4}});
    fleet = std::make_unique<Fleet>(platform, replica, FencingToken{5}, Instant{kElectedAt});
    fleet->adoptRecords(Instant{kElectedAt}, 0);
  }
  static MachineId machineId(const std::string& zone, std::uint32_t i) {
    return MachineId{"host-" + zone + std::to_string(i)};
  }
  static TaskPlacement placementOn(const std::string& zone, std::uint32_t i) {
    return {machineId(zone, i), WorkerEpoch{1}, Attempt{1}};
  }
  void addRental(const std::string& zone, std::uint32_t machines) {
    RentalRecord rental;
    rental.id = RentalId{"r-" + zone};
    rental.type = TypeId{"box"};
    rental.zone = ZoneId{zone};
    rental.answered = true;
    for (std::uint32_t i = 0; i < machines; ++i)
      rental.machines.push_back({machineId(zone, i), false});
    replica.apply({keys::rental(rental.id), toJson(rental), Revision{1}});
  }
  void applyHeartbeats(const std::string& zone, std::uint32_t i, std::int64_t atMs) {
    Report report;
    report.machine = machineId(zone, i);
    report.type = TypeId{"box"};
    report.zone = ZoneId{zone};
    report.workerEpoch = WorkerEpoch{1};
    report.sequence = ReportSequence{static_cast<std::uint64_t>(atMs)};
    report.token = FencingToken{5};
    fleet->applyReport(report, Instant{atMs}, true);
  }
  // Returns the images of a machine whose only reported task has ended.
  const ImageCache& imagesAfterEnd(EndCause cause) {
    Report report;
    report.machine = machineId("a", 0);
    report.zone = zoneA;
    report.workerEpoch = WorkerEpoch{1};
    report.sequence = ReportSequence{1};
    report.tasks.push_back({{{JobId{"j-000001"}, 0}, Attempt{1}}, TaskState::ended, cause});
    fleet->applyReport(report, Instant{kElectedAt + 100}, true);
    return fleet->find(report.machine)->images;
  }
  // Returns how many machines are being terminated at `atMs` if zone a reports. `acknowledged` is
  // the time until which any controller may have acknowledged heartbeats of zone c, if known.
  std::size_t terminatingAtWithBound(std::int64_t atMs, std::optional<std::int64_t> acknowledged) {
    for (std::uint32_t i = 0; i < 5; ++i) applyHeartbeats("a", i, atMs - 200);
    std::map<ZoneId, Instant> bounds{{zoneA, Instant{atMs - 200}}};
    if (acknowledged) bounds[zoneC] = Instant{*acknowledged};
    fleet->setZoneAckBounds(bounds, Instant{atMs});
    fleet->detectFailures(Instant{atMs}, nullptr, [](const ZoneId&) { return false; });
    return fleet->terminating().size();
  }
};

TEST_F(UnheardZone, IsGivenUpWhenItsLeasesAreOver) {
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 4000, kElectedAt - 7500), 0U);
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 4600, kElectedAt - 7500), 3U);
}

TEST_F(UnheardZone, OfOneMachineIsGivenUpLikewise) {
  for (std::uint32_t i = 1; i < 3; ++i) fleet->onTerminated(machineId("c", i), Instant{kElectedAt});
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 4000, kElectedAt - 7500), 0U);
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 4600, kElectedAt - 7500), 1U);
}

TEST_F(UnheardZone, HasAReportRoundToBeHeard) {
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 2200, kElectedAt - 60000), 0U);
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 2300, kElectedAt - 60000), 3U);
}

TEST_F(UnheardZone, CountsFromTheElectionWhereNothingOlderIsKnown) {
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 15900, std::nullopt), 0U);
  // The timeout is a lease, 1 s and half the failover time.
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 16100, std::nullopt), 3U);
}

TEST_F(UnheardZone, IsKeptWhileAControllerThatIsNotHeardMayAnswerThere) {
  fleet->setZoneAckBounds({{zoneC, Instant{kElectedAt - 7500}}}, Instant{kElectedAt + 3000});
  for (std::uint32_t i = 0; i < 5; ++i) applyHeartbeats("a", i, kElectedAt + 6000);
  fleet->setZoneAckBounds({{zoneC, Instant{kElectedAt - 7500}}}, Instant{kElectedAt + 6000});
  fleet->detectFailures(Instant{kElectedAt + 6000}, nullptr,
                        [&](const ZoneId& zone) { return zone == zoneC; });
  EXPECT_EQ(fleet->terminating().size(), 0U);
}

TEST_F(UnheardZone, IsKeptOnceAnAcknowledgementIsKnownThatThisLeaderDidNotGive) {
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 3000, kElectedAt - 7500), 0U);
  // Neither the controller that acknowledged the heartbeat nor the machine that sent it is known.
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 6000, kElectedAt + 4000), 0U);
}

TEST_F(UnheardZone, IsGivenUpAlthoughAMachineIsHeardThatCameLater) {
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 3000, kElectedAt - 7500), 0U);
  applyHeartbeats("c", 9, kElectedAt + 4000);
  EXPECT_EQ(terminatingAtWithBound(kElectedAt + 4600, kElectedAt + 4000), 3U);
}

TEST_F(UnheardZone, IsOnRecordAsSilentForTheNextLeader) {
  EXPECT_TRUE(fleet->suspectedZones(Instant{kElectedAt + 1000}).empty());
  terminatingAtWithBound(kElectedAt + 3000, kElectedAt - 7500);
  EXPECT_EQ(fleet->suspectedZones(Instant{kElectedAt + 3000}),
            (std::map<ZoneId, Instant>{{zoneC, Instant{kElectedAt - 7500}}}));
}

TEST_F(UnheardZone, AsRecordedByTheLeaderBeforeStaysOnRecord) {
  fleet->restoreSuspectedZone(zoneC, Instant{kElectedAt - 7500});
  EXPECT_EQ(fleet->suspectedZones(Instant{kElectedAt + 1000}),
            (std::map<ZoneId, Instant>{{zoneC, Instant{kElectedAt - 7500}}}));
}

// A zone is suspected once each of its machines is overdue, however few they are.
TEST_F(UnheardZone, OfOneToThreeMachinesIsSuspectedOnceAllAreOverdue) {
  for (std::uint32_t machines = 1; machines <= 3; ++machines) {
    for (std::uint32_t i = 0; i < machines; ++i)
      applyHeartbeats("c", i, kElectedAt + 10000 * machines);
    Instant last{kElectedAt + 10000 * machines};
    EXPECT_FALSE(fleet->suspectedZones(last + Duration{2250}).contains(zoneC));
    EXPECT_TRUE(fleet->suspectedZones(last + Duration{2251}).contains(zoneC));
  }
}

// Guards against a warm pool that holds an image on too few machines: the previous leader ended
// before the end of a finished task was recorded, and the next leader saw the task only as ended
// and did not count its image as held (policy-restart, 37 of 80 worlds).
TEST_F(UnheardZone, AMachineHoldsTheImageOfATaskThatHasEndedThere) {
  const ImageCache& images = imagesAfterEnd(EndCause::done);
  ASSERT_EQ(std::distance(images.begin(), images.end()), 1);
  EXPECT_TRUE(images.begin()->fetched);
}

TEST_F(UnheardZone, AMachineNeedNotHoldTheImageOfATaskThatWasStopped) {
  const ImageCache& images = imagesAfterEnd(EndCause::stopped);
  EXPECT_EQ(images.begin(), images.end());
}

// Checks the limit of lease_renewal.hpp for three lease durations: if a user is notified of a
// cancellation just after the time of the records, the task ends in time even though its last
// report is answered at the last possible moment.
TEST(LeaseRenewal, EndsSoEarlyThatTheLeaseIsOverInTime) {
  for (auto [lease, cancel] : {std::pair{11000, 41000}, {17500, 47500}, {36000, 61000}}) {
    Platform p;
    p.workerLease = Duration{lease};
    p.cancelWithin = Duration{cancel};
    Instant asOf{100000};
    Duration slowLease{lease * 10005 / 10000 + 1};
    Instant over = LeaseRenewal(p).renewableUntil(asOf) + slowLease;
    EXPECT_LE(over + Duration{2950}, asOf + p.cancelWithin);
    // The limit is not earlier than needed.
    EXPECT_GE(over + Duration{3100}, asOf + p.cancelWithin);
  }
  Platform p;
  p.workerLease = Duration{30000};
  p.cancelWithin = Duration{31000};
  EXPECT_EQ(LeaseRenewal(p).renewableUntil(Instant{5}), Instant{5});
}

}  // namespace
}  // namespace kestrelhoist
