#include "connectivity/reporter_log.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const ZoneId kZoneA{"a"}, kZoneB{"b"};

TEST(ReporterLog, PrefersTheZoneAndNeverNamesTheWorkerInQuestion) {
  ReporterLog log{Duration{1000}};
  EXPECT_EQ(log.newestExcept("a1", kZoneA, Instant{5}), std::nullopt);
  log.record("a1", kZoneA, Instant{1});
  EXPECT_EQ(log.newestExcept("a1", kZoneA, Instant{5}), std::nullopt);
  log.record("b1", kZoneB, Instant{2});
  EXPECT_EQ(log.newestExcept("a1", kZoneA, Instant{5}), "b1");
  log.record("a2", kZoneA, Instant{3});
  log.record("a1", kZoneA, Instant{4});
  EXPECT_EQ(log.newestExcept("a1", kZoneA, Instant{5}), "a2");
  EXPECT_EQ(log.newestExcept("a2", kZoneA, Instant{5}), "a1");
  EXPECT_EQ(log.newestExcept("a3", kZoneA, Instant{5}), "a1");
  EXPECT_EQ(log.newestExcept("x", ZoneId{"c"}, Instant{5}), "a1");
}

// Guards against choosing a worker that sends no heartbeats as the reference. A machine that was
// terminated a moment ago does not respond and would prove nothing about the path.
TEST(ReporterLog, PrefersWhoReportsElsewhereToWhoNoLongerDoesInTheZone) {
  ReporterLog log{Duration{1000}};
  log.record("a1", kZoneA, Instant{0});
  log.record("b1", kZoneB, Instant{2000});
  EXPECT_EQ(log.newestExcept("a2", kZoneA, Instant{1000}), "a1");
  EXPECT_EQ(log.newestExcept("a2", kZoneA, Instant{2000}), "b1");
}

TEST(ReporterLog, ForgetsWhoHasNotReportedForLong) {
  ReporterLog log{Duration{1000}};
  log.record("a1", kZoneA, Instant{0});
  EXPECT_EQ(log.zoneOf("a1"), kZoneA);
  log.expire(Instant{1000000});
  EXPECT_EQ(log.zoneOf("a1"), std::nullopt);
  EXPECT_EQ(log.newestExcept("a2", kZoneA, Instant{1000000}), std::nullopt);
}

}  // namespace
}  // namespace kestrelhoist
