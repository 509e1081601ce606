/// \file
/// Hedged requests: a request that is not answered soon is sent once more, and the first usable
/// answer counts. Only for requests that may be carried out twice.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "base/runtime.hpp"

namespace kestrelhoist {

/// When a request is repeated and given up, both counted from its first send.
struct HedgeTimes {
  Duration repeatAfter;
  Duration timeout;
};

/// One hedged request. It keeps itself alive until it is settled.
template <class Result>
class HedgedRequest : public std::enable_shared_from_this<HedgedRequest<Result>> {
 public:
  /// Sends the request with this timeout and calls back once.
  using Send = std::function<void(Duration timeout, std::function<void(Result)> done)>;
  /// Whether the result is worth waiting for the other send's.
  using IsFailure = std::function<bool(const Result&)>;
  /// Receives the result that counts and when its request was sent; of two failures the last, as
  /// sent first.
  using Done = std::function<void(Instant sentAt, Result result)>;

  HedgedRequest(Runtime& runtime, Send send, IsFailure isFailure, Done done)
      : runtime_(runtime),
        send_(std::move(send)),
        isFailure_(std::move(isFailure)),
        done_(std::move(done)) {}

  /// Sends the request. `onRepeated` is called if it is sent once more; it may be null.
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
    ++awaited_;
    send_(timeout, [self = this->shared_from_this(), sentAt = runtime_.now()](Result result) {
      self->onResult(sentAt, std::move(result));
    });
  }

  void onResult(Instant sentAt, Result result) {
    --awaited_;
    if (settled_) return;
    const bool failed = isFailure_(result);
    if (failed && awaited_ > 0) return;
    settled_ = true;
    done_(failed ? firstSentAt_ : sentAt, std::move(result));
  }

  Runtime& runtime_;
  Send send_;
  IsFailure isFailure_;
  Done done_;
  Instant firstSentAt_{};
  int awaited_ = 0;  ///< sends that may still be answered
  bool settled_ = false;
};

}  // namespace kestrelhoist
