/// Implements the expectations on controllers, machines and the state service.
#include <iostream>

#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

// expect leaderships most N: checks that at most N leaderships began since `watch`.
void ScenarioExpect::expectLeaderships(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->leaderships - leadershipsBefore_, std::stoi(words.at(3)));
}

// expect reportedtasks most N: checks that no report of a worker contained more than N tasks.
void ScenarioExpect::expectReportedTasks(const Line& line) {
  EXPECT_LE(world_->region.mostReportedTasks, std::stoul(line.words.at(3)));
}

// expect leader [unmarked]: checks that a controller leads and, with `unmarked`, that it is not the
// one that `mark` named.
void ScenarioExpect::expectLeader(const Line& line) {
  const auto& words = line.words;
  EXPECT_GE(world_->leaderNode(), 0);
  EXPECT_TRUE(words.size() < 3 || world_->leaderNode() != marked_);  // expect leader unmarked
}

// expect versions all|none N: checks that all controllers, or none, know that every controller
// announces record format N.
void ScenarioExpect::expectVersionsKnown(const Line& line) {
  const auto& words = line.words;
  auto format = static_cast<unsigned>(std::stoul(words.at(3)));
  EXPECT_TRUE(words.at(2) == "all" ? world_->allKnowFormat(format)
                                   : world_->noneKnowsFormat(format));
}

// expect resumed most SECONDS: checks the time from the beginning of the newest leadership to the
// first start of a flow's task under this leader.
void ScenarioExpect::expectResumed(const Line& line) {
  const auto& words = line.words;
  std::cout << "resumed after " << world_->flowResumeSeconds() << " s\n";
  EXPECT_LE(world_->flowResumeSeconds(), std::stod(words.at(3)));
}

// expect gone MACHINE: checks that the machine was released.
void ScenarioExpect::expectMachineReleased(const Line& line) {
  const auto& words = line.words;
  EXPECT_FALSE(world_->region.isRented(words.at(2)));
}

// expect marked kept: checks that no machine that `markzone` marked was released.
// expect marked gone S: checks that all marked machines were released once their leases expired.
// Their heartbeats were acknowledged until they were marked. If the leader crashed S seconds after
// the marking, the next leader first completes its report round.
void ScenarioExpect::expectMarkedMachines(const Line& line) {
  constexpr double kLeaderLeaseS = 3;
  constexpr double kElectCommitAndReleaseS = 5;
  ASSERT_FALSE(markedMachines_.empty());
  const bool gone = line.words.at(2) == "gone";
  const double reportDueS = settings_.reportS * 5 / 4 + 1;
  double bound = 0;
  if (gone) {
    const double leaderEndedS = std::stod(line.words.at(3));
    bound = std::max(settings_.leaseS, leaderEndedS + kLeaderLeaseS + reportDueS) +
            kElectCommitAndReleaseS;
  }
  for (const auto& machine : markedMachines_) {
    auto releasedAt = world_->region.releasedAt(machine);
    EXPECT_EQ(releasedAt.has_value(), gone) << machine;
    if (!gone || !releasedAt) continue;
    EXPECT_LE(static_cast<double>(*releasedAt - machinesMarkedAt_) / 1000, bound) << machine;
  }
}

// expect machines spot|ordinary most|least N: checks the number of rented machines of this market.
void ScenarioExpect::expectMachineCount(const Line& line) {
  const auto& words = line.words;
  auto n = world_->region.machineCount(words.at(2) == "spot");
  auto bound = std::stoul(words.at(4));
  if (words.at(3) == "most") {
    EXPECT_LE(n, bound);
  } else {
    EXPECT_GE(n, bound);
  }
}

// expect hires most N: checks that at most N rental calls were made so far.
void ScenarioExpect::expectRentalCalls(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->region.rentalRequests, std::stoul(words.at(3)));
}

// expect hired most N: checks that at most N machines were rented so far.
void ScenarioExpect::expectRentedMachines(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->region.rentedMachineCount, std::stoul(words.at(3)));
}

// expect toolarge most N: checks that the state service rejected at most N transactions with 400
// because of their size.
void ScenarioExpect::expectTooLargeTransactions(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->state.rejectedForSize, std::stoul(words.at(3)));
  std::cout << "429: " << world_->state.rejectedForRate
            << ", 400: " << world_->state.rejectedForSize << "\n";
}

// expect changesof KIND most|least N: checks how many changes to keys of this kind were committed.
void ScenarioExpect::expectChangesOfKind(const Line& line) {
  const auto& words = line.words;
  const auto changes = world_->changesByKind[words.at(2)];
  if (words.at(3) == "least") {
    EXPECT_GE(changes, std::stoul(words.at(4)));
  } else {
    EXPECT_LE(changes, std::stoul(words.at(4)));
  }
}

// expect writes most N: checks that the state service committed at most N changes so far.
void ScenarioExpect::expectWrites(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->state.changeCount, std::stoul(words.at(3)));
}

// expect reads most N: checks that the state service answered at most N reads so far.
void ScenarioExpect::expectReads(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->state.readCount, std::stoul(words.at(3)));
}

// expect keys PREFIX most N: checks that the state service holds at most N keys with this prefix.
void ScenarioExpect::expectKeyCount(const Line& line) {
  const auto& words = line.words;
  auto keys = world_->state.keysBelow(words.at(2));
  EXPECT_LE(keys.size(), std::stoul(words.at(4))) << (keys.empty() ? "" : keys.front());
}

}  // namespace kestrelhoist::sim
