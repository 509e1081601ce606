/// \file
/// Implements admission control for members' requests. It consists of rate limits for each member,
/// a fair queue for writes, and load shedding when the controller falls behind. The classes do no
/// I/O and take the time as an argument. A request that is not admitted is refused at once instead
/// of being delayed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>

#include "base/rate.hpp"
#include "members/records.hpp"

namespace kestrelhoist {

/// Lists the kinds of members' requests, from the last one shed under overload to the first.
/// Workers' heartbeats have precedence over all of them and are not subject to admission control.
enum class RequestKind { cancel, submit, poll, list };
/// Returns the name of the kind, as used in metrics and logs.
const char* toString(RequestKind kind);

/// Holds the limits of one member on one controller.
struct MemberLimits {
  /// This rate and burst limit submissions and cancellations.
  double submitsPerS = 10, submitBurst = 200;
  /// This rate and burst limit polls, lists and watches.
  double readsPerS = 50, readBurst = 400;
  /// This rate and burst limit the bytes of request and response bodies together.
  double bytesPerS = 256 * 1024, bytesBurst = 4 * 1024 * 1024;
  /// This limits the number of watches that are held open at the same time.
  std::size_t watches = 64;
  /// This limits the number of writes that wait in the fair queue.
  std::size_t queued = 64;
};

/// Measures how late the controller's timers fire, and decides which requests to shed.
class LoadGauge {
 public:
  /// Records that a timer set for `due` fired after `took`.
  void recordTimer(Duration due, Duration took);
  /// Returns whether requests of this kind are admitted at the present lateness.
  bool admits(RequestKind kind) const;
  /// Returns the present lateness of the timers.
  Duration lateness() const { return lateness_; }

 private:
  /// The lateness rises at once and falls by half with each tick that is on time.
  Duration lateness_{0};
};

/// Enforces the members' rate limits with token buckets.
class MemberRates {
 public:
  MemberRates(MemberLimits limits, std::uint64_t seed) : limits_(limits), random_(seed) {}
  /// Takes the tokens for a request of this size and returns nullopt. If there are too few tokens,
  /// returns the seconds after which the client should retry; they contain a random jitter so that
  /// clients refused at the same time don't retry at the same time.
  std::optional<int> refuse(Instant now, const Owner& owner, RequestKind kind, std::size_t bytes);
  /// Takes the bytes of an answer from the member's byte bucket, which may become negative. Later
  /// requests are then refused until the bucket has refilled.
  void charge(Instant now, const Owner& owner, std::size_t bytes);
  /// Returns a retry delay in seconds of at least `atLeast` (but at most 30 s) with random jitter.
  int jitteredDelayS(Duration atLeast);
  /// Returns the number of members that have buckets at present.
  std::size_t memberCount() const { return buckets_.size(); }

 private:
  struct Buckets {
    TokenBucket submits, reads, bytes;
    Instant used{};
  };
  Buckets& bucketsOf(Instant now, const Owner& owner);

  MemberLimits limits_;
  std::mt19937_64 random_;
  std::map<Owner, Buckets> buckets_;
  Instant lastCleanup_{};
};

/// Queues members' writes fairly. It limits the writes in progress; the others wait in a queue
/// for each member, and the queues are served round-robin. Cancellations go before submissions.
class FairQueue {
 public:
  /// `maxInProgress` limits the writes in progress, `maxPerMember` those that wait for one member,
  /// and `maxTotal` those that wait in total. `tryTakeToken` takes a token for one write and
  /// returns false if there is none; if it is null, there is no such rate limit.
  FairQueue(std::size_t maxInProgress, std::size_t maxPerMember, std::size_t maxTotal,
            std::function<bool()> tryTakeToken = nullptr)
      : maxInProgress_(maxInProgress),
        maxPerMember_(maxPerMember),
        maxTotal_(maxTotal),
        tryTakeToken_(std::move(tryTakeToken)) {}
  /// Calls `start` at once or when the write is dequeued. Returns false if the queue is full.
  bool offer(const Owner& owner, RequestKind kind, std::function<void()> start);
  /// Records that a started write was answered, and starts waiting ones.
  void finished();
  /// Starts waiting writes as far as the limits allow.
  void startWaiting();
  /// Returns the number of writes that wait.
  std::size_t waiting() const { return waiting_; }
  /// Returns the number of writes in progress.
  std::size_t inProgress() const { return inProgress_; }

 private:
  /// Holds the queues of all members for one kind of write.
  struct MemberQueues {
    std::map<Owner, std::deque<std::function<void()>>> byMember;
    Owner lastServed;  ///< This member's write was dequeued last.
    /// Dequeues the next write round-robin; returns null if there is none.
    std::function<void()> dequeue();
  };
  std::size_t maxInProgress_, maxPerMember_, maxTotal_;
  std::function<bool()> tryTakeToken_;
  std::size_t waiting_ = 0, inProgress_ = 0;
  MemberQueues cancellations_, submissions_;
};

}  // namespace kestrelhoist
