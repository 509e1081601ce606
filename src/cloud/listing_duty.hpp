// Reads the cloud's machine types and its list of machines.
#pragma once

#include "cloud/client.hpp"
#include "fleet/dispatch.hpp"

namespace kestrelhoist {

class ListingDuty : public ControlLoop {
 public:
  ListingDuty(LeaderContext& context, Fleet& fleet, Dispatch& dispatch)
      : context_(context), fleet_(fleet), dispatch_(dispatch) {}

  LoopStep next() override { return LoopStep::idle(); }
  void onTimer() override;

 private:
  void readTypes();
  void readList();

  LeaderContext& context_;
  Fleet& fleet_;
  Dispatch& dispatch_;
  bool asked_ = false;  // the types
  Instant nextList_{};
  bool listing_ = false;
};

}  // namespace kestrelhoist
