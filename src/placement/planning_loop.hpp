/// @file
/// Defines the control loop that plans on which machines waiting tasks are placed, and commits the
/// placements.
#pragma once

#include "placement/pending_reasons.hpp"
#include "placement/runner.hpp"
#include "placement/task_loop.hpp"

namespace kestrelhoist {

/// Plans on an independent copy of the cluster's state, one plan at a time, and commits a plan's
/// placements in the same loop step. It runs on the controller's thread; the planner may run on
/// another. One object serves one leader and must not outlive its constructor arguments.
class PlanningLoop : public ControlLoop {
 public:
  PlanningLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher,
               ConfirmedOutcomes& outcomes, TaskLoop& tasks, PlanRunner& planner)
      : context_(context),
        fleet_(fleet),
        dispatcher_(dispatcher),
        outcomes_(outcomes),
        tasks_(tasks),
        planner_(planner) {}

  LoopStep next() override { return start() ? LoopStep::asynchronous() : LoopStep::idle(); }
  void onRecordsChanged(bool) override { context_.planInvalidated = true; }
  /// Invalidates the plan at each timer tick, because pauses and aging thresholds end with time.
  void onTimer() override { context_.planInvalidated = true; }
  /// Returns, by job, the number of tasks for which the last plan found no resources. Machines are
  /// rented for this demand.
  const std::map<JobId, std::uint32_t>& unplaced() const { return unplaced_; }

  /// Returns why tasks wait, according to the last plan.
  const PendingReasons& pendingReasons() const { return pendingReasons_; }
  /// Returns why no machine that the job may use is available. If this function is not set, the
  /// reason is always PendingReason::resources.
  std::function<PendingReason(const JobSpec&)> resourcesReason;

 private:
  bool mayPlace() const { return context_.initialRoundOver && context_.catalogue.has_value(); }
  bool start();
  Duration maxBootTime() const;
  void applyPlan(const PlanInput& input, const Plan& plan);
  void noteDemand(const PlanJob& job, const Plan& plan, std::size_t index);
  void notePendingReasons(const JobSpec& spec, const Plan& plan, std::size_t index);
  void requestStops(const Plan& plan);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  ConfirmedOutcomes& outcomes_;
  TaskLoop& tasks_;
  PlanRunner& planner_;
  Instant nextPlan_{};  ///< The next plan starts at this time at the earliest.
  std::map<JobId, std::uint32_t> unplaced_;
  PendingReasons pendingReasons_;
};

}  // namespace kestrelhoist
