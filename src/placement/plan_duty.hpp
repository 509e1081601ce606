// Plans on a copied picture, one at a time; its placements are committed in the same turn.
#pragma once

#include "placement/runner.hpp"
#include "placement/task_duty.hpp"
#include "placement/waiting.hpp"

namespace kestrelhoist {

class PlanDuty : public ControlLoop {
 public:
  PlanDuty(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher, TaskFacts& facts,
           TaskDuty& tasks, PlanRunner& planner)
      : context_(context),
        fleet_(fleet),
        dispatcher_(dispatcher),
        facts_(facts),
        tasks_(tasks),
        planner_(planner) {}

  LoopStep next() override { return start() ? LoopStep::asynchronous() : LoopStep::idle(); }
  void onRecordsChanged(bool) override { context_.planInvalidated = true; }
  void onTimer() override { context_.planInvalidated = true; }  // pauses and patience end with time
  // Tasks that found no room, by the last plan.
  const std::map<JobId, std::uint32_t>& unplaced() const { return unplaced_; }

  // Why tasks wait, by the last plan.
  const WaitBook& waits() const { return waits_; }
  // What stands between this job and machines that it may use; null: just no room.
  std::function<Waits(const JobSpec&)> roomReason;

 private:
  bool mayPlace() const { return context_.initialRoundOver && context_.catalogue.has_value(); }
  bool start();
  PlanInput picture();
  void holdBack(PlanInput& in) const;
  Duration bootTime() const;
  void onPlan(const PlanInput& input, const Plan& plan);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  TaskFacts& facts_;
  TaskDuty& tasks_;
  PlanRunner& planner_;
  Instant nextPlan_{};  // plans take a bounded share of the time
  std::map<JobId, std::uint32_t> unplaced_;
  WaitBook waits_;
};

}  // namespace kestrelhoist
