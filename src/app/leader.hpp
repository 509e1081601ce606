/// \file
/// Implements the leader, which runs the control loops and commits their transactions.
#pragma once

#include "cloud/forecast_loop.hpp"
#include "cloud/machine_list_loop.hpp"
#include "cloud/termination_loop.hpp"
#include "fleet/command_repeater.hpp"
#include "fleet/lease_end_prober.hpp"
#include "fleet/token_raise_loop.hpp"
#include "flows/flow_loop.hpp"
#include "policy/policy_loop.hpp"

namespace kestrelhoist {

/// Runs the control loops one after another and commits one transaction at a time. Each loop makes
/// its own decisions. An instance exists from the election until the leader steps down. The class
/// is single-threaded.
class Leader {
 public:
  /// @param mayHaveActingLeader Returns whether an unreachable controller in the zone may be
  ///        answering the heartbeats of the zone's workers.
  Leader(const LeaderContext& context, PlanRunner& planner, PolicyReplica& policy,
         std::function<bool(const ZoneId&)> mayHaveActingLeader);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  /// Answers the heartbeat of a worker.
  /// @param receivedBy The controller to which the worker sent the heartbeat.
  /// @param mayLaunch Whether the state service was reached recently, so that this controller is
  ///        sure to be the leader and may launch tasks.
  Response onReport(const Report& report, const MemberId& receivedBy, bool mayLaunch);
  /// Handles changes that the replica has applied from the change feed. They may show that the
  /// current commit was applied although its answer was lost.
  void onChangesApplied(const std::vector<Change>& changes);
  /// Handles changes of the replica's records after all callbacks that waited for the read have
  /// run.
  void onRecordsChanged();
  /// Returns the reasons why tasks of the job wait; see explainPending().
  Json why(const JobId& job);
  FencingToken token() const { return context_.token; }
  /// Returns whether the outcome of a raise of the token is unknown.
  bool isRaisingToken() const;
  /// Uses this token, the revision of the leader key that this leader wrote again, from now on.
  void adoptToken(FencingToken token);
  Fleet& fleet() { return fleet_; }

 private:
  /// Holds a commit whose outcome is unknown until `settled` is true.
  struct SentCommit {
    Commit commit;
    bool settled = false;
  };
  using SentCommitPtr = std::shared_ptr<SentCommit>;

  void connectLoops();
  /// Restores the suspected zones that the previous leader stored in the forecast record.
  void restoreSuspectedZones(const Json& forecast);
  /// Restores the suspect jobs that the previous leader stored in the forecast record.
  void restoreFailureAttribution(const Json& forecast);
  void detectFailures(Instant now);
  void onTimer();
  void scheduleCycle();
  void cycle();
  /// Returns whether the replica shows that this leadership has ended.
  bool isLeadershipLost() const;
  void notifyLoops(bool changedByOthers);
  void commit(Commit commit);
  void send(const SentCommitPtr& sent);
  void onCommitResult(const SentCommitPtr& sent, const CommitResult& result);
  void onCommitApplied(const SentCommitPtr& sent, Revision revision);
  void rereadRecords(const SentCommitPtr& sent);
  void finishStep(std::optional<Commit> next);

  LeaderContext context_;
  std::function<bool(const ZoneId&)> mayHaveActingLeader_;
  Fleet fleet_;
  CommandDispatcher dispatcher_;
  CommandRepeater repeater_;
  WorkerProber prober_;
  InitialRound initialRound_;
  LeaseEndProber leaseEndProber_;
  ConfirmedOutcomes outcomes_;
  DemandForecasts forecasts_;
  MachineListLoop machineList_;
  TaskLoop taskLoop_;
  PlanningLoop planning_;
  TerminationLoop terminations_;
  ScalingLoop scaling_;
  ForecastLoop forecast_;
  FlowLoop flows_;
  PolicyLoop policy_;
  TokenRaiseLoop tokenRaise_;
  std::vector<ControlLoop*> loops_;  ///< Lists all loops in the order in which they run.
  TokenBucket writes_;
  SentCommitPtr sent_;           ///< Points to the newest commit, or is null before the first.
  bool stepInProgress_ = false;  ///< Is true if a commit or an asynchronous step is in progress.
  bool cycleScheduled_ = false;
  std::size_t nextLoop_ = 0;  ///< Selects the loop that runs first in the next cycle.
  std::int64_t timerCount_ = 0;
};

}  // namespace kestrelhoist
