#include "connectivity/link_health.hpp"

#include <algorithm>

namespace kestrelhoist {

const char* toString(LinkState state) {
  switch (state) {
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

void LinkHealth::onAnswered(Instant sent) {
  lastGood_ = std::max(lastGood_.value_or(sent), sent);
  if (failingSince_ && sent >= *failingSince_) failingSince_.reset();
  if (!failingSince_) failures_ = 0;
}

void LinkHealth::onFailed(Instant sent) {
  lastFailed_ = std::max(lastFailed_.value_or(sent), sent);
  // A request that was sent later got a response, so the link has recovered since this failure.
  if (lastGood_ && sent < *lastGood_) return;
  if (!failingSince_) failingSince_ = sent;
  ++failures_;
}

LinkState LinkHealth::state(Instant now, Duration downAfter) const {
  if (failingSince_) {
    return now - *failingSince_ >= downAfter ? LinkState::down : LinkState::degraded;
  }
  return lastGood_ ? LinkState::up : LinkState::unknown;
}

}  // namespace kestrelhoist
