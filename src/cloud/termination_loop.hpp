/// \file
/// Gives machines up: first the mark on record that a machine gets no more work, then the cloud's
/// 200, then the end of its entry.
#pragma once

#include "placement/confirmed_outcomes.hpp"

namespace kestrelhoist {

class TerminationLoop : public ControlLoop {
 public:
  TerminationLoop(LeaderContext& context, Fleet& fleet, ConfirmedOutcomes& outcomes)
      : context_(context), fleet_(fleet), outcomes_(outcomes) {}

  LoopStep next() override;
  void onTimer() override { start(); }

 private:
  void start();

  LeaderContext& context_;
  Fleet& fleet_;
  ConfirmedOutcomes& outcomes_;
  std::set<MachineId> terminationUnderWay_;  ///< asked, no answer yet
  std::set<MachineId> terminated_;           ///< 200, still on record
};

}  // namespace kestrelhoist
