/// \file
/// Declares the health of one network link, which is derived from the regular traffic on it.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// Lists the states of a link.
enum class LinkState { unknown, up, degraded, down };

/// Returns the name under which operators see the state.
const char* toString(LinkState state);

/// Tracks the health of one link from the send times of requests and whether they were answered.
/// The class performs no I/O and is not thread-safe.
class LinkHealth {
 public:
  /// Records that the request sent at `sent` got a response.
  void onAnswered(Instant sent);
  /// Records that the request sent at `sent` got no response.
  void onFailed(Instant sent);

  bool failing() const { return failingSince_.has_value(); }
  /// Returns the send time of the first request of the current series of failures.
  std::optional<Instant> failingSince() const { return failingSince_; }
  /// Returns the send time of the newest request that got no response.
  std::optional<Instant> lastFailed() const { return lastFailed_; }
  /// Returns the number of consecutive failures.
  int failures() const { return failures_; }
  /// Returns the send time of the newest request that got a response.
  std::optional<Instant> lastGood() const { return lastGood_; }

  /// Returns `down` once the link has failed for `downAfter`, and `unknown` if no request was ever
  /// sent over the link.
  LinkState state(Instant now, Duration downAfter) const;

 private:
  std::optional<Instant> lastGood_, failingSince_, lastFailed_;
  int failures_ = 0;
};

}  // namespace kestrelhoist
