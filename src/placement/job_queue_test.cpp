#include "placement/job_queue.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

QueuedJob job(const char* id, std::uint32_t tasks, std::int64_t acceptedS, double remainingS,
              Priority priority = Priority::low, JobKind kind = JobKind::array) {
  JobSpec s;
  s.id = JobId{id};
  s.kind = kind;
  s.priority = priority;
  s.tasks = tasks;
  QueuedJob j;
  j.spec = std::make_shared<const JobSpec>(std::move(s));
  j.acceptedAtMs = acceptedS * 1000;
  j.remainingS = remainingS;
  j.waiting = tasks;
  return j;
}

std::vector<QueueEntry> order(const std::vector<QueuedJob>& jobs, std::int64_t nowS,
                              double machines = 12, double share = 0.125) {
  return orderQueue(jobs, nowS * 1000, std::vector<double>(jobs.size(), machines),
                    std::vector<double>(jobs.size(), share));
}

TEST(Order, LeastRemainingWorkFirstWhileNobodyIsPassedForLong) {
  auto entries = order({job("j-1", 300, 0, 6000), job("j-2", 8, 50, 120)}, 55);
  ASSERT_EQ(entries.size(), 2U);
  EXPECT_EQ(entries[0].job, 1U);
  EXPECT_FALSE(entries[0].overdue);
}

// Guards against starvation of a large job by newer, smaller ones. An array of 300 tasks of 20 s
// had started none of them after 300 s beside a stream of arrays of 8 tasks of 15 s.
TEST(Order, AJobThatNewerWorkPassesGetsAPartOfItsMachinesFirst) {
  std::vector<QueuedJob> jobs{job("j-1", 300, 0, 6000), job("j-2", 8, 58, 120)};
  auto entries = order(jobs, 60);
  ASSERT_EQ(entries.size(), 3U);
  EXPECT_EQ(entries[0].job, 0U);
  EXPECT_EQ(entries[0].maxTasks, 24U);
  EXPECT_TRUE(entries[0].overdue);
  EXPECT_EQ(entries[1].job, 1U);
  // Tasks that are already placed count toward the share, so a new leader continues from the
  // record.
  jobs[0].placed = 20;
  EXPECT_EQ(order(jobs, 60)[0].maxTasks, 4U);
  jobs[0].placed = 24;
  EXPECT_EQ(order(jobs, 60)[0].job, 1U);
}

// Guards against a part that becomes small again because the number of tiny tasks that fit into it
// is beyond an integer: 17,180 machines hold 2^32 of them four times.
TEST(Order, TinyTasksGetTheirWholePartOnManyMachines) {
  std::vector<QueuedJob> jobs{job("j-1", 100000, 0, 600000), job("j-2", 8, 58, 120)};
  auto entries = order(jobs, 60, 17180, 1e-9);
  ASSERT_EQ(entries.size(), 3U);
  EXPECT_EQ(entries[0].job, 0U);
  EXPECT_EQ(entries[0].maxTasks, 100000U);
}

TEST(Order, JobsOfOneMomentDoNotPassEachOther) {
  auto entries = order({job("j-1", 300, 0, 6000), job("j-2", 8, 20, 120)}, 100);
  EXPECT_EQ(entries[0].job, 1U);
  EXPECT_EQ(entries.size(), 2U);
}

TEST(Order, RanksAreNeverPassed) {
  auto entries = order({job("j-1", 300, 0, 6000), job("j-2", 8, 200, 120, Priority::high)}, 300);
  EXPECT_EQ(entries[0].job, 1U);
}

TEST(Order, ManyThatWerePassedComeOneAfterTheOther) {
  std::vector<QueuedJob> jobs;
  for (int i = 0; i < 3; ++i) {
    jobs.push_back(job(("j-" + std::to_string(i)).c_str(), 20, i, 3000.0 + i));
  }
  jobs[0].placed = 5;
  jobs[0].waiting = 15;
  for (int i = 6; i < 10; ++i) {
    jobs.push_back(job(("j-" + std::to_string(i)).c_str(), 1, 100, 900));
  }
  auto entries = order(jobs, 115);
  EXPECT_EQ(entries[0].job, 0U);
  EXPECT_EQ(entries[0].maxTasks, 15U);
  EXPECT_EQ(entries[1].job, 1U);
  EXPECT_EQ(entries[1].maxTasks, 4U);
  EXPECT_EQ(entries[2].job, 3U);
  // If all jobs are of similar size, none starves, and the least remaining work is served first.
  for (auto& j : jobs) j.remainingS = std::max(j.remainingS, 1500.0);
  EXPECT_EQ(order(jobs, 115)[0].job, 3U);
}

TEST(Order, ProtectedServicesGoBeforeEverythingAndWhatYieldsGoesLastInItsRank) {
  auto service = job("j-3", 2, 90, 0, Priority::low, JobKind::service);
  service.protectedService = true;
  auto yields = job("j-2", 2, 80, 1);
  yields.priorityAdjustment = -1;
  yields.maxTasks = 1;
  auto entries = order(
      {job("j-1", 8, 80, 50), yields, service, job("j-4", 1, 80, 9, Priority::production)}, 90);
  ASSERT_EQ(entries.size(), 4U);
  EXPECT_EQ(entries[0].job, 2U);
  EXPECT_EQ(entries[1].job, 3U);
  EXPECT_EQ(entries[3].job, 1U);
  EXPECT_EQ(entries[3].maxTasks, 1U);
}

TEST(Order, EachBeginsOnceItHasWaitedLongTheOldestFirst) {
  std::vector<QueuedJob> jobs{job("j-1", 60, 0, 300), job("j-2", 60, 40, 1800),
                              job("j-3", 60, 30, 1800)};
  jobs[0].placed = 10;
  auto entries = order(jobs, 225);
  EXPECT_EQ(entries[0].job, 2U);
  EXPECT_EQ(entries[1].job, 1U);
  EXPECT_EQ(entries[1].maxTasks, 1U);
  jobs[1].hasFinishedTasks = jobs[2].hasFinishedTasks = true;
  EXPECT_EQ(order(jobs, 225)[0].job, 0U);
}

TEST(Order, WhatYieldsBeginsBeforeItsRanksOthersOnceItHasWaitedLong) {
  auto yields = job("j-2", 30, 0, 600);
  yields.priorityAdjustment = -1;
  yields.maxTasks = 1;
  std::vector<QueuedJob> jobs{job("j-1", 8, 110, 50), yields};
  EXPECT_EQ(order(jobs, 175)[0].job, 0U);
  auto entries = order(jobs, 180);
  EXPECT_EQ(entries[0].job, 1U);
  EXPECT_EQ(entries[0].maxTasks, 1U);
}

}  // namespace
}  // namespace kestrelhoist
