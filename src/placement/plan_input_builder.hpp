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

/// Builds one PlanInput. It describes the cluster as it is on record, without the tasks that are
/// proven to have ended since.
///
/// A builder is used for one plan. It runs on the controller's thread and keeps references to its
/// arguments, which must outlive it. The input that it returns holds no references to them.
class PlanInputBuilder {
 public:
  PlanInputBuilder(LeaderContext& context, Fleet& fleet, const ConfirmedOutcomes& outcomes,
                   PendingReasons& pendingReasons);

  /// Returns the input, and adds the pending reasons of the jobs that are left out of it to
  /// PendingReasons. The input has no machines if it has no jobs, because nothing is planned then.
  [[nodiscard]] PlanInput build();

 private:
  struct WaitingTasks {
    std::uint32_t toPlace = 0;  ///< Counts the tasks that this plan may place.
    /// Counts the tasks whose attempt has ended but is still on record, and that must run again.
    std::uint32_t requeued = 0;
    bool suspect = false;  ///< The job fails on every machine.
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
  std::vector<const JobState*> jobStates_;       ///< Has the same order as input_.jobs.
  std::map<ZoneId, std::uint32_t> zoneNumbers_;  ///< Zones are numbered in the order of first use.
  std::map<MachineId, std::size_t> machineIndex_;  ///< Holds indices into input_.machines.
  Priority highestPriority_ = Priority::low;  ///< This is the highest priority of a waiting job.
  bool hasGuarantees_ = false;                ///< A team with jobs has guaranteed resources.
  bool mayReserve_ = false;  ///< A job has waited so long that resources may be reserved for it.
};

}  // namespace kestrelhoist
