/// Declares the runner of the scenario language, which docs/testing.md describes.
#pragma once

#include "scenario_expect.hpp"

namespace kestrelhoist::sim {

/// Plays the lines of one scenario file in one simulated world. Each verb of the language has one
/// step function, which gets the whole line.
class Scenario : public ScenarioExpect {
 public:
  Scenario(std::vector<Line> lines, std::uint64_t seed);

  /// Plays the lines in order and stops if the world breaks a rule. Then checks that each job class
  /// and each team got at least half of its share of the machines.
  void run();

 private:
  using Step = void (Scenario::*)(const Line& line);

  static const std::map<std::string, Step>& steps();
  void step(const Line& line);
  void expectNoneUnderserved();

  // These steps concern jobs, flows and policies (scenario_steps_jobs.cpp).
  void submitJob(const Line& line);
  void streamJobs(const Line& line);
  void abortJob(const Line& line);
  void repairJob(const Line& line);
  void makeMachineFaulty(const Line& line);
  void submitOnCallJobs(const Line& line);
  void submitFlow(const Line& line);
  void amendFlow(const Line& line);
  void cancelFlow(const Line& line);
  void crashAtFlowCommit(const Line& line);
  void setPolicy(const Line& line);
  void setCalendar(const Line& line);
  void protectViewer(const Line& line);
  void drawPolicies(const Line& line);
  void mayBeUnderserved(const Line& line);
  void setPollRate(const Line& line);

  // These steps disturb controllers and the services that they need
  // (scenario_steps_controllers.cpp).
  void upgradeControllers(const Line& line);
  void isolateController(const Line& line);
  void stepClock(const Line& line);
  void crashOnce(const Line& line);
  void crashRepeatedly(const Line& line);
  void crashInElection(const Line& line);
  void freezeController(const Line& line);
  void troubleController(const Line& line);
  void limitStateService(const Line& line);
  void slowStateService(const Line& line);
  void refuseController(const Line& line);
  void beginOutage(const Line& line);
  void drawFaults(const Line& line);
  void faultBeside(const Line& line);
  void refuseThenOutage(const Line& line);
  void combineFaults(const Line& line);

  // These steps disturb the network and the machines (scenario_steps_machines.cpp).
  void cutController(const Line& line);
  void cutLink(const Line& line);
  void setSlowness(const Line& line);
  void flapLink(const Line& line);
  void cutZoneOff(const Line& line);
  void cutMachine(const Line& line);
  void cutInboundOfZone(const Line& line);
  void loseMessages(const Line& line);
  void loseAnswersOfMachine(const Line& line);
  void delayWrites(const Line& line);
  void delayCommands(const Line& line);
  void duplicateReports(const Line& line);
  void duplicateCommands(const Line& line);
  void setCapacity(const Line& line);
  void endShareOfMachines(const Line& line);
  void endMachine(const Line& line);
  void hangMachine(const Line& line);
  void giveTerminationNotice(const Line& line);

  // These functions play a step at a moment of a machine's lease (scenario_steps_moments.cpp).
  static constexpr std::int64_t kMomentStep = 1;  // The lease is checked once per millisecond.
  void playAtMoment(const Line& line);
  void playBeforeLeaseEnds(const std::string& host, std::int64_t leftMs,
                           const std::function<void()>& play);
  void playAfterLeaseEnds(const std::string& host, std::uint64_t session, std::int64_t ms,
                          const std::function<void()>& play);
  void playWhenSessionKnown(const std::string& host, std::int64_t ms,
                            const std::function<void()>& play);

  // These steps let time pass, print figures or remember state (scenario_steps_output.cpp).
  void runWorld(const Line& line);
  void printRunning(const Line& line);
  void printSummary(const Line& line);
  void printTraffic(const Line& line);
  void printGaps(const Line& line);
  void markController(const Line& line);
  void markMachinesOfZone(const Line& line);
  void watchJob(const Line& line);
  void awaitRecovery(const Line& line);
};

}  // namespace kestrelhoist::sim
