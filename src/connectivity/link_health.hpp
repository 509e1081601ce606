// How one link of a controller does, from the traffic that flows over it anyway: pure, told what
// was sent when and whether an answer came.
#pragma once

#include <algorithm>
#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

enum class LinkState { unknown, up, degraded, down };

inline const char* toString(LinkState s) {
  switch (s) {
    case LinkState::unknown:
      return "unknown";
    case LinkState::up:
      return "up";
    case LinkState::degraded:
      return "doubtful";
    default:
      return "down";
  }
}

class LinkHealth {
 public:
  // `sent`: when what was answered, or was not, had been sent.
  void onAnswered(Instant sent) {
    lastGood_ = std::max(lastGood_.value_or(sent), sent);
    if (failing_ && sent >= *failing_) failing_.reset();
    if (!failing_) failures_ = 0;
  }
  void onFailed(Instant sent) {
    lastFailed_ = std::max(lastFailed_.value_or(sent), sent);
    // An answer to something sent later has already shown it up.
    if (lastGood_ && sent < *lastGood_) return;
    if (!failing_) failing_ = sent;
    ++failures_;
  }

  bool failing() const { return failing_.has_value(); }
  // When the first of what goes unanswered now was sent.
  std::optional<Instant> failingSince() const { return failing_; }
  // When the newest that went unanswered was sent.
  std::optional<Instant> lastFailed() const { return lastFailed_; }
  int failures() const { return failures_; }  // in a row
  // When the newest that was answered had been sent.
  std::optional<Instant> lastGood() const { return lastGood_; }

  // Down once it has failed for `downAfter`; what was never tried is not taken for up or down.
  LinkState state(Instant now, Duration downAfter) const {
    if (failing_) return now - *failing_ >= downAfter ? LinkState::down : LinkState::degraded;
    return lastGood_ ? LinkState::up : LinkState::unknown;
  }

 private:
  std::optional<Instant> lastGood_, failing_, lastFailed_;
  int failures_ = 0;
};

}  // namespace kestrelhoist
