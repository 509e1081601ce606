// Commits what has been proven of tasks, and placements of a plan. Launches follow the commit.
#pragma once

#include "fleet/command_dispatcher.hpp"
#include "placement/confirmed_outcomes.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

class TaskLoop : public ControlLoop {
 public:
  TaskLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher,
           ConfirmedOutcomes& outcomes)
      : context_(context), fleet_(fleet), dispatcher_(dispatcher), outcomes_(outcomes) {}

  LoopStep next() override { return LoopStep::committing(commit(nullptr, nullptr)); }
  void onRecordsChanged(bool byOthers) override {
    if (byOthers) sendStops();
  }
  // Tasks that are no longer wanted are told so at once, and again with every report.
  void sendStops();
  // Facts that are due and, with a plan, its placements that still hold.
  std::optional<Commit> commit(const PlanInput* input, const Plan* plan);

 private:
  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  ConfirmedOutcomes& outcomes_;
  std::set<AttemptId> stopsSent_;  // stops of cancelled jobs that were sent directly once
};

}  // namespace kestrelhoist
