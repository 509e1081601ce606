#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

const std::map<std::string, ScenarioExpect::Expectation>& ScenarioExpect::expectations() {
  static const std::map<std::string, Expectation> expectations{
      {"phase", &ScenarioExpect::expectPhase},
      {"replicas", &ScenarioExpect::expectReplicas},
      {"fewest", &ScenarioExpect::expectFewestReplicas},
      {"gap", &ScenarioExpect::expectReplicaGap},
      {"served", &ScenarioExpect::expectServed},
      {"underserved", &ScenarioExpect::expectUnderserved},
      {"answered", &ScenarioExpect::expectAnswered},
      {"unanswered", &ScenarioExpect::expectUnanswered},
      {"goneby", &ScenarioExpect::expectCancelledTasksGone},
      {"nowaiting", &ScenarioExpect::expectNoneWaiting},
      {"waiting", &ScenarioExpect::expectWaiting},
      {"unbegun", &ScenarioExpect::expectNotStarted},
      {"began", &ScenarioExpect::expectStarted},
      {"startsof", &ScenarioExpect::expectStartsOfJob},
      {"waits", &ScenarioExpect::expectPendingReason},
      {"starts", &ScenarioExpect::expectStarts},

      {"policyversions", &ScenarioExpect::expectPolicyVersions},
      {"period", &ScenarioExpect::expectPeriod},
      {"periods", &ScenarioExpect::expectSoundPeriods},
      {"storm", &ScenarioExpect::expectMassFailure},
      {"held", &ScenarioExpect::expectWarmMachines},
      {"paid", &ScenarioExpect::expectCharged},

      {"flow", &ScenarioExpect::expectFlowPhase},
      {"refused", &ScenarioExpect::expectFlowRefused},
      {"cost", &ScenarioExpect::expectCostPerInstance},
      {"took", &ScenarioExpect::expectFlowDuration},
      {"count", &ScenarioExpect::expectFlowCount},
      {"report", &ScenarioExpect::expectFlowReport},
      {"account", &ScenarioExpect::expectTeamAccount},
      {"perinstance", &ScenarioExpect::expectChangesPerInstance},

      {"leaderships", &ScenarioExpect::expectLeaderships},
      {"leader", &ScenarioExpect::expectLeader},
      {"versions", &ScenarioExpect::expectVersionsKnown},
      {"resumed", &ScenarioExpect::expectResumed},
      {"gone", &ScenarioExpect::expectMachineReleased},
      {"marked", &ScenarioExpect::expectMarkedMachines},
      {"machines", &ScenarioExpect::expectMachineCount},
      {"hires", &ScenarioExpect::expectRentalCalls},
      {"hired", &ScenarioExpect::expectRentedMachines},
      {"toolarge", &ScenarioExpect::expectTooLargeTransactions},
      {"reportedtasks", &ScenarioExpect::expectReportedTasks},
      {"changesof", &ScenarioExpect::expectChangesOfKind},
      {"writes", &ScenarioExpect::expectWrites},
      {"reads", &ScenarioExpect::expectReads},
      {"keys", &ScenarioExpect::expectKeyCount},

  };
  return expectations;
}

void ScenarioExpect::expect(const Line& line) {
  const std::string& what = line.words.at(1);
  if (what == "books") return expectBooks();
  auto found = expectations().find(what);
  if (found != expectations().end()) {
    (this->*found->second)(line);
  } else if (!expectPipeline(line)) {
    FAIL() << "unknown expectation " << what;
  }
}

void ScenarioExpect::shape(FlowPlanSpec& spec, const std::map<std::string, std::string>& options) {
  for (const auto& [key, value] : options) {
    if (key == "member")
      spec.member = value;
    else if (key == "name")
      spec.name = value;
    else if (key == "team")
      spec.team = value;
    else if (key == "prefix")
      spec.prefix = value;
    else if (key == "width")
      spec.width = std::stoi(value);
    else if (key == "length")
      spec.length = std::stoi(value);
    else if (key == "first")
      spec.first = std::stoi(value);
    else if (key == "deps")
      spec.deps = std::stoi(value);
    else if (key == "join")
      spec.join = value == "yes";
    else if (key == "random")
      spec.random = value == "yes";
    else if (key == "run")
      spec.runS = std::stod(value);
    else if (key == "gpus")
      spec.gpus = std::stod(value);
    else if (key == "spot")
      spec.spot = value == "yes";
    else if (key == "keep")
      spec.keep = value == "yes";
    else if (key == "retries")
      spec.retries = std::stoi(value);
    else if (key == "fail")
      spec.failLayer = std::stoi(value);
    else if (key == "times")
      spec.failTimes = std::stoi(value);
    else if (key == "mark")
      spec.marked.insert(std::stoi(value));
    else
      FAIL() << "unknown option " << key;
  }
  spec.seed = settings_.seed;
}

}  // namespace kestrelhoist::sim
