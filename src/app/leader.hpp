// One leadership. It lets its duties take turns and commits one transaction at a time; what they
// decide is theirs. It lives from the election to the step-down.
#pragma once

#include "cloud/forecast_loop.hpp"
#include "cloud/machine_list_loop.hpp"
#include "cloud/termination_loop.hpp"
#include "flows/flow_loop.hpp"
#include "policy/policy_loop.hpp"

namespace kestrelhoist {

class Leader {
 public:
  // `mayHaveActingLeader`: whether a controller in that zone may be answering its workers unseen.
  Leader(const LeaderContext& context, PlanRunner& planner, PolicyReplica& policy,
         std::function<bool(const ZoneId&)> mayHaveActingLeader);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Answers a worker's report. `sure`: the state service was reached a moment ago.
  Response onReport(const Report& report, bool sure);
  void onRecordsChanged();
  // Why a job's tasks wait, who leads and since when, in seconds: for operators.
  Json why(const JobId& job);
  FencingToken token() const { return context_.token; }
  Fleet& fleet() { return fleet_; }

 private:
  void onTimer();
  void scheduleCycle();
  void cycle();
  bool deposed() const;
  void notifyLoops(bool changedByOthers);
  void commit(Commit commit);
  void send(std::shared_ptr<Commit> commit);

  LeaderContext context_;
  std::function<bool(const ZoneId&)> mayHaveActingLeader_;
  Fleet fleet_;
  CommandDispatcher dispatcher_;
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
  std::vector<ControlLoop*> loops_;  // in the order in which they take turns
  RateBudget writes_;
  bool stepUnderWay_ = false;  // a commit or a held turn is under way
  bool cycleScheduled_ = false;
  std::size_t nextLoop_ = 0;  // which duty comes first in the next cycle
  std::int64_t timerCount_ = 0;
};

}  // namespace kestrelhoist
