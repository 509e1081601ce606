/// @file
/// Builds the planner's input from the replicated records and the state of the fleet.
#pragma once

#include <map>
#include <vector>

#include "placement/confirmed_outcomes.hpp"
#include "placement/pending_reasons.hpp"
#include "placement/planner.hpp"
#include "policy/policy_state.hpp"

namespace kestrelhoist {

/// Builds one PlanInput: the cluster as it is on record, less the tasks that are proven to have
/// ended since.
///
/// A builder serves one plan and is then dropped. It runs on the controller's thread and keeps
/// references, so what it is given must outlive it; the input that it returns is independent.
class PlanInputBuilder {
 public:
  PlanInputBuilder(LeaderContext& context, Fleet& fleet, const ConfirmedOutcomes& outcomes,
                   PendingReasons& pendingReasons);

  /// Returns the input, and notes why the jobs that are left out of it wait. The input has no
  /// machines if it has no jobs, as there is nothing to plan then.
  [[nodiscard]] PlanInput build();

 private:
  struct WaitingTasks {
    std::uint32_t toPlace = 0;   ///< tasks that this plan may place
    std::uint32_t requeued = 0;  ///< tasks still on record that ended and must run again
    bool suspect = false;        ///< the job fails wherever it runs
  };

  std::uint32_t zoneNumber(const ZoneId& zone);
  void addWaitingJobs();
  WaitingTasks waitingTasks(const JobId& id, const JobState& job);
  void addJob(const JobState& job, const WaitingTasks& tasks);
  void decideReservations();
  void addTeams();
  void addMachines();
  PlanMachine describeMachine(const MachineId& id, const MachineState& record,
                              const Machine* machine);
  void addTasks(PlanMachine& planMachine, const MachineState& record, const Machine* machine);
  void addUsableTask(PlanMachine& planMachine, const Machine& machine, const PlacedTask& task,
                     bool stopping) const;
  void addFailedMachines();
  void limitYieldingJobs();
  void capYieldingJobs(const std::vector<std::size_t>& yielding,
                       const std::vector<YieldingJob>& shares, double usableMachines,
                       const Resources& largest);
  void addSpread();

  LeaderContext& context_;
  Fleet& fleet_;
  const ConfirmedOutcomes& outcomes_;
  PendingReasons& pendingReasons_;
  Instant now_;
  PlanInput input_;
  std::vector<const JobState*> states_;            ///< of input_.jobs, in the same order
  std::map<ZoneId, std::uint32_t> zoneNumbers_;    ///< in the order of first use
  std::map<MachineId, std::size_t> machineIndex_;  ///< index in input_.machines
  Priority highestPriority_ = Priority::low;       ///< of the waiting jobs
  bool hasGuarantees_ = false;                     ///< a team with jobs has a guaranteed share
  bool mayReserve_ = false;  ///< some job has waited so long that resources may be reserved for it
};

}  // namespace kestrelhoist
