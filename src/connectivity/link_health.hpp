/// Health of one network link, derived from the traffic that flows over it anyway.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

enum class LinkState { unknown, up, degraded, down };

/// The state's name as it appears to operators.
const char* toString(LinkState state);

/// Tracks the health of one link from the send times of requests and whether they were answered.
/// The class performs no I/O and is not thread-safe.
class LinkHealth {
 public:
  /// Records that the request sent at `sent` has been answered.
  void onAnswered(Instant sent);
  /// Records that the request sent at `sent` went unanswered.
  void onFailed(Instant sent);

  bool failing() const { return failingSince_.has_value(); }
  /// The send time of the first request of the current series of failures.
  std::optional<Instant> failingSince() const { return failingSince_; }
  /// The send time of the newest request that went unanswered.
  std::optional<Instant> lastFailed() const { return lastFailed_; }
  /// The number of failures in a row.
  int failures() const { return failures_; }
  /// The send time of the newest request that was answered.
  std::optional<Instant> lastGood() const { return lastGood_; }

  /// Returns `down` once the link has failed for `downAfter`, and `unknown` for a link that has
  /// never been tried.
  LinkState state(Instant now, Duration downAfter) const;

 private:
  std::optional<Instant> lastGood_, failingSince_, lastFailed_;
  int failures_ = 0;
};

}  // namespace kestrelhoist
