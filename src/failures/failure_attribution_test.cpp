#include "failures/failure_attribution.hpp"

#include <gtest/gtest.h>

#include <random>

namespace kestrelhoist {
namespace {

JobId job(int n) { return JobId{"j-" + std::to_string(n)}; }
MachineId machine(int n) { return MachineId{"host-" + std::to_string(n)}; }
Instant at(double s) { return Instant{static_cast<std::int64_t>(s * 1000)}; }

TEST(FailureAttribution, AMistakenArrayIsSuspectAndCondemnsNoMachine) {
  FailureAttribution attribution;
  for (int m = 0; m < 12; ++m) {
    attribution.failed(job(1), machine(m), at(10 + 0.01 * m), false);
    attribution.failed(job(1), machine(m), at(10.2), false);
  }
  EXPECT_TRUE(attribution.isSuspect(job(1)));
  for (int m = 0; m < 12; ++m) EXPECT_FALSE(attribution.isFaulty(machine(m)));
  // The failures of one round are counted once.
  EXPECT_LE(*attribution.pausedUntil(job(1)), at(12));
}

// Guards against a job that never finishes although its mistake was corrected: all its trials were
// placed on the one remaining machine, which was faulty (pipeline-faulty-machine).
TEST(FailureAttribution, ASuspectJobThatFailsOnOneMachineAloneIsTriedElsewhereForAWhile) {
  FailureAttribution attribution;
  attribution.failed(job(1), machine(1), at(0), false);
  attribution.failed(job(1), machine(2), at(0.1), false);  // From here on the job is suspect.
  EXPECT_FALSE(attribution.excludedMachine(job(1), at(1)));
  attribution.failed(job(1), machine(1), at(10), false);
  attribution.failed(job(1), machine(1), at(10.1),
                     false);  // This failure belongs to the same round.
  EXPECT_FALSE(attribution.excludedMachine(job(1), at(11)));
  attribution.failed(job(1), machine(1), at(30), false);
  EXPECT_EQ(attribution.excludedMachine(job(1), at(31)), machine(1));
  EXPECT_EQ(
      attribution.excludedMachine(job(1), *attribution.pausedUntil(job(1)) + Duration{119000}),
      machine(1));
  EXPECT_FALSE(
      attribution.excludedMachine(job(1), *attribution.pausedUntil(job(1)) + Duration{121000}));
  attribution.failed(job(1), machine(3), at(100), false);
  EXPECT_FALSE(attribution.excludedMachine(job(1), at(101)));
  attribution.succeeded(job(1), machine(3));
  EXPECT_FALSE(attribution.excludedMachine(job(1), at(102)));
}

TEST(FailureAttribution, AJobThatIsNotSuspectExcludesNoMachine) {
  FailureAttribution attribution;
  attribution.succeeded(job(1), machine(2));
  for (int i = 0; i < 5; ++i) attribution.failed(job(1), machine(1), at(100 * i), false);
  EXPECT_FALSE(attribution.isSuspect(job(1)));
  EXPECT_FALSE(attribution.excludedMachine(job(1), at(500)));
}

// Guards against giving up a healthy machine because two jobs with mistakes failed on it and no
// task succeeded there in between.
TEST(FailureAttribution, ManyMistakenJobsCondemnNoMachine) {
  FailureAttribution attribution;
  for (int j = 0; j < 40; ++j) {
    for (int m = 0; m < 3; ++m) attribution.failed(job(j), machine(m), at(j), false);
  }
  for (int m = 0; m < 3; ++m) EXPECT_FALSE(attribution.isFaulty(machine(m)));
}

TEST(FailureAttribution, AMachineOnWhichSoundJobsFailIsFaulty) {
  FailureAttribution attribution;
  for (int j = 1; j <= 2; ++j) attribution.succeeded(job(j), machine(1));
  attribution.failed(job(1), machine(7), at(5), false);
  EXPECT_FALSE(attribution.isFaulty(machine(7)));
  attribution.failed(job(2), machine(7), at(6), false);
  EXPECT_TRUE(attribution.isFaulty(machine(7)));
  EXPECT_FALSE(attribution.isSuspect(job(1)));
}

TEST(FailureAttribution, AJobThatSucceedsElsewhereTellsOnTheMachineWhereItFailed) {
  FailureAttribution attribution;
  attribution.failed(job(1), machine(7), at(5), false);
  attribution.failed(job(2), machine(7), at(5), false);
  EXPECT_FALSE(attribution.isFaulty(machine(7)));  // Both jobs may have mistakes.
  EXPECT_EQ(attribution.machinesToAvoid(job(1)).size(), 1U);
  attribution.succeeded(job(1), machine(8));
  EXPECT_TRUE(attribution.isFaulty(machine(7)));
}

TEST(FailureAttribution, AllJobsOnANewMachineFail) {
  FailureAttribution attribution;
  for (int j = 1; j <= 3; ++j) attribution.failed(job(j), machine(7), at(j), false);
  EXPECT_TRUE(attribution.isFaulty(machine(7)));
}

TEST(FailureAttribution, AFaultyMachineUnderAMistakenJob) {
  FailureAttribution attribution;
  for (int j = 2; j <= 3; ++j) attribution.succeeded(job(j), machine(1));
  for (int m = 6; m <= 8; ++m) attribution.failed(job(1), machine(m), at(1), false);
  attribution.failed(job(2), machine(7), at(2), false);
  attribution.failed(job(3), machine(7), at(3), false);
  EXPECT_TRUE(attribution.isSuspect(job(1)));
  EXPECT_TRUE(attribution.isFaulty(machine(7)));
  EXPECT_FALSE(attribution.isFaulty(machine(6)));
}

// A success lowers the fault score by less than a failure raises it, so a machine that fails
// intermittently is detected.
TEST(FailureAttribution, AMachineIsNeverAcquittedForGood) {
  FailureAttribution attribution;
  int until = 0;
  for (int j = 1; j <= 20 && !attribution.isFaulty(machine(7)); ++j) {
    attribution.succeeded(job(j), machine(1));
    attribution.succeeded(job(j), machine(7));
    attribution.failed(job(j), machine(7), at(j), false);
    until = j;
  }
  EXPECT_LE(until, 3);
}

// A healthy machine on which 1% of 500 tasks fail by chance is rarely given up. Each machine that
// is given up costs one rental.
TEST(FailureAttribution, ChanceCondemnsFew) {
  std::mt19937 random(3);
  int givenUp = 0;
  for (int life = 0; life < 200; ++life) {
    FailureAttribution attribution;
    for (int j = 1; j <= 500 && !attribution.isFaulty(machine(7)); ++j) {
      attribution.succeeded(job(j), machine(1));
      if (random() % 100 == 0) {
        attribution.failed(job(j), machine(7), at(j), false);
      } else {
        attribution.succeeded(job(j), machine(7));
      }
    }
    givenUp += attribution.isFaulty(machine(7)) ? 1 : 0;
  }
  EXPECT_LE(givenUp, 24);
}

TEST(FailureAttribution, ASuspectJobIsTriedWithGrowingPausesAndReturnsToFullSpeed) {
  FailureAttribution attribution;
  double now = 0;
  for (int m = 0; m < 2; ++m) attribution.failed(job(1), machine(m), at(now), false);
  double last = 0;
  for (int round = 0; round < 8; ++round) {
    double until = toSeconds(*attribution.pausedUntil(job(1)) - Instant{});
    EXPECT_GE(until - now, std::min(60.0, 1.9 * last));
    last = until - now;
    now = until;
    attribution.failed(job(1), machine(round), at(now), false);
  }
  EXPECT_EQ(last, 60);
  EXPECT_EQ(attribution.maxConcurrentTasks(job(1)), 2U);
  attribution.succeeded(job(1), machine(9));  // The image may have been flaky.
  EXPECT_FALSE(attribution.maxConcurrentTasks(job(1)));
  EXPECT_FALSE(attribution.pausedUntil(job(1)));
  for (int m = 0; m < 9; ++m) EXPECT_FALSE(attribution.isFaulty(machine(m)));
}

TEST(FailureAttribution, ASoundJobWhoseImageTurnsBadIsSuspectAndTheChargesAreTakenBack) {
  FailureAttribution attribution;
  for (int j = 1; j <= 3; ++j) attribution.succeeded(job(j), machine(0));
  for (int j = 1; j <= 3; ++j) {
    for (int m = 1; m <= 3; ++m) attribution.failed(job(j), machine(m), at(j), false);
    EXPECT_TRUE(attribution.isSuspect(job(j)));
  }
  for (int m = 1; m <= 3; ++m) EXPECT_FALSE(attribution.isFaulty(machine(m)));
}

TEST(FailureAttribution, ANewLeaderKnowsTheSuspects) {
  FailureAttribution attribution, next;
  for (int m = 0; m < 2; ++m) attribution.failed(job(1), machine(m), at(1), false);
  for (const auto& [id, rounds] : attribution.suspectJobs(8))
    next.restoreSuspect(id, rounds, at(5));
  EXPECT_EQ(next.maxConcurrentTasks(job(1)), 2U);
  EXPECT_GT(*next.pausedUntil(job(1)), at(5));
}

// In random fleets some jobs have mistakes and a few machines are faulty. No healthy machine may be
// given up, and every faulty machine that receives enough work must be.
TEST(FailureAttribution, DrawnFleets) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    FailureAttribution attribution;
    const int machines = 10 + static_cast<int>(random() % 30);
    const int faulty = static_cast<int>(random() % 3);
    const auto wrongInTen = random() % 4;
    std::vector<int> onFaulty(3);
    for (int j = 0; j < 300; ++j) {
      bool wrong = random() % 10 < wrongInTen;
      for (int t = 0; t < 8; ++t) {
        int m = static_cast<int>(random() % static_cast<unsigned>(machines));
        if (attribution.isFaulty(machine(m))) continue;
        if (wrong || m < faulty) {
          attribution.failed(job(j), machine(m), at(j + 0.1 * t), false);
        } else {
          attribution.succeeded(job(j), machine(m));
        }
        if (!wrong && m < faulty) ++onFaulty[static_cast<std::size_t>(m)];
      }
    }
    for (int m = 0; m < machines; ++m) {
      if (m >= faulty) {
        EXPECT_FALSE(attribution.isFaulty(machine(m))) << "seed " << seed;
      } else if (onFaulty[static_cast<std::size_t>(m)] >= 4) {
        EXPECT_TRUE(attribution.isFaulty(machine(m))) << "seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace kestrelhoist
