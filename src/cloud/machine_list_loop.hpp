/// \file
/// Reads the machine types and the list of rented machines from the cloud.
#pragma once

#include "cloud/client.hpp"
#include "fleet/initial_round.hpp"

namespace kestrelhoist {

/// Reads the machine types once and the list of machines periodically.
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
  bool typesRequested_ = false;  ///< Is true if the machine types were requested.
  Instant nextListAt_{};
  bool listRequested_ = false;
};

}  // namespace kestrelhoist
