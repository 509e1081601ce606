/// \file
/// When ready instances are made into jobs. The state service's changes are the scarce thing, so
/// instances gather into arrays while the flow has other work in hand. Pure.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

struct ReleaseView {
  std::size_t ready{};    ///< instances that could be made into jobs now
  std::size_t batch{};    ///< of how many one array is filled
  Duration oldest{};      ///< for how long the first of them has been ready
  std::size_t queued{};   ///< tasks of this flow that wait for room
  std::size_t running{};  ///< tasks of this flow that may be on machines
  std::size_t ended{};    ///< instances that have ended
  std::size_t changes{};  ///< that this flow's advance has cost in this leadership
};

inline bool releaseNow(const ReleaseView& v) {
  constexpr Duration kGather{700};      // what ends in one round of reports becomes one array
  constexpr Duration kPatience{20000};  // however much it costs
  constexpr double kChangesPerInstance = 0.05;
  constexpr double kFree = 60;  // so that small flows never wait
  if (v.ready == 0) return false;
  if (v.ready >= v.batch || v.oldest >= kPatience) return true;
  // Nothing else is in hand: every moment would be lost.
  if (v.queued == 0 && v.running == 0) return true;
  if (v.oldest < kGather) return false;
  if (static_cast<double>(v.changes) <=
      kFree + kChangesPerInstance * static_cast<double>(v.ended)) {
    return true;
  }
  // Machines may fall idle soon.
  return v.queued == 0 && v.ready * 4 >= v.running;
}

}  // namespace kestrelhoist
