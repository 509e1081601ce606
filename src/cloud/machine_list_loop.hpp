/// \file
/// Reads the cloud's machine types and its list of machines.
#pragma once

#include "cloud/client.hpp"
#include "fleet/initial_round.hpp"

namespace kestrelhoist {

class MachineListLoop : public ControlLoop {
 public:
  MachineListLoop(LeaderContext& context, Fleet& fleet, InitialRound& initialRound)
      : context_(context), fleet_(fleet), initialRound_(initialRound) {}

  LoopStep next() override { return LoopStep::idle(); }
  void onTimer() override;

 private:
  void readTypes();
  void readList();

  LeaderContext& context_;
  Fleet& fleet_;
  InitialRound& initialRound_;
  bool asked_ = false;  ///< the types
  Instant nextList_{};
  bool listing_ = false;
};

}  // namespace kestrelhoist
