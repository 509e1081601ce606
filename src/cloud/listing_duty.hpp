// Reads the cloud's machine types and its list of machines.
#pragma once

#include "cloud/client.hpp"
#include "fleet/dispatch.hpp"

namespace kestrelhoist {

class ListingDuty : public Duty {
 public:
  ListingDuty(Leadership& leadership, Fleet& fleet, Dispatch& dispatch)
      : leadership_(leadership), fleet_(fleet), dispatch_(dispatch) {}

  Turn next() override { return Turn::pass(); }
  void tick() override;

 private:
  void readTypes();
  void readList();

  Leadership& leadership_;
  Fleet& fleet_;
  Dispatch& dispatch_;
  bool asked_ = false;  // the types
  Instant nextList_{};
  bool listing_ = false;
};

}  // namespace kestrelhoist
