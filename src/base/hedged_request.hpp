/// \file
/// Implements hedged requests. A request that is not answered soon is sent a second time, and the
/// first usable answer is taken. Only idempotent requests may be hedged.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "base/runtime.hpp"

namespace kestrelhoist {

/// Holds the delay until a request is sent a second time, and its timeout. Both are counted from
/// the first send.
struct HedgeTimes {
  Duration repeatAfter;
  Duration timeout;
};

/// Runs one hedged request. It keeps itself alive by shared_from_this until `done` is called.
template <class Result>
class HedgedRequest : public std::enable_shared_from_this<HedgedRequest<Result>> {
 public:
  /// Sends the request with this timeout and calls `done` exactly once.
  using Send = std::function<void(Duration timeout, std::function<void(Result)> done)>;
  /// Returns whether the result is a failure, so that the answer to the other send is awaited.
  using IsFailure = std::function<bool(const Result&)>;
  /// Receives the first usable result and the time at which its request was sent. If both sends
  /// fail, it receives the later failure and the time of the first send.
  using Done = std::function<void(Instant sentAt, Result result)>;

  HedgedRequest(Runtime& runtime, Send send, IsFailure isFailure, Done done)
      : runtime_(runtime),
        send_(std::move(send)),
        isFailure_(std::move(isFailure)),
        done_(std::move(done)) {}

  /// Sends the request. `onRepeated` is called before the second send, if there is one. It may be
  /// null.
  void start(HedgeTimes times, const std::function<void()>& onRepeated) {
    firstSentAt_ = runtime_.now();
    sendOnce(times.timeout);
    if (times.timeout <= times.repeatAfter) return;
    runtime_.after(times.repeatAfter, [self = this->shared_from_this(), times, onRepeated] {
      if (self->settled_) return;
      if (onRepeated) onRepeated();
      self->sendOnce(times.timeout - times.repeatAfter);
    });
  }

 private:
  void sendOnce(Duration timeout) {
    ++pendingSends_;
    send_(timeout, [self = this->shared_from_this(), sentAt = runtime_.now()](Result result) {
      self->onResult(sentAt, std::move(result));
    });
  }

  void onResult(Instant sentAt, Result result) {
    --pendingSends_;
    if (settled_) return;
    const bool failed = isFailure_(result);
    if (failed && pendingSends_ > 0) return;
    settled_ = true;
    done_(failed ? firstSentAt_ : sentAt, std::move(result));
  }

  Runtime& runtime_;
  Send send_;
  IsFailure isFailure_;
  Done done_;
  Instant firstSentAt_{};
  int pendingSends_ = 0;  ///< This counts the sends that have no result yet.
  bool settled_ = false;
};

}  // namespace kestrelhoist
