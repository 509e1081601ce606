/// Implements the expectations on flows.
#include <iostream>

#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

// expect flow ID PHASE: checks the phase of the flow.
void ScenarioExpect::expectFlowPhase(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->flowPhase(words.at(2)), words.at(3)) << world_->flowStatus(words.at(2)).dump();
}

// expect refused ID STATUS: checks the HTTP status with which the flow was refused.
void ScenarioExpect::expectFlowRefused(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->flowRefusedWith(words.at(2)), std::stoi(words.at(3)));
}

// expect cost READS BYTES: checks the reads and the bytes of the whole scenario for each flow
// instance.
void ScenarioExpect::expectCostPerInstance(const Line& line) {
  const auto& words = line.words;
  auto n = static_cast<double>(std::max<std::size_t>(1, world_->flowInstances()));
  EXPECT_LE(static_cast<double>(world_->state.readCount) / n, std::stod(words.at(2)));
  EXPECT_LE(static_cast<double>(world_->state.writtenBytes) / n, std::stod(words.at(3)));
}

// expect took ID most SECONDS: checks the time from the flow's submission to its end.
void ScenarioExpect::expectFlowDuration(const Line& line) {
  const auto& words = line.words;
  double took = world_->flowDurationS(words.at(2));
  std::cout << words.at(2) << " took " << took << " s, machines " << world_->region.machineSeconds()
            << " s\n";
  EXPECT_LE(took, std::stod(words.at(4)));
}

// expect count ID FIELD N: checks a count in the newest status of the flow.
void ScenarioExpect::expectFlowCount(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->flowStatus(words.at(2)).value(words.at(3), -1), std::stoi(words.at(4)))
      << world_->flowStatus(words.at(2)).dump();
}

// expect report ID FIELD N: checks a field of the flow's report.
void ScenarioExpect::expectFlowReport(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->flowReport(words.at(2)).value(words.at(3), -1.0), std::stod(words.at(4)))
      << world_->flowReport(words.at(2)).dump();
}

// expect account TEAM FIELD N: checks a field of the team's account, which sums all its flows.
void ScenarioExpect::expectTeamAccount(const Line& line) {
  const auto& words = line.words;
  EXPECT_EQ(world_->teamAccount(words.at(2)).value(words.at(3), -1.0), std::stod(words.at(4)));
}

// expect perinstance most N: checks the changes to the state service for each flow instance so far.
void ScenarioExpect::expectChangesPerInstance(const Line& line) {
  const auto& words = line.words;
  std::size_t ofFlows = 0;
  for (const auto& [kind, n] : world_->changesByKind) {
    bool counts = kind.find("flow") != std::string::npos || kind.starts_with("kx");
    if (counts) ofFlows += n;
    std::cout << "  " << kind << ": " << n << "\n";
  }
  double per = static_cast<double>(ofFlows) /
               static_cast<double>(std::max<std::size_t>(1, world_->flowInstances()));
  std::cout << "changes of flows an instance: " << per << " (" << world_->state.changeCount
            << " changes in all, " << world_->state.readCount << " reads, "
            << world_->state.writtenBytes << " bytes written)\n";
  EXPECT_LE(per, std::stod(words.at(3)));
}

}  // namespace kestrelhoist::sim
