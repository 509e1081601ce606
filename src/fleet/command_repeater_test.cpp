// Guards against a delay of 5 s: the answer with the launch of replicas was lost, and the launch
// was repeated only in the answer to the next heartbeat.
#include "fleet/command_repeater.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const MachineId kMachine{"host-1"};

struct CommandRepeaterTest : testing::Test {
  std::vector<MachineId> sent;
  bool missing = true;  ///< Is true if the newest report does not confirm the commands.
  CommandRepeater repeater{[this](const MachineId& machine) {
    if (missing) sent.push_back(machine);
    return missing;
  }};
};

TEST_F(CommandRepeaterTest, RepeatsWhatIsNotConfirmedWithinASecond) {
  repeater.expectConfirmation(kMachine, Instant{1000});
  repeater.repeatDue(Instant{1500});
  EXPECT_TRUE(sent.empty());
  repeater.repeatDue(Instant{1750});
  EXPECT_EQ(sent.size(), 1U);
  repeater.repeatDue(Instant{2000});
  EXPECT_EQ(sent.size(), 1U);
}

TEST_F(CommandRepeaterTest, ForgetsWhatIsConfirmed) {
  repeater.expectConfirmation(kMachine, Instant{1000});
  missing = false;
  repeater.repeatDue(Instant{2000});
  missing = true;
  repeater.repeatDue(Instant{10000});
  EXPECT_TRUE(sent.empty());
}

TEST_F(CommandRepeaterTest, GivesUpOnAMachineThatStaysSilent) {
  repeater.expectConfirmation(kMachine, Instant{0});
  for (int second = 1; second < 20; ++second) repeater.repeatDue(Instant{second * 1000});
  EXPECT_EQ(sent.size(), 3U);
  // The commands are sent again in the answer to a heartbeat.
  repeater.expectConfirmation(kMachine, Instant{30000});
  repeater.repeatDue(Instant{31000});
  EXPECT_EQ(sent.size(), 4U);
}

TEST_F(CommandRepeaterTest, IsBoundedAndServesTheOldestFirst) {
  for (int i = 0; i < 100; ++i) {
    repeater.expectConfirmation(MachineId{"host-" + std::to_string(100 - i)}, Instant{i});
  }
  repeater.repeatDue(Instant{5000});
  EXPECT_EQ(sent.size(), 16U);
  EXPECT_EQ(sent.front(), MachineId{"host-100"});
  repeater.repeatDue(Instant{5250});
  EXPECT_EQ(sent.size(), 32U);
}

}  // namespace
}  // namespace kestrelhoist
