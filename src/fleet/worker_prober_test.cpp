#include "fleet/worker_prober.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

constexpr Instant kSent{5000};

Machine machineThatReportedAt(Instant at) {
  Machine machine;
  machine.session.lastReport.emplace();
  machine.session.lastReportAt = at;
  return machine;
}

TEST(FailedProbe, IsOneWithoutAnAnswerOnAWayThatWorks) {
  const Machine machine = machineThatReportedAt(Instant{1000});
  EXPECT_TRUE(isFailedProbe(machine, kSent, ProbeOutcome::unreachable));
  EXPECT_FALSE(isFailedProbe(machine, kSent, ProbeOutcome::unknown));
  EXPECT_FALSE(isFailedProbe(machine, kSent, ProbeOutcome::answered));
}

// On a slow link the timeout of a probe came after the next report and counted all the same, so
// that machines which lived were given up (deaf-leaders-slow-link).
TEST(FailedProbe, IsNoneIfAReportHasComeSinceItWasSent) {
  const Machine machine = machineThatReportedAt(kSent + Duration{500});
  EXPECT_FALSE(isFailedProbe(machine, kSent, ProbeOutcome::unreachable));
}

}  // namespace
}  // namespace kestrelhoist
