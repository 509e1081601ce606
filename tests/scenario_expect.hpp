/// What a scenario expects of its world, and the made-up flows of its lines.
#pragma once

#include "scenario_pipelines.hpp"

namespace kestrelhoist::sim {

/// The verb `expect`: each expectation of the language has one member function, which gets the
/// whole line.
class ScenarioExpect : public ScenarioPipelines {
 protected:
  void expect(const Line& line);
  /// Sets what the options of a line say of a made-up flow; the rest stays as it was.
  void shape(FlowPlanSpec& spec, const std::map<std::string, std::string>& options);

 private:
  using Expectation = void (ScenarioExpect::*)(const Line& line);

  static const std::map<std::string, Expectation>& expectations();

  // On jobs and what their users see (scenario_expect_jobs.cpp).
  void expectPhase(const Line& line);
  void expectReplicas(const Line& line);
  void expectFewestReplicas(const Line& line);
  void expectReplicaGap(const Line& line);
  void expectServed(const Line& line);
  void expectUnderserved(const Line& line);
  void expectAnswered(const Line& line);
  void expectUnanswered(const Line& line);
  void expectCancelledTasksGone(const Line& line);
  void expectNoneWaiting(const Line& line);
  void expectWaiting(const Line& line);
  void expectNotStarted(const Line& line);
  void expectStarted(const Line& line);
  void expectStartsOfJob(const Line& line);
  void expectPendingReason(const Line& line);
  void expectStarts(const Line& line);

  // On policies, periods and charges (scenario_expect_policy.cpp).
  void expectPolicyVersions(const Line& line);
  void expectPeriod(const Line& line);
  void expectSoundPeriods(const Line& line);
  void expectMassFailure(const Line& line);
  void expectWarmMachines(const Line& line);
  void expectCharged(const Line& line);

  // On flows (scenario_expect_flows.cpp).
  void expectFlowPhase(const Line& line);
  void expectFlowRefused(const Line& line);
  void expectCostPerInstance(const Line& line);
  void expectFlowDuration(const Line& line);
  void expectFlowCount(const Line& line);
  void expectFlowReport(const Line& line);
  void expectTeamAccount(const Line& line);
  void expectChangesPerInstance(const Line& line);

  // On controllers, machines and the state service (scenario_expect_cluster.cpp).
  void expectLeaderships(const Line& line);
  void expectLeader(const Line& line);
  void expectVersionsKnown(const Line& line);
  void expectResumed(const Line& line);
  void expectMachineReleased(const Line& line);
  void expectMarkedMachines(const Line& line);
  void expectMachineCount(const Line& line);
  void expectRentalCalls(const Line& line);
  void expectRentedMachines(const Line& line);
  void expectTooLargeTransactions(const Line& line);
  void expectChangesOfKind(const Line& line);
  void expectWrites(const Line& line);
  void expectReads(const Line& line);
  void expectKeyCount(const Line& line);
};

}  // namespace kestrelhoist::sim
