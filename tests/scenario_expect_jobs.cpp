/// Implements the expectations on jobs and on the answers that their users get.
#include <iostream>

#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

// expect phase ID PHASE: checks the phase of the job.
void ScenarioExpect::expectPhase(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->phaseOf(words.at(2)), words.at(3));
}

// expect replicas ID N: checks that N replicas of the service run now.
void ScenarioExpect::expectReplicas(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->runningReplicas(words.at(2)), std::stoi(words.at(3)));
}

// expect fewest ID N: checks that at least N replicas ran at every moment since `watch`.
void ScenarioExpect::expectFewestReplicas(const Line& line) {
  const auto& words = line.words;
  EXPECT_GE(world_->minRunningReplicas(words.at(2)), std::stoi(words.at(3)));
}

// expect gap ID most S: checks the longest period with missing replicas since `watch`.
void ScenarioExpect::expectReplicaGap(const Line& line) {
  const auto& words = line.words;
  const auto lengths = world_->gapsOf(words.at(2)).sortedLengthsMs();
  const double longest = lengths.empty() ? 0 : static_cast<double>(lengths.back()) / 1000;
  EXPECT_LE(longest, std::stod(words.at(4)))
      << "seconds with replicas of " << words.at(2) << " missing";
}

// expect served least SHARE: checks that every class and every team got this part of its share.
void ScenarioExpect::expectServed(const Line& line) {
  const auto& words = line.words;
  world_->expectServed(std::stod(words.at(3)));
}

// expect underserved class|team NAME: checks that this class or team got less than its share.
void ScenarioExpect::expectUnderserved(const Line& line) {
  const auto& words = line.words;
  std::string whom = words.at(2) + " " + words.at(3);
  mayBeUnderserved_.insert(whom);
  EXPECT_TRUE(world_->underserved(kMinServedShare, kMinJudgedMs).contains(whom))
      << whom << " is served";
}

// expect answered: checks that no job is left without an answer. The line must come at least 75 s
// after the last fault.
void ScenarioExpect::expectAnswered(const Line&) { world_->expectAnswered(kAnswerBoundMs); }

// expect unanswered ID: checks that `expect answered` would report this job.
void ScenarioExpect::expectUnanswered(const Line& line) {
  const auto& words = line.words;
  EXPECT_TRUE(world_->unanswered(kAnswerBoundMs).contains(words.at(2))) << "was answered";
}

// expect goneby most S: checks that the tasks of cancelled jobs stopped within S seconds of the
// answer to the cancellation.
void ScenarioExpect::expectCancelledTasksGone(const Line& line) {
  const auto& words = line.words;
  std::cout << "gone by " << world_->longestCancelledRunS() << " s of " << settings_.cancelS
            << " s\n";
  EXPECT_LE(world_->longestCancelledRunS(), std::stod(words.at(3)));
}

// expect nowaiting: checks that no job waits while a machine has capacity for it. The line must
// come at least 90 s after the last fault.
void ScenarioExpect::expectNoneWaiting(const Line&) { world_->expectNoWaiting(); }

// expect waiting ID: checks that `expect nowaiting` would report this job.
void ScenarioExpect::expectWaiting(const Line& line) {
  const auto& words = line.words;
  EXPECT_TRUE(world_->jobsWaitingTooLong().contains(words.at(2))) << "does not wait beside room";
}

// expect unbegun ID S: checks that the job had no task started within S seconds.
void ScenarioExpect::expectNotStarted(const Line& line) {
  const auto& words = line.words;
  EXPECT_GT(world_->secondsUntilStart(words.at(2)), std::stod(words.at(3)));
}

// expect began ID most S: checks that a task of the job started within S seconds.
void ScenarioExpect::expectStarted(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->secondsUntilStart(words.at(2)), std::stod(words.at(4)));
}

// expect startsof ID most|least N: checks the number of task starts of the job.
void ScenarioExpect::expectStartsOfJob(const Line& line) {
  const auto& words = line.words;
  if (words.at(3) == "most") {
    EXPECT_LE(world_->startsOf[words.at(2)], std::stoul(words.at(4)));
  } else {
    EXPECT_GE(world_->startsOf[words.at(2)], std::stoul(words.at(4)));
  }
}

// expect waits ID WORD: checks that the job's first pending reason begins with this word.
void ScenarioExpect::expectPendingReason(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->firstPendingReason(words.at(2)).substr(0, words.at(3).size()), words.at(3));
}

// expect starts most N: checks that at most N tasks were started so far.
void ScenarioExpect::expectStarts(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->starts, std::stoul(words.at(3)));
}

}  // namespace kestrelhoist::sim
