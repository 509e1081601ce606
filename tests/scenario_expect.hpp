/// Declares the expectations of the scenario language and the parser of its flow options.
#pragma once

#include "scenario_pipelines.hpp"

namespace kestrelhoist::sim {

/// Implements the verb `expect`. Each expectation of the language has one member function, which
/// gets the whole line.
class ScenarioExpect : public ScenarioPipelines {
 protected:
  void expect(const Line& line);
  /// Applies the options of a line to the description of a generated flow. Fields without an option
  /// keep their values.
  void shape(FlowPlanSpec& spec, const std::map<std::string, std::string>& options);

 private:
  using Expectation = void (ScenarioExpect::*)(const Line& line);

  static const std::map<std::string, Expectation>& expectations();

  // These check jobs and the answers that their users get (scenario_expect_jobs.cpp).
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

  // These check policies, calendar periods and charges (scenario_expect_policy.cpp).
  void expectPolicyVersions(const Line& line);
  void expectPeriod(const Line& line);
  void expectSoundPeriods(const Line& line);
  void expectMassFailure(const Line& line);
  void expectWarmMachines(const Line& line);
  void expectCharged(const Line& line);

  // These check flows (scenario_expect_flows.cpp).
  void expectFlowPhase(const Line& line);
  void expectFlowRefused(const Line& line);
  void expectCostPerInstance(const Line& line);
  void expectFlowDuration(const Line& line);
  void expectFlowCount(const Line& line);
  void expectFlowReport(const Line& line);
  void expectTeamAccount(const Line& line);
  void expectChangesPerInstance(const Line& line);

  // These check controllers, machines and the state service (scenario_expect_cluster.cpp).
  void expectReportedTasks(const Line& line);
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
