#include "scenario.hpp"

namespace kestrelhoist::sim {

Scenario::Scenario(std::vector<Line> lines, std::uint64_t seed) {
  lines_ = std::move(lines);
  settings_.seed = seed;
}

void Scenario::run() {
  for (const auto& line : lines_) {
    SCOPED_TRACE(line.where());
    if (line.words[0] == "seeds" || line.words[0] == "each") continue;
    if (line.words[0] == "world") {
      // The world has already been built, so this line's settings would have no effect.
      ASSERT_FALSE(world_) << line.where() << ": after a line that began the world";
      configure(line);
      continue;
    }
    if (!world_) world_ = std::make_unique<World>(settings_);
    step(line);
    ASSERT_TRUE(world_->broken.empty()) << line.where() << ": " << world_->broken.front();
  }
  expectNoneUnderserved();
}

// Checks in every scenario that lasts long enough that each job class and each team got at least
// half of its share of the machines. The few scenarios that remove too much capacity name the class
// or team that may get less (`starves`, `expect underserved`).
void Scenario::expectNoneUnderserved() {
  auto under = world_->underserved(kMinServedShare, kMinJudgedMs);
  for (const auto& [what, share] : under) {
    EXPECT_TRUE(mayBeUnderserved_.contains(what)) << "underserved: " << what << " got " << share;
  }
}

const std::map<std::string, Scenario::Step>& Scenario::steps() {
  static const std::map<std::string, Step> steps{
      {"submit", &Scenario::submitJob},
      {"stream", &Scenario::streamJobs},
      {"abort", &Scenario::abortJob},
      {"mend", &Scenario::repairJob},
      {"faulty", &Scenario::makeMachineFaulty},
      {"oncall", &Scenario::submitOnCallJobs},
      {"flow", &Scenario::submitFlow},
      {"amend", &Scenario::amendFlow},
      {"cancelflow", &Scenario::cancelFlow},
      {"crashcommit", &Scenario::crashAtFlowCommit},
      {"policy", &Scenario::setPolicy},
      {"calendar", &Scenario::setCalendar},
      {"keepviewer", &Scenario::protectViewer},
      {"policies", &Scenario::drawPolicies},
      {"starves", &Scenario::mayBeUnderserved},
      {"polls", &Scenario::setPollRate},

      {"upgrade", &Scenario::upgradeControllers},
      {"alone", &Scenario::isolateController},
      {"clock", &Scenario::stepClock},
      {"crash", &Scenario::crashOnce},
      {"crashes", &Scenario::crashRepeatedly},
      {"catch", &Scenario::crashInElection},
      {"freeze", &Scenario::freezeController},
      {"trouble", &Scenario::troubleController},
      {"state_limits", &Scenario::limitStateService},
      {"slow", &Scenario::slowStateService},
      {"refuse", &Scenario::refuseController},
      {"outage", &Scenario::beginOutage},
      {"chaos", &Scenario::drawFaults},
      {"beside", &Scenario::faultBeside},
      {"gap", &Scenario::refuseThenOutage},
      {"meet", &Scenario::combineFaults},

      {"cut", &Scenario::cutController},
      {"link", &Scenario::cutLink},
      {"slowness", &Scenario::setSlowness},
      {"flap", &Scenario::flapLink},
      {"cutzone", &Scenario::cutZoneOff},
      {"cutmachine", &Scenario::cutMachine},
      {"deafzone", &Scenario::cutInboundOfZone},
      {"lose", &Scenario::loseMessages},
      {"lose_answers", &Scenario::loseAnswersOfMachine},
      {"late_writes", &Scenario::delayWrites},
      {"held", &Scenario::delayCommands},
      {"copies", &Scenario::duplicateReports},
      {"command_copies", &Scenario::duplicateCommands},
      {"capacity", &Scenario::setCapacity},
      {"dieshare", &Scenario::endShareOfMachines},
      {"die", &Scenario::endMachine},
      {"hang", &Scenario::hangMachine},
      {"notice", &Scenario::giveTerminationNotice},

      {"at", &Scenario::playAtMoment},

      {"run", &Scenario::runWorld},
      {"running", &Scenario::printRunning},
      {"tell", &Scenario::printSummary},
      {"traffic", &Scenario::printTraffic},
      {"gaps", &Scenario::printGaps},
      {"mark", &Scenario::markController},
      {"markzone", &Scenario::markMachinesOfZone},
      {"watch", &Scenario::watchJob},
      {"recover", &Scenario::awaitRecovery},
      {"expect", &Scenario::expect},
  };
  return steps;
}

// The base classes handle their verbs first, because `late_writes` with a writer is one of theirs.
void Scenario::step(const Line& line) {
  if (machineFaultsStep(line) || concurrentReadsStep(line.words) || lateMessagesStep(line.words))
    return;
  auto found = steps().find(line.words[0]);
  if (found != steps().end()) {
    (this->*found->second)(line);
  } else if (!pipelineStep(line)) {
    FAIL() << "unknown verb " << line.words[0];
  }
}

}  // namespace kestrelhoist::sim
