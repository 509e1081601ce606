// Plans on a copied picture, one at a time; its placements are committed in the same turn.
#pragma once

#include "placement/pending_reasons.hpp"
#include "placement/runner.hpp"
#include "placement/task_loop.hpp"

namespace kestrelhoist {

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
  void onTimer() override { context_.planInvalidated = true; }  // pauses and patience end with time
  // Tasks that found no room, by the last plan.
  const std::map<JobId, std::uint32_t>& unplaced() const { return unplaced_; }

  // Why tasks wait, by the last plan.
  const PendingReasons& pendingReasons() const { return pendingReasons_; }
  // What stands between this job and machines that it may use; null: just no room.
  std::function<PendingReason(const JobSpec&)> resourcesReason;

 private:
  bool mayPlace() const { return context_.initialRoundOver && context_.catalogue.has_value(); }
  bool start();
  PlanInput buildPlanInput();
  void limitYieldingJobs(PlanInput& in) const;
  Duration bootTime() const;
  void applyPlan(const PlanInput& input, const Plan& plan);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  ConfirmedOutcomes& outcomes_;
  TaskLoop& tasks_;
  PlanRunner& planner_;
  Instant nextPlan_{};  // plans take a bounded share of the time
  std::map<JobId, std::uint32_t> unplaced_;
  PendingReasons pendingReasons_;
};

}  // namespace kestrelhoist
