/// \file
/// A token bucket, so that our side paces itself instead of running into 429.
#pragma once

#include <algorithm>

#include "base/types.hpp"

namespace kestrelhoist {

class RateBudget {
 public:
  RateBudget(double perSecond, double burst) : rate_(perSecond), burst_(burst), level_(burst) {}

  bool take(Instant now, double amount) {
    refill(now);
    // An amount above the burst goes once the bucket is full and leaves a debt.
    if (level_ < std::min(amount, burst_)) return false;
    level_ -= amount;
    return true;
  }

  /// Takes it in any case; what is not there is a debt.
  void charge(Instant now, double amount) {
    refill(now);
    level_ -= amount;
  }

  /// Time until `amount` can be taken.
  Duration waitFor(Instant now, double amount) {
    refill(now);
    double missing = std::min(amount, burst_) - level_;
    if (missing <= 0) return Duration{0};
    return Duration{static_cast<std::int64_t>(missing / rate_ * 1000.0) + 1};
  }

 private:
  void refill(Instant now) {
    if (now > last_) {
      level_ = std::min(burst_, level_ + rate_ * toSeconds(now - last_));
      last_ = now;
    }
  }
  double rate_, burst_, level_;
  Instant last_{};
};

}  // namespace kestrelhoist
