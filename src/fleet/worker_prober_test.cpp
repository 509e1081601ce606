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

// A machine that lived was given up, and its replicas waited 36 s for another, since the lost
// answers of one probe that went two ways counted twice (limits-fall-faults, seed 72).
TEST(FailedProbe, CountsOnceHoweverManyWaysItGoes) {
  Machine machine = machineThatReportedAt(Instant{1000});
  machine.newestFailedProbe = kSent;
  EXPECT_FALSE(isFailedProbe(machine, kSent, ProbeOutcome::unreachable));
  EXPECT_TRUE(isFailedProbe(machine, kSent + Duration{1500}, ProbeOutcome::unreachable));
}

}  // namespace
}  // namespace kestrelhoist
