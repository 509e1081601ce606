#include "fleet/lease_log.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const MachineId kMachine{"host-1"};
const MemberId kPeer{"hoistd-2"};

Platform platformWithLease(Duration lease) {
  Platform platform;
  platform.member = kPeer;
  platform.workerLease = lease;
  platform.reportEvery = Duration{1000};
  return platform;
}

Report heartbeat(std::uint64_t sequence) {
  Report report;
  report.machine = kMachine;
  report.workerEpoch = WorkerEpoch{1};
  report.sequence = ReportSequence{sequence};
  return report;
}

TEST(LeaseLog, TellsAnotherControllerWhatItKnowsInTheClockOfThatOne) {
  LeaseLog log(platformWithLease(Duration{11000}));
  log.onHeartbeat(heartbeat(1), Instant{1000});
  log.onHeartbeat(heartbeat(2), Instant{2000});
  const Json encoded = toJson(log.observations(Instant{2500}), Instant{2500});
  const auto decoded = leaseObservationsFromJson(encoded, Instant{777000});
  ASSERT_TRUE(decoded.contains(kMachine));
  const LeaseObservation& observation = decoded.at(kMachine);
  EXPECT_EQ(observation.newest.workerEpoch, WorkerEpoch{1});
  EXPECT_EQ(observation.newest.sequence, ReportSequence{2});
  EXPECT_EQ(observation.newest.receivedBy, kPeer);
  EXPECT_EQ(observation.newest.at, Instant{776500});
  EXPECT_EQ(observation.renewedAt, Instant{775500});
}

TEST(LeaseLog, AddsItsOwnHeartbeatsToWhatTheLeaderTold) {
  LeaseLog log(platformWithLease(Duration{11000}));
  const HeartbeatArrival previous{WorkerEpoch{1}, ReportSequence{1}, MemberId{"hoistd-1"},
                                  Instant{3000}};
  log.adopt({{kMachine, {previous, Instant{2000}}}});
  log.onHeartbeat(heartbeat(2), Instant{8000});
  const LeaseObservation observation = log.observations(Instant{8500}).at(kMachine);
  EXPECT_EQ(observation.newest.sequence, ReportSequence{2});
  EXPECT_EQ(observation.renewedAt, Instant{2000});
}

TEST(LeaseLog, ForgetsLeasesThatAreOver) {
  LeaseLog log(platformWithLease(Duration{11000}));
  log.onHeartbeat(heartbeat(1), Instant{1000});
  EXPECT_EQ(log.observations(Instant{17000}).size(), 1U);
  EXPECT_TRUE(log.observations(Instant{17001}).empty());
  log.expire(Instant{17001});
  EXPECT_TRUE(log.observations(Instant{2000}).empty());
}

TEST(LeaseLog, IgnoresMalformedEntries) {
  const auto parse = [](const char* text) {
    return leaseObservationsFromJson(Json::parse(text), Instant{5000});
  };
  EXPECT_TRUE(parse("[]").empty());
  EXPECT_TRUE(parse(R"({"host-1":7})").empty());
  EXPECT_TRUE(parse(R"({"host-1":{"worker_epoch":1,"sequence":2,"received_by":"n"}})").empty());
  EXPECT_TRUE(
      parse(R"({"host-1":{"worker_epoch":0,"sequence":2,"received_by":"n","received_ms_ago":3}})")
          .empty());
  EXPECT_TRUE(
      parse(R"({"host-1":{"worker_epoch":1,"sequence":2,"received_by":"n","received_ms_ago":-3}})")
          .empty());
  EXPECT_TRUE(
      parse(
          R"({"host-1":{"worker_epoch":1,"sequence":2,"received_by":"n","received_ms_ago":99999999999999}})")
          .empty());
  EXPECT_TRUE(parse(R"({"host-1":{"worker_epoch":1,"sequence":2,"received_ms_ago":3}})").empty());
  // A heartbeat that arrived after the newest one can't have renewed the lease.
  EXPECT_TRUE(
      parse(R"({"host-1":{"worker_epoch":1,"sequence":2,"received_by":"n","received_ms_ago":30,
                                  "renewed_ms_ago":20}})")
          .empty());
  EXPECT_EQ(
      parse(R"({"host-1":{"worker_epoch":1,"sequence":2,"received_by":"n","received_ms_ago":3}})")
          .size(),
      1U);
}

}  // namespace
}  // namespace kestrelhoist
