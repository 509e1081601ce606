// What silence says to a leader, by how many it hears.
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
    for (int i = 0; i < kMachines; ++i) rental.machines.push_back({name(i), false});
    replica.apply({keys::rental(rental.id), toJson(rental), Revision{1}});
    fleet = std::make_unique<Fleet>(platform, replica, FencingToken{5}, Instant{0});
    fleet->adoptRecords(Instant{0}, 0);
    hear(kMachines, 1000);
  }
  static MachineId name(int i) { return MachineId{"host-" + std::to_string(100000 + i)}; }
  void hear(int machines, std::int64_t atMs) {
    for (int i = 0; i < machines; ++i) {
      Report r;
      r.machine = name(i);
      r.type = TypeId{"box"};
      r.zone = ZoneId{i % 2 ? "a" : "b"};
      r.workerEpoch = WorkerEpoch{1};
      r.sequence = ReportSequence{static_cast<std::uint64_t>(atMs)};
      r.token = FencingToken{5};
      fleet->applyReport(r, Instant{atMs}, true);
    }
  }
  std::size_t givenUp(std::int64_t atMs) {
    fleet->detectFailures(Instant{atMs}, nullptr, [](const ZoneId&) { return false; });
    return fleet->terminating().size();
  }
};

TEST_F(Silence, OfSomeIsTheirsWhileMostAreHeard) {
  hear(30, 19000);
  EXPECT_EQ(givenUp(20000), 10U);
}

// 203 healthy machines were given back within a second by a leader that heard next to nobody.
TEST_F(Silence, OfNearlyAllIsTheLeadersOwn) {
  hear(3, 24000);
  EXPECT_EQ(givenUp(25000), 0U);
  hear(3, 60000);
  EXPECT_EQ(givenUp(62000), 0U);  // 2 leases and the bound of 26.97 s after the last sign
  hear(3, 64500);
  EXPECT_EQ(givenUp(65000), 37U);
}

// The sum of lease_renewal.hpp at the three paces: what is told a moment after the records' instant
// is gone in time although the last report is answered at the last moment.
TEST(LeaseRenewal, EndsSoEarlyThatTheLeaseIsOverInTime) {
  for (auto [lease, cancel] : {std::pair{11000, 41000}, {17500, 47500}, {36000, 61000}}) {
    Platform p;
    p.workerLease = Duration{lease};
    p.cancelWithin = Duration{cancel};
    Instant asOf{100000};
    Duration slowLease{lease * 10005 / 10000 + 1};
    Instant over = LeaseRenewal(p).until(asOf) + slowLease;
    EXPECT_LE(over + Duration{2950}, asOf + p.cancelWithin);
    EXPECT_GE(over + Duration{3100}, asOf + p.cancelWithin);  // nor earlier than needed
  }
  Platform p;
  p.workerLease = Duration{30000};
  p.cancelWithin = Duration{31000};
  EXPECT_EQ(LeaseRenewal(p).until(Instant{5}), Instant{5});
}

}  // namespace
}  // namespace kestrelhoist
