// Plans on a copied picture, one at a time; its placements are committed in the same turn.
#pragma once

#include "placement/runner.hpp"
#include "placement/task_duty.hpp"
#include "placement/waiting.hpp"

namespace kestrelhoist {

class PlanDuty : public Duty {
 public:
  PlanDuty(Leadership& leadership, Fleet& fleet, Dispatch& dispatch, TaskFacts& facts,
           TaskDuty& tasks, PlanRunner& planner)
      : leadership_(leadership),
        fleet_(fleet),
        dispatch_(dispatch),
        facts_(facts),
        tasks_(tasks),
        planner_(planner) {}

  Turn next() override { return start() ? Turn::hold() : Turn::pass(); }
  void changed(bool) override { leadership_.replan = true; }
  void tick() override { leadership_.replan = true; }  // pauses and patience end with time
  // Tasks that found no room, by the last plan.
  const std::map<JobId, std::uint32_t>& unplaced() const { return unplaced_; }

  // Why tasks wait, by the last plan.
  const WaitBook& waits() const { return waits_; }
  // What stands between this job and machines that it may use; null: just no room.
  std::function<Waits(const JobSpec&)> roomReason;

 private:
  bool mayPlace() const { return leadership_.settled && leadership_.catalogue.has_value(); }
  bool start();
  PlanInput picture();
  void holdBack(PlanInput& in) const;
  Duration bootTime() const;
  void onPlan(const PlanInput& input, const Plan& plan);

  Leadership& leadership_;
  Fleet& fleet_;
  Dispatch& dispatch_;
  TaskFacts& facts_;
  TaskDuty& tasks_;
  PlanRunner& planner_;
  Instant nextPlan_{};  // plans take a bounded share of the time
  std::map<JobId, std::uint32_t> unplaced_;
  WaitBook waits_;
};

}  // namespace kestrelhoist
