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

// Guards against the termination of running machines over slow links: the timeout of a probe came
// after the machine's next report and still counted as a failed probe (deaf-leaders-slow-link).
TEST(FailedProbe, IsNoneIfAReportHasComeSinceItWasSent) {
  const Machine machine = machineThatReportedAt(kSent + Duration{500});
  EXPECT_FALSE(isFailedProbe(machine, kSent, ProbeOutcome::unreachable));
}

// Guards against the termination of a running machine, after which its replicas waited 36 s for
// another: the two lost answers of a probe that was sent over two paths counted as two failed
// probes (limits-fall-faults, seed 72).
TEST(FailedProbe, CountsOnceHoweverManyWaysItGoes) {
  Machine machine = machineThatReportedAt(Instant{1000});
  machine.newestFailedProbe = kSent;
  EXPECT_FALSE(isFailedProbe(machine, kSent, ProbeOutcome::unreachable));
  EXPECT_TRUE(isFailedProbe(machine, kSent + Duration{1500}, ProbeOutcome::unreachable));
}

}  // namespace
}  // namespace kestrelhoist
