/// Implements the expectations on policies, calendar periods and charges.
#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

// expect policyversions N: checks that the policy was changed N times.
void ScenarioExpect::expectPolicyVersions(const Line& line) {
  const auto& words = line.words;
  ASSERT_NE(world_->policy(), nullptr);
  EXPECT_EQ(world_->policy()->version(), std::stoul(words.at(2)));
}

// expect period NAME|none opened N closed N: checks which calendar period is open and how many
// periods were opened and closed.
void ScenarioExpect::expectPeriod(const Line& line) {
  const auto& words = line.words;
  ASSERT_NE(world_->policy(), nullptr);
  const auto& s = world_->policy()->state();
  EXPECT_EQ(s.openPeriodName.empty() ? "none" : s.openPeriodName, words.at(2));
  EXPECT_EQ(s.openedCount, std::stoul(words.at(4)));
  EXPECT_EQ(s.closedCount, std::stoul(words.at(6)));
}

// expect periods sound: checks that as many calendar periods were closed as opened, or that one is
// still open.
void ScenarioExpect::expectSoundPeriods(const Line&) {
  ASSERT_NE(world_->policy(), nullptr);
  const auto& s = world_->policy()->state();
  EXPECT_EQ(s.openedCount, s.closedCount + (s.openPeriodName.empty() ? 0 : 1));
}

// expect storm yes|no: checks whether the policy state shows a mass failure.
void ScenarioExpect::expectMassFailure(const Line& line) {
  const auto& words = line.words;
  ASSERT_NE(world_->policy(), nullptr);
  EXPECT_EQ(world_->policy()->massFailure(), words.at(2) == "yes");
}

// expect held IMAGE least|most N: checks how many machines are chosen to hold the warm image.
void ScenarioExpect::expectWarmMachines(const Line& line) {
  const auto& words = line.words;
  ASSERT_NE(world_->policy(), nullptr);
  auto held = world_->policy()->state().pools.find(ImageId{words.at(2)});
  std::size_t n = held == world_->policy()->state().pools.end() ? 0 : held->second.machines.size();
  EXPECT_TRUE(words.at(3) == "least" ? n >= std::stoul(words.at(4)) : n <= std::stoul(words.at(4)))
      << n;
}

// expect paid TEAM warm|used least S: checks the machine seconds charged to the team over all
// hours.
void ScenarioExpect::expectCharged(const Line& line) {
  const auto& words = line.words;
  ASSERT_NE(world_->policy(), nullptr);
  double sum = 0;
  for (const auto& [hour, r] : world_->policy()->hours()) {
    const auto& of = words.at(3) == "warm" ? r.account.warm : r.account.used;
    if (auto it = of.find(TeamId{words.at(2)}); it != of.end()) {
      sum += static_cast<double>(it->second.ms) / 1000;
    }
  }
  EXPECT_GE(sum, std::stod(words.at(5)));
}

}  // namespace kestrelhoist::sim
