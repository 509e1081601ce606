#include "dependencies/job_graph.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace kestrelhoist {
namespace {

// Holds job records and their dependency graph in place of the replica.
struct Jobs : JobRecords {
  std::map<JobId, DependencyInput> records;
  std::map<JobId, DependencyState> states;
  std::size_t reported = 0;
  JobGraph graph;

  std::optional<DependencyInput> dependencyInputOf(const JobId& id) const override {
    auto record = records.find(id);
    if (record == records.end()) return std::nullopt;
    DependencyInput input = record->second;
    auto state = states.find(id);
    if (state != states.end() && state->second.cancelled) input.phase = JobPhase::cancelled;
    return input;
  }
  void dependenciesChanged(const JobId& id, const DependencyState& state) override {
    states[id] = state;
    ++reported;
  }

  static JobId id(int n) { return JobId{"j-" + std::to_string(n)}; }
  void accept(int n, std::vector<int> dependsOn, Priority priority = Priority::low,
              std::optional<std::int64_t> deadlineMs = std::nullopt) {
    DependencyInput input;
    for (int a : dependsOn) input.dependsOn.push_back(id(a));
    input.priority = priority;
    input.estimate = Duration{10000};
    input.deadlineMs = deadlineMs;
    records[id(n)] = input;
    graph.update(id(n), input, *this);
  }
  void end(int n, JobPhase phase, std::int64_t atMs = 0) {
    DependencyInput& input = records[id(n)];
    input.phase = phase;
    input.endedAtMs = atMs;
    graph.update(id(n), input, *this);
  }
  const DependencyState& of(int n) { return states[id(n)]; }
};

TEST(JobGraph, HoldsAJobUntilAllThatItAwaitsAreDone) {
  Jobs jobs;
  jobs.accept(1, {});
  jobs.accept(2, {});
  jobs.accept(3, {1, 2});
  EXPECT_TRUE(jobs.of(3).blocked);
  EXPECT_EQ(jobs.graph.blockedCount(), 1U);
  jobs.end(1, JobPhase::done, 5000);
  EXPECT_TRUE(jobs.of(3).blocked);
  EXPECT_EQ(jobs.graph.unfinishedDependencies(Jobs::id(3)), std::vector<JobId>{Jobs::id(2)});
  jobs.end(2, JobPhase::done, 4000);
  EXPECT_FALSE(jobs.of(3).blocked);
  EXPECT_EQ(jobs.of(3).readyAtMs, 5000);
  EXPECT_EQ(jobs.graph.size(), 0U);
}

TEST(JobGraph, AJobAcceptedAfterAllItAwaitsIsReadySinceTheLastEnd) {
  Jobs jobs;
  jobs.accept(1, {});
  jobs.end(1, JobPhase::done, 7000);
  jobs.accept(2, {1});
  EXPECT_FALSE(jobs.of(2).blocked);
  EXPECT_EQ(jobs.of(2).readyAtMs, 7000);
  EXPECT_EQ(jobs.graph.size(), 0U);
}

TEST(JobGraph, CancelsAllThatNeedACancelledJobOnceInADiamond) {
  Jobs jobs;
  jobs.accept(1, {});
  jobs.accept(2, {1});
  jobs.accept(3, {1});
  jobs.accept(4, {2, 3});
  jobs.accept(5, {4});
  jobs.accept(6, {});
  jobs.accept(7, {6, 3});
  jobs.reported = 0;
  jobs.end(1, JobPhase::cancelled);
  for (int n : {2, 3, 4, 5, 7}) EXPECT_TRUE(jobs.of(n).cancelled) << n;
  EXPECT_FALSE(jobs.of(6).cancelled);
  EXPECT_FALSE(jobs.of(6).hasDependents);
  EXPECT_EQ(jobs.graph.size(), 0U);
  // The six cancelled jobs are reported, and job 6, which has lost its only dependent.
  EXPECT_EQ(jobs.reported, 7U);
}

TEST(JobGraph, AJobThatNamesACancelledOneIsCancelledAtOnce) {
  Jobs jobs;
  jobs.accept(1, {});
  jobs.accept(2, {1});
  jobs.end(1, JobPhase::cancelled);
  jobs.accept(3, {2});  // Job 2 is cancelled because job 1 is.
  EXPECT_TRUE(jobs.of(3).cancelled);
  EXPECT_EQ(jobs.graph.size(), 0U);
}

TEST(JobGraph, InheritsPriorityAndTheDeadlineThroughTheLongestPath) {
  Jobs jobs;
  jobs.accept(1, {});
  jobs.accept(2, {1});
  jobs.accept(3, {1});
  jobs.accept(4, {2, 3}, Priority::high, 100000);
  EXPECT_EQ(jobs.of(1).priority, Priority::high);
  EXPECT_EQ(jobs.of(2).latestEndMs, 90000);
  EXPECT_EQ(jobs.of(1).latestEndMs, 80000);
  jobs.accept(5, {3}, Priority::normal, 40000);
  EXPECT_EQ(jobs.of(1).latestEndMs, 20000);
  EXPECT_EQ(jobs.of(3).priority, Priority::high);
  jobs.end(4, JobPhase::cancelled);  // Job 2 now has no dependents, and job 3 still has job 5.
  EXPECT_EQ(jobs.of(2).priority, Priority::low);
  EXPECT_EQ(jobs.of(3).priority, Priority::normal);
  EXPECT_EQ(jobs.of(1).priority, Priority::normal);
}

TEST(JobGraph, RecordsMayBeReadInAnyOrder) {
  Jobs jobs;
  jobs.records[Jobs::id(1)] = {};
  jobs.accept(2, {1, 9}, Priority::high);
  jobs.accept(9, {8});
  jobs.accept(8, {});
  EXPECT_TRUE(jobs.of(2).blocked);
  EXPECT_EQ(jobs.of(8).priority, Priority::high);
  jobs.end(8, JobPhase::done, 1000);
  jobs.end(9, JobPhase::done, 2000);
  EXPECT_TRUE(jobs.of(2).blocked);
  jobs.end(1, JobPhase::done, 1500);
  EXPECT_FALSE(jobs.of(2).blocked);
  EXPECT_EQ(jobs.of(2).readyAtMs, 2000);
}

TEST(JobGraph, HistoryCostsNothing) {
  Jobs jobs;
  for (int n = 0; n < 2000; ++n) {
    jobs.accept(n, n % 4 == 0 ? std::vector<int>{} : std::vector<int>{n - 1});
    if (n % 4 == 3) {
      for (int stage = n - 3; stage <= n; ++stage) jobs.end(stage, JobPhase::done, stage);
    }
  }
  EXPECT_EQ(jobs.graph.size(), 0U);
  EXPECT_EQ(jobs.graph.blockedCount(), 0U);
}

// Compares the incremental graph with a full computation over all records.
RC_GTEST_PROP(JobGraphProperty, TellsWhatFollowsFromAllRecords, ()) {
  Jobs jobs;
  int count = 0;
  std::map<int, std::vector<int>> dependsOn;
  std::map<int, JobPhase> own;
  auto steps = *rc::gen::inRange(5, 40);
  for (int step = 0; step < steps; ++step) {
    bool accept = count == 0 || *rc::gen::inRange(0, 2) == 0;
    if (accept) {
      std::set<int> chosen;
      for (int k = *rc::gen::inRange(0, 4); k > 0 && count > 0; --k) {
        chosen.insert(*rc::gen::inRange(0, count));
      }
      dependsOn[count].assign(chosen.begin(), chosen.end());
      own[count] = JobPhase::active;
      jobs.accept(count, dependsOn[count], static_cast<Priority>(*rc::gen::inRange(0, 4)));
      ++count;
    } else {
      int n = *rc::gen::inRange(0, count);
      bool ready = own[n] == JobPhase::active && !jobs.of(n).cancelled && !jobs.of(n).blocked;
      bool cancel = *rc::gen::inRange(0, 3) == 0;
      if (own[n] == JobPhase::active && (cancel || ready)) {
        own[n] = cancel ? JobPhase::cancelled : JobPhase::done;
        jobs.end(n, own[n], step);
      }
    }
    std::map<int, bool> cancelled;
    std::map<int, Priority> priority;
    for (int n = 0; n < count; ++n) {
      cancelled[n] = own[n] == JobPhase::cancelled;
      bool blocked = false;
      for (int a : dependsOn[n]) {
        cancelled[n] = cancelled[n] || cancelled[a];
        blocked = blocked || own[a] != JobPhase::done;
      }
      if (own[n] != JobPhase::active) continue;
      RC_ASSERT(jobs.of(n).cancelled == cancelled[n]);
      if (!cancelled[n]) RC_ASSERT(jobs.of(n).blocked == blocked);
    }
    for (int n = count - 1; n >= 0; --n) {
      priority[n] = std::max(priority[n], jobs.records[Jobs::id(n)].priority);
      if (own[n] != JobPhase::active || cancelled[n]) continue;
      for (int a : dependsOn[n]) priority[a] = std::max(priority[a], priority[n]);
      if (jobs.of(n).hasDependents) RC_ASSERT(jobs.of(n).priority == priority[n]);
    }
  }
}

}  // namespace
}  // namespace kestrelhoist
