// Gives machines up: first the mark on record that a machine gets no more work, then the cloud's
// 200, then the end of its entry.
#pragma once

#include "placement/task_facts.hpp"

namespace kestrelhoist {

class ReleaseDuty : public ControlLoop {
 public:
  ReleaseDuty(LeaderContext& context, Fleet& fleet, TaskFacts& facts)
      : context_(context), fleet_(fleet), facts_(facts) {}

  LoopStep next() override;
  void onTimer() override { start(); }

 private:
  void start();

  LeaderContext& context_;
  Fleet& fleet_;
  TaskFacts& facts_;
  std::set<MachineId> releasing_;         // asked, no answer yet
  std::set<MachineId> releaseConfirmed_;  // 200, still on record
};

}  // namespace kestrelhoist
