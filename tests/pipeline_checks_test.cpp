// These tests check that PipelineChecks detects violations of the rules for job dependencies. Each
// rule is broken in one test, and a similar test that keeps the rule must report nothing.
#include <gtest/gtest.h>

#include "base/log.hpp"
#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {

constexpr std::int64_t kCancelMs = 41000;

class PipelineChecksTest : public testing::Test {
 protected:
  // Submits three jobs, where b depends on a, and c depends on b.
  void chain() {
    submit("a");
    submit("b", {"a"});
    submit("c", {"b"});
  }
  void submit(const std::string& id, std::vector<std::string> awaits = {}, int tasks = 1) {
    checks.sent(id, {tasks, std::move(awaits)});
    checks.accepted(id);
  }
  std::size_t count(const std::string& rule) const {
    return static_cast<std::size_t>(std::count(broken.begin(), broken.end(), rule));
  }

  std::vector<std::string> broken;
  PipelineChecks checks{
      kCancelMs, [this](const std::string& rule, const std::string&) { broken.push_back(rule); }};
};

TEST_F(PipelineChecksTest, AStartBeforeTheLastTaskOfAnAwaitedJobIsTooEarly) {
  submit("a", {}, 2);
  submit("b", {"a"});
  checks.completed("a", 1000);
  EXPECT_EQ(checks.dependenciesDoneAt("b"), -1);
  checks.started("b", 0);
  EXPECT_EQ(count("too_early"), 1u);
}

TEST_F(PipelineChecksTest, AStartAfterAllAwaitedJobsIsNot) {
  submit("a", {}, 2);
  submit("b");
  submit("c", {"a", "b"});
  checks.completed("a", 1000);
  checks.completed("b", 7000);
  checks.completed("a", 3000);
  EXPECT_EQ(checks.dependenciesDoneAt("c"), 7000);
  checks.started("c", 0);
  checks.phaseReported("c", "running", 7100);
  EXPECT_TRUE(broken.empty());
}

TEST_F(PipelineChecksTest, OneThatIsNeededThroughOthersCounts) {
  chain();
  checks.completed("b", 1000);
  checks.started("c", 0);
  EXPECT_EQ(count("too_early"), 1u);
}

TEST_F(PipelineChecksTest, AHeldJobThatIsCalledRunningIsTooEarly) {
  chain();
  checks.phaseReported("b", "pending", 1000);
  EXPECT_TRUE(broken.empty());
  checks.phaseReported("b", "running", 1000);
  EXPECT_EQ(count("too_early"), 1u);
}

TEST_F(PipelineChecksTest, AJobThatBeganAfterOneThatIsThenCalledCancelledIsTooEarly) {
  chain();
  checks.completed("a", 1000);
  checks.started("b", 0);
  checks.cancelRequested("a");
  checks.phaseReported("a", "withdrawn", 2000);
  EXPECT_EQ(count("too_early"), 1u);
}

TEST_F(PipelineChecksTest, AJobThatStartsAfterACancelledOneIsTooEarly) {
  chain();
  checks.completed("a", 1000);
  checks.cancelRequested("a");
  checks.phaseReported("a", "withdrawn", 2000);
  checks.started("b", 0);
  EXPECT_EQ(count("too_early"), 1u);
}

TEST_F(PipelineChecksTest, APendingJobIsOrphanedOnceTheTimeIsOver) {
  chain();
  checks.cancelRequested("a");
  checks.phaseReported("a", "withdrawn", 1000);
  checks.phaseReported("c", "pending", 1000 + kCancelMs);
  EXPECT_TRUE(broken.empty());
  checks.phaseReported("c", "pending", 1001 + kCancelMs);
  EXPECT_EQ(count("orphaned"), 1u);
}

TEST_F(PipelineChecksTest, AJobAcceptedLongAfterTheCancellationIsNotPending) {
  submit("a");
  checks.cancelRequested("a");
  checks.phaseReported("a", "withdrawn", 1000);
  submit("b", {"a"});
  checks.phaseReported("b", "withdrawn", 90000);
  EXPECT_TRUE(broken.empty());
  submit("c", {"a"});
  checks.phaseReported("c", "pending", 90000);
  EXPECT_EQ(count("orphaned"), 1u);
}

TEST_F(PipelineChecksTest, CancelledThroughOneBeforeItIsNoStepBack) {
  chain();
  checks.cancelRequested("a");
  checks.phaseReported("c", "withdrawn", 500);
  EXPECT_TRUE(broken.empty());
  EXPECT_EQ(checks.cancelledSince("c"), 500);
  EXPECT_EQ(checks.cancelledSince("b"), -1);
}

TEST_F(PipelineChecksTest, CancelledThoughNobodyAskedIsAStepBack) {
  chain();
  checks.cancelRequested("c");  // Job c depends on b, so this cancellation doesn't affect b.
  checks.phaseReported("b", "withdrawn", 500);
  EXPECT_EQ(count("went_back"), 1u);
}

TEST_F(PipelineChecksTest, CancelledAlthoughTheCancellationWasAnsweredWithDoneIsAStepBack) {
  chain();
  checks.cancelRequested("a");
  checks.completed("a", 400);
  checks.phaseReported("a", "done", 500);
  EXPECT_FALSE(checks.hasCancelledDependency("b"));
  checks.phaseReported("b", "withdrawn", 600);
  EXPECT_EQ(count("went_back"), 1u);
}

TEST_F(PipelineChecksTest, CancelledBeforeTheCancellationIsAnsweredWithDoneIsAStepBack) {
  chain();
  checks.cancelRequested("a");
  checks.phaseReported("b", "withdrawn", 400);
  EXPECT_TRUE(broken.empty());
  checks.completed("a", 400);
  checks.phaseReported("a", "done", 500);
  EXPECT_EQ(count("went_back"), 1u);
}

TEST_F(PipelineChecksTest, TheTimeOfACancellationIsThatOfTheFirstWhichWasTold) {
  chain();
  checks.cancelRequested("a");
  checks.phaseReported("a", "withdrawn", 1000);
  checks.phaseReported("b", "withdrawn", 5000);
  EXPECT_EQ(checks.cancelledSince("b"), 1000);
  EXPECT_EQ(checks.cancelledSince("c"), 1000);
}

TEST_F(PipelineChecksTest, ARefusalOfWhatHadToBeAcceptedIsFound) {
  submit("a");
  checks.sent("b", {1, {"a"}});
  EXPECT_TRUE(checks.isAcceptable("b"));
  checks.refused("b", 422, checks.isAcceptable("b"));
  EXPECT_EQ(count("misjudged"), 1u);
}

TEST_F(PipelineChecksTest, OneThatMayStillBeAcceptedMayBeAnsweredEitherWay) {
  checks.sent("a", {});
  checks.sent("b", {1, {"a"}});
  bool hadTo = checks.isAcceptable("b");
  EXPECT_FALSE(hadTo);
  checks.accepted("a");  // Job a is accepted before the answer to b arrives.
  checks.refused("b", 422, hadTo);
  checks.accepted("b");
  EXPECT_TRUE(broken.empty());
}

TEST_F(PipelineChecksTest, OneNeverSubmittedIsRefusedWith422AndNotAccepted) {
  checks.sent("b", {1, {"a"}});
  checks.refused("b", 422, checks.isAcceptable("b"));
  EXPECT_TRUE(broken.empty());
  checks.refused("b", 400, false);
  EXPECT_EQ(count("misjudged"), 1u);
  checks.accepted("b");
  EXPECT_EQ(count("misjudged"), 2u);
}

TEST_F(PipelineChecksTest, AServiceIsRefusedWith422AndNotAccepted) {
  checks.sent("a", {3, {}, true});
  checks.accepted("a");
  checks.sent("b", {1, {"a"}});
  checks.refused("b", 422, checks.isAcceptable("b"));
  EXPECT_TRUE(broken.empty());
  checks.accepted("b");
  EXPECT_EQ(count("misjudged"), 1u);
}

TEST_F(PipelineChecksTest, AMalformedListIsRefusedWith400AndNotAccepted) {
  checks.sent("b", {1, {}, false, true});
  checks.refused("b", 400, checks.isAcceptable("b"));
  EXPECT_TRUE(broken.empty());
  checks.refused("b", 422, false);
  checks.accepted("b");
  EXPECT_EQ(count("misjudged"), 2u);
}

TEST_F(PipelineChecksTest, UnsettledAreThoseWhoseEndIsNotTold) {
  submit("alone");
  chain();
  checks.phaseReported("a", "done", 100);
  EXPECT_EQ(checks.unfinishedJobs(), (std::vector<std::string>{"b", "c"}));
}

// The simulation removes the field `awaits` from submissions, so complete controllers ignore the
// dependencies of jobs. The checks of the world must detect this.
class UnheededAwaits : public testing::Test {
 protected:
  UnheededAwaits() {
    spdlog::set_level(spdlog::level::off);
    WorldSettings settings;
    settings.omitsAwaits = true;
    world = std::make_unique<World>(settings);
    submit("j-000001", {});
    submit("j-000002", {"j-000001"});
  }
  void submit(const std::string& id, std::vector<std::string> awaits) {
    JobPlan job;
    job.id = id;
    job.runS = 300;
    job.awaits = std::move(awaits);
    world->submit(job);
  }
  bool found(const std::string& rule) const {
    return std::any_of(world->broken.begin(), world->broken.end(),
                       [&](const auto& b) { return b.starts_with(rule); });
  }
  std::unique_ptr<World> world;
};

TEST_F(UnheededAwaits, AreTooEarly) {
  world->runFor(90);
  EXPECT_TRUE(found("too_early"));
  EXPECT_FALSE(found("orphaned"));
}

TEST_F(UnheededAwaits, AreOrphanedAndRunOnOnceOneBeforeThemIsCancelled) {
  world->runFor(90);
  world->abort("j-000001");
  world->runFor(30);
  EXPECT_FALSE(found("orphaned"));
  EXPECT_FALSE(found("ran_cancelled"));
  world->runFor(30);
  EXPECT_TRUE(found("orphaned"));
  EXPECT_TRUE(found("ran_cancelled"));
}

TEST_F(UnheededAwaits, AreMisjudgedWhereNobodySubmittedWhatIsAwaited) {
  submit("j-000003", {"j-000009"});
  world->runFor(10);
  EXPECT_TRUE(found("misjudged"));
}

// No task can be placed. Of three short jobs, only the one without dependencies counts as
// underserved; a job that waits for another job or whose dependency was cancelled doesn't.
TEST(PipelineServed, HeldJobsAndThoseAfterACancelledOneAreOwedNothing) {
  spdlog::set_level(spdlog::level::off);
  WorldSettings settings;
  settings.onDemandPerZone = settings.spotPerZone = 0;
  World world(settings);
  auto submit = [&world](const std::string& id, double runS, std::vector<std::string> awaits) {
    JobPlan job;
    job.id = job.jobClass = id;
    job.team = "team";
    job.runS = runS;
    job.awaits = std::move(awaits);
    world.submit(job);
  };
  submit("j-000001", 1000, {});
  submit("j-000002", 1, {"j-000001"});
  submit("j-000003", 1, {});
  submit("j-000004", 1000, {});
  submit("j-000005", 1, {"j-000004"});
  world.runFor(20);
  world.abort("j-000004");
  world.runFor(330);
  auto under = world.underserved(0.5, 0);
  EXPECT_TRUE(under.contains("class j-000003"));
  EXPECT_TRUE(under.contains("largest j-000003"));
  for (const char* held : {"j-000002", "j-000005"}) {
    EXPECT_FALSE(under.contains(std::string("class ") + held));
    EXPECT_FALSE(under.contains(std::string("largest ") + held));
  }
}

}  // namespace
}  // namespace kestrelhoist::sim
