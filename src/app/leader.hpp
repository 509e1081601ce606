/// The leader's work: schedules the control loops and commits their transactions.
#pragma once

#include "cloud/forecast_loop.hpp"
#include "cloud/machine_list_loop.hpp"
#include "cloud/termination_loop.hpp"
#include "fleet/command_repeater.hpp"
#include "fleet/lease_end_prober.hpp"
#include "flows/flow_loop.hpp"
#include "policy/policy_loop.hpp"

namespace kestrelhoist {

/// Runs the control loops in turn and commits one transaction at a time; each loop makes its own
/// decisions. An instance lives from the election to the step-down. Single-threaded.
class Leader {
 public:
  /// @param mayHaveActingLeader Whether a controller in the zone may be answering its workers while
  ///        it is unreachable from here.
  Leader(const LeaderContext& context, PlanRunner& planner, PolicyReplica& policy,
         std::function<bool(const ZoneId&)> mayHaveActingLeader);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  /// Answers a worker's heartbeat that `receivedBy` received. `sure` says that the state service
  /// was reached a moment ago.
  Response onReport(const Report& report, const MemberId& receivedBy, bool sure);
  /// The replica has taken in these changes from the change feed. They may show that the commit
  /// under way was applied although its answer is lost.
  void onChangesApplied(const std::vector<Change>& changes);
  /// The same, once those who waited for the read were called.
  void onRecordsChanged();
  /// Explains why tasks of the job wait; see explainPending().
  Json why(const JobId& job);
  FencingToken token() const { return context_.token; }
  Fleet& fleet() { return fleet_; }

 private:
  /// A commit that was sent, until its outcome is known.
  struct SentCommit {
    Commit commit;
    bool settled = false;
  };
  using SentCommitPtr = std::shared_ptr<SentCommit>;

  void connectLoops();
  /// Reads what the previous leader stored with the forecast.
  void restoreSuspectedZones(const Json& forecast);
  void restoreFailureAttribution(const Json& forecast);
  void detectFailures(Instant now);
  void onTimer();
  void scheduleCycle();
  void cycle();
  bool deposed() const;
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
  std::vector<ControlLoop*> loops_;  ///< in the order in which they take turns
  TokenBucket writes_;
  SentCommitPtr sent_;         ///< the newest commit; null before the first
  bool stepUnderWay_ = false;  ///< a commit or an asynchronous step is under way
  bool cycleScheduled_ = false;
  std::size_t nextLoop_ = 0;  ///< index of the loop that comes first in the next cycle
  std::int64_t timerCount_ = 0;
};

}  // namespace kestrelhoist
