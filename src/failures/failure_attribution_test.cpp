#include "failures/failure_attribution.hpp"

#include <gtest/gtest.h>

#include <random>

namespace kestrelhoist {
namespace {

JobId job(int n) { return JobId{"j-" + std::to_string(n)}; }
MachineId machine(int n) { return MachineId{"host-" + std::to_string(n)}; }
Instant at(double s) { return Instant{static_cast<std::int64_t>(s * 1000)}; }

TEST(FailureAttribution, AMistakenArrayIsSuspectAndCondemnsNoMachine) {
  FailureAttribution e;
  for (int m = 0; m < 12; ++m) {
    e.failed(job(1), machine(m), at(10 + 0.01 * m), false);
    e.failed(job(1), machine(m), at(10.2), false);
  }
  EXPECT_TRUE(e.isSuspect(job(1)));
  for (int m = 0; m < 12; ++m) EXPECT_FALSE(e.isFaulty(machine(m)));
  // The failures of one round are counted once.
  EXPECT_LE(*e.pausedUntil(job(1)), at(12));
}

// Guards against a job that never finishes although its mistake was corrected: all its trials were
// placed on the one remaining machine, which was faulty (pipeline-faulty-machine).
TEST(FailureAttribution, ASuspectJobThatFailsOnOneMachineAloneIsTriedElsewhereForAWhile) {
  FailureAttribution e;
  e.failed(job(1), machine(1), at(0), false);
  e.failed(job(1), machine(2), at(0.1), false);  // From here on the job is suspect.
  EXPECT_FALSE(e.excludedMachine(job(1), at(1)));
  e.failed(job(1), machine(1), at(10), false);
  e.failed(job(1), machine(1), at(10.1), false);  // This failure belongs to the same round.
  EXPECT_FALSE(e.excludedMachine(job(1), at(11)));
  e.failed(job(1), machine(1), at(30), false);
  EXPECT_EQ(e.excludedMachine(job(1), at(31)), machine(1));
  EXPECT_EQ(e.excludedMachine(job(1), *e.pausedUntil(job(1)) + Duration{119000}), machine(1));
  EXPECT_FALSE(e.excludedMachine(job(1), *e.pausedUntil(job(1)) + Duration{121000}));
  e.failed(job(1), machine(3), at(100), false);
  EXPECT_FALSE(e.excludedMachine(job(1), at(101)));
  e.succeeded(job(1), machine(3));
  EXPECT_FALSE(e.excludedMachine(job(1), at(102)));
}

TEST(FailureAttribution, AJobThatIsNotSuspectExcludesNoMachine) {
  FailureAttribution e;
  e.succeeded(job(1), machine(2));
  for (int i = 0; i < 5; ++i) e.failed(job(1), machine(1), at(100 * i), false);
  EXPECT_FALSE(e.isSuspect(job(1)));
  EXPECT_FALSE(e.excludedMachine(job(1), at(500)));
}

// Guards against giving up a healthy machine because two jobs with mistakes failed on it and no
// task succeeded there in between.
TEST(FailureAttribution, ManyMistakenJobsCondemnNoMachine) {
  FailureAttribution e;
  for (int j = 0; j < 40; ++j) {
    for (int m = 0; m < 3; ++m) e.failed(job(j), machine(m), at(j), false);
  }
  for (int m = 0; m < 3; ++m) EXPECT_FALSE(e.isFaulty(machine(m)));
}

TEST(FailureAttribution, AMachineOnWhichSoundJobsFailIsFaulty) {
  FailureAttribution e;
  for (int j = 1; j <= 2; ++j) e.succeeded(job(j), machine(1));
  e.failed(job(1), machine(7), at(5), false);
  EXPECT_FALSE(e.isFaulty(machine(7)));
  e.failed(job(2), machine(7), at(6), false);
  EXPECT_TRUE(e.isFaulty(machine(7)));
  EXPECT_FALSE(e.isSuspect(job(1)));
}

TEST(FailureAttribution, AJobThatSucceedsElsewhereTellsOnTheMachineWhereItFailed) {
  FailureAttribution e;
  e.failed(job(1), machine(7), at(5), false);
  e.failed(job(2), machine(7), at(5), false);
  EXPECT_FALSE(e.isFaulty(machine(7)));  // Both jobs may have mistakes.
  EXPECT_EQ(e.machinesToAvoid(job(1)).size(), 1U);
  e.succeeded(job(1), machine(8));
  EXPECT_TRUE(e.isFaulty(machine(7)));
}

TEST(FailureAttribution, AllJobsOnANewMachineFail) {
  FailureAttribution e;
  for (int j = 1; j <= 3; ++j) e.failed(job(j), machine(7), at(j), false);
  EXPECT_TRUE(e.isFaulty(machine(7)));
}

TEST(FailureAttribution, AFaultyMachineUnderAMistakenJob) {
  FailureAttribution e;
  for (int j = 2; j <= 3; ++j) e.succeeded(job(j), machine(1));
  for (int m = 6; m <= 8; ++m) e.failed(job(1), machine(m), at(1), false);
  e.failed(job(2), machine(7), at(2), false);
  e.failed(job(3), machine(7), at(3), false);
  EXPECT_TRUE(e.isSuspect(job(1)));
  EXPECT_TRUE(e.isFaulty(machine(7)));
  EXPECT_FALSE(e.isFaulty(machine(6)));
}

// A success lowers the fault score by less than a failure raises it, so a machine that fails
// intermittently is detected.
TEST(FailureAttribution, AMachineIsNeverAcquittedForGood) {
  FailureAttribution e;
  int until = 0;
  for (int j = 1; j <= 20 && !e.isFaulty(machine(7)); ++j) {
    e.succeeded(job(j), machine(1));
    e.succeeded(job(j), machine(7));
    e.failed(job(j), machine(7), at(j), false);
    until = j;
  }
  EXPECT_LE(until, 3);
}

// A healthy machine on which 1% of 500 tasks fail by chance is rarely given up. Each machine that
// is given up costs one rental.
TEST(FailureAttribution, ChanceCondemnsFew) {
  std::mt19937 random(3);
  int condemned = 0;
  for (int life = 0; life < 200; ++life) {
    FailureAttribution e;
    for (int j = 1; j <= 500 && !e.isFaulty(machine(7)); ++j) {
      e.succeeded(job(j), machine(1));
      if (random() % 100 == 0) {
        e.failed(job(j), machine(7), at(j), false);
      } else {
        e.succeeded(job(j), machine(7));
      }
    }
    condemned += e.isFaulty(machine(7)) ? 1 : 0;
  }
  EXPECT_LE(condemned, 24);
}

TEST(FailureAttribution, ASuspectJobIsTriedWithGrowingPausesAndReturnsToFullSpeed) {
  FailureAttribution e;
  double now = 0;
  for (int m = 0; m < 2; ++m) e.failed(job(1), machine(m), at(now), false);
  double last = 0;
  for (int round = 0; round < 8; ++round) {
    double until = toSeconds(*e.pausedUntil(job(1)) - Instant{});
    EXPECT_GE(until - now, std::min(60.0, 1.9 * last));
    last = until - now;
    now = until;
    e.failed(job(1), machine(round), at(now), false);
  }
  EXPECT_EQ(last, 60);
  EXPECT_EQ(e.maxConcurrentTasks(job(1)), 2U);
  e.succeeded(job(1), machine(9));  // The image may have been flaky.
  EXPECT_FALSE(e.maxConcurrentTasks(job(1)));
  EXPECT_FALSE(e.pausedUntil(job(1)));
  for (int m = 0; m < 9; ++m) EXPECT_FALSE(e.isFaulty(machine(m)));
}

TEST(FailureAttribution, ASoundJobWhoseImageTurnsBadIsSuspectAndTheChargesAreTakenBack) {
  FailureAttribution e;
  for (int j = 1; j <= 3; ++j) e.succeeded(job(j), machine(0));
  for (int j = 1; j <= 3; ++j) {
    for (int m = 1; m <= 3; ++m) e.failed(job(j), machine(m), at(j), false);
    EXPECT_TRUE(e.isSuspect(job(j)));
  }
  for (int m = 1; m <= 3; ++m) EXPECT_FALSE(e.isFaulty(machine(m)));
}

TEST(FailureAttribution, ANewLeaderKnowsTheSuspects) {
  FailureAttribution e, next;
  for (int m = 0; m < 2; ++m) e.failed(job(1), machine(m), at(1), false);
  for (const auto& [id, rounds] : e.suspectJobs(8)) next.restoreSuspect(id, rounds, at(5));
  EXPECT_EQ(next.maxConcurrentTasks(job(1)), 2U);
  EXPECT_GT(*next.pausedUntil(job(1)), at(5));
}

// In random fleets some jobs have mistakes and a few machines are faulty. No healthy machine may be
// given up, and every faulty machine that receives enough work must be.
TEST(FailureAttribution, DrawnFleets) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    FailureAttribution e;
    const int machines = 10 + static_cast<int>(random() % 30);
    const int faulty = static_cast<int>(random() % 3);
    const auto wrongInTen = random() % 4;
    std::vector<int> onFaulty(3);
    for (int j = 0; j < 300; ++j) {
      bool wrong = random() % 10 < wrongInTen;
      for (int t = 0; t < 8; ++t) {
        int m = static_cast<int>(random() % static_cast<unsigned>(machines));
        if (e.isFaulty(machine(m))) continue;
        if (wrong || m < faulty) {
          e.failed(job(j), machine(m), at(j + 0.1 * t), false);
        } else {
          e.succeeded(job(j), machine(m));
        }
        if (!wrong && m < faulty) ++onFaulty[static_cast<std::size_t>(m)];
      }
    }
    for (int m = 0; m < machines; ++m) {
      if (m >= faulty) {
        EXPECT_FALSE(e.isFaulty(machine(m))) << "seed " << seed;
      } else if (onFaulty[static_cast<std::size_t>(m)] >= 4) {
        EXPECT_TRUE(e.isFaulty(machine(m))) << "seed " << seed;
      }
    }
  }
}

}  // namespace
}  // namespace kestrelhoist
