/// Expectations of scenarios on jobs and what their users see.
#include <iostream>

#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

// expect phase ID PHASE
void ScenarioExpect::expectPhase(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->phaseOf(words.at(2)), words.at(3));
}

// expect replicas ID N: running now
void ScenarioExpect::expectReplicas(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->runningReplicas(words.at(2)), std::stoi(words.at(3)));
}

// expect fewest ID N: replicas at any moment since `watch`
void ScenarioExpect::expectFewestReplicas(const Line& line) {
  const auto& words = line.words;
  EXPECT_GE(world_->minRunningReplicas(words.at(2)), std::stoi(words.at(3)));
}

// expect gap ID most S: the longest spell with replicas missing since `watch`
void ScenarioExpect::expectReplicaGap(const Line& line) {
  const auto& words = line.words;
  const auto lengths = world_->gapsOf(words.at(2)).sortedLengthsMs();
  const double longest = lengths.empty() ? 0 : static_cast<double>(lengths.back()) / 1000;
  EXPECT_LE(longest, std::stod(words.at(4)))
      << "seconds with replicas of " << words.at(2) << " missing";
}

// expect served least SHARE, of every class and team
void ScenarioExpect::expectServed(const Line& line) {
  const auto& words = line.words;
  world_->expectServed(std::stod(words.at(3)));
}

// expect underserved class|team NAME
void ScenarioExpect::expectUnderserved(const Line& line) {
  const auto& words = line.words;
  std::string whom = words.at(2) + " " + words.at(3);
  mayStarve_.insert(whom);
  EXPECT_TRUE(world_->underserved(kLeastServed, kJudgedMs).contains(whom)) << whom << " is served";
}

// expect answered: 75 s after the last trouble, at the earliest
void ScenarioExpect::expectAnswered(const Line&) { world_->expectAnswered(kForgotten); }

// expect unanswered ID: what the check above is for
void ScenarioExpect::expectUnanswered(const Line& line) {
  const auto& words = line.words;
  EXPECT_TRUE(world_->unanswered(kForgotten).contains(words.at(2))) << "was answered";
}

// expect goneby most S: tasks of cancelled jobs, after the answer
void ScenarioExpect::expectCancelledTasksGone(const Line& line) {
  const auto& words = line.words;
  std::cout << "gone by " << world_->longestCancelledRunS() << " s of " << settings_.cancelS
            << " s\n";
  EXPECT_LE(world_->longestCancelledRunS(), std::stod(words.at(3)));
}

// expect nowaiting: 90 s after the last trouble, at the earliest
void ScenarioExpect::expectNoneWaiting(const Line&) { world_->expectNoWaiting(); }

// expect waiting ID: what the check above is for
void ScenarioExpect::expectWaiting(const Line& line) {
  const auto& words = line.words;
  EXPECT_TRUE(world_->jobsWaitingTooLong().contains(words.at(2))) << "does not wait beside room";
}

// expect unbegun ID S: it had no task started so long after
void ScenarioExpect::expectNotStarted(const Line& line) {
  const auto& words = line.words;
  EXPECT_GT(world_->secondsUntilStart(words.at(2)), std::stod(words.at(3)));
}

// expect began ID most S
void ScenarioExpect::expectStarted(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->secondsUntilStart(words.at(2)), std::stod(words.at(4)));
}

// expect startsof ID most|least N
void ScenarioExpect::expectStartsOfJob(const Line& line) {
  const auto& words = line.words;
  if (words.at(3) == "most") {
    EXPECT_LE(world_->startsOf[words.at(2)], std::stoul(words.at(4)));
  } else {
    EXPECT_GE(world_->startsOf[words.at(2)], std::stoul(words.at(4)));
  }
}

// expect waits ID WORD: the first reason begins so
void ScenarioExpect::expectPendingReason(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->firstPendingReason(words.at(2)).substr(0, words.at(3).size()), words.at(3));
}

// expect starts most N
void ScenarioExpect::expectStarts(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->starts, std::stoul(words.at(3)));
}

}  // namespace kestrelhoist::sim
