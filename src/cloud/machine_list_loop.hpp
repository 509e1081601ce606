/// \file
/// Reads the cloud's machine types and its list of machines.
#pragma once

#include "cloud/client.hpp"
#include "fleet/command_dispatcher.hpp"

namespace kestrelhoist {

class MachineListLoop : public ControlLoop {
 public:
  MachineListLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher)
      : context_(context), fleet_(fleet), dispatcher_(dispatcher) {}

  LoopStep next() override { return LoopStep::idle(); }
  void onTimer() override;

 private:
  void readTypes();
  void readList();

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  bool asked_ = false;  ///< the types
  Instant nextList_{};
  bool listing_ = false;
};

}  // namespace kestrelhoist
