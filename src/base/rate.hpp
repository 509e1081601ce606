/// \file
/// Implements a token bucket. Clients use it to stay below a server's rate limit and avoid 429
/// answers, and the member service uses it to limit members' requests.
#pragma once

#include <algorithm>

#include "base/types.hpp"

namespace kestrelhoist {

/// Implements a token bucket whose level may become negative.
class TokenBucket {
 public:
  TokenBucket(double perSecond, double burst) : rate_(perSecond), burst_(burst), level_(burst) {}

  /// Takes the tokens and returns true if there are enough; otherwise returns false.
  bool take(Instant now, double amount) {
    refill(now);
    // An amount above the burst is allowed once the bucket is full, and makes the level negative.
    if (level_ < std::min(amount, burst_)) return false;
    level_ -= amount;
    return true;
  }

  /// Takes the tokens in any case; the level may become negative.
  void charge(Instant now, double amount) {
    refill(now);
    level_ -= amount;
  }

  /// Returns the time until `amount` can be taken.
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
