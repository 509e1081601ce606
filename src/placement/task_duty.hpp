// Commits what has been proven of tasks, and placements of a plan. Launches follow the commit.
#pragma once

#include "fleet/command_dispatcher.hpp"
#include "placement/planner.hpp"
#include "placement/task_facts.hpp"

namespace kestrelhoist {

class TaskDuty : public ControlLoop {
 public:
  TaskDuty(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher, TaskFacts& facts)
      : context_(context), fleet_(fleet), dispatcher_(dispatcher), facts_(facts) {}

  LoopStep next() override { return LoopStep::committing(commit(nullptr, nullptr)); }
  void onRecordsChanged(bool byOthers) override {
    if (byOthers) tellStops();
  }
  // Tasks that are no longer wanted are told so at once, and again with every report.
  void tellStops();
  // Facts that are due and, with a plan, its placements that still hold.
  std::optional<Commit> commit(const PlanInput* input, const Plan* plan);

 private:
  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  TaskFacts& facts_;
  std::set<AttemptId> told_;  // stops of cancelled jobs that were sent directly once
};

}  // namespace kestrelhoist
