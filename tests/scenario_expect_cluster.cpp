/// Expectations of scenarios on controllers, machines and the state service.
#include <iostream>

#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

// expect leaderships most N: begun since `watch`
void ScenarioExpect::expectLeaderships(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->leaderships - leadershipsBefore_, std::stoi(words.at(3)));
}

// expect leader [unmarked]: somebody leads, and not whom `mark` named
void ScenarioExpect::expectLeader(const Line& line) {
  const auto& words = line.words;
  EXPECT_GE(world_->leaderNode(), 0);
  EXPECT_TRUE(words.size() < 3 || world_->leaderNode() != marked_);  // expect leader unmarked
}

// expect versions all|none N: know that all tell format N
void ScenarioExpect::expectVersionsKnown(const Line& line) {
  const auto& words = line.words;
  auto format = static_cast<unsigned>(std::stoul(words.at(3)));
  EXPECT_TRUE(words.at(2) == "all" ? world_->allKnowFormat(format)
                                   : world_->noneKnowsFormat(format));
}

// expect resumed most SECONDS: after the newest leader began
void ScenarioExpect::expectResumed(const Line& line) {
  const auto& words = line.words;
  std::cout << "resumed after " << world_->flowResumeSeconds() << " s\n";
  EXPECT_LE(world_->flowResumeSeconds(), std::stod(words.at(3)));
}

// expect gone MACHINE: it was given back
void ScenarioExpect::expectMachineReleased(const Line& line) {
  const auto& words = line.words;
  EXPECT_FALSE(world_->region.isRented(words.at(2)));
}

// expect marked kept: no machine that `markzone` named was given back.
// expect marked gone S: all were, when their leases were over (they were acknowledged until they
// were marked); a leader that began after an end S later has its report round first.
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

// expect machines spot|ordinary most|least N
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

// expect hires most N: rental calls so far
void ScenarioExpect::expectRentalCalls(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->region.rentalRequests, std::stoul(words.at(3)));
}

// expect hired most N: machines rented so far
void ScenarioExpect::expectRentedMachines(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->region.rentedMachineCount, std::stoul(words.at(3)));
}

// expect toolarge most N: transactions that got 400 for size
void ScenarioExpect::expectTooLargeTransactions(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->state.rejectedForSize, std::stoul(words.at(3)));
  std::cout << "429: " << world_->state.rejectedForRate
            << ", 400: " << world_->state.rejectedForSize << "\n";
}

// expect changesof KIND most N: committed, of such keys
void ScenarioExpect::expectChangesOfKind(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->changesByKind[words.at(2)], std::stoul(words.at(4)));
}

// expect writes most N: changes to the state service so far
void ScenarioExpect::expectWrites(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->state.changeCount, std::stoul(words.at(3)));
}

// expect reads most N: of the state service so far
void ScenarioExpect::expectReads(const Line& line) {
  const auto& words = line.words;
  EXPECT_LE(world_->state.readCount, std::stoul(words.at(3)));
}

// expect keys PREFIX most N
void ScenarioExpect::expectKeyCount(const Line& line) {
  const auto& words = line.words;
  auto keys = world_->state.keysBelow(words.at(2));
  EXPECT_LE(keys.size(), std::stoul(words.at(4))) << (keys.empty() ? "" : keys.front());
}

}  // namespace kestrelhoist::sim
