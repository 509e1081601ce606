/// \file
/// Admission control for members' requests: rate limits for each member, a fair queue for writes,
/// and load shedding when the controller falls behind. The classes do no I/O and take the time as
/// an argument. A request that is not admitted is refused at once instead of being delayed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>

#include "base/rate.hpp"
#include "members/records.hpp"

namespace kestrelhoist {

/// The kinds of members' requests, from the last one shed under overload to the first. Workers'
/// heartbeats have precedence over all of them and are not subject to admission control.
enum class Work { cancel, submit, poll, list };
/// Returns the name of the kind, as used in metrics and logs.
const char* wordOf(Work work);

/// The limits of one member on one controller.
struct MemberLimits {
  /// These two limit submissions and cancellations.
  double submitsPerS = 10, submitBurst = 200;
  /// These two limit polls, lists and watches.
  double readsPerS = 50, readBurst = 400;
  /// These two limit the bytes of request and response bodies together.
  double bytesPerS = 256 * 1024, bytesBurst = 4 * 1024 * 1024;
  /// Limits the watches that are held open at the same time.
  std::size_t watches = 64;
  /// Limits the writes that wait in the fair queue.
  std::size_t queued = 64;
};

/// Measures how late the controller's timers fire, and decides which requests to shed.
class LoadGauge {
 public:
  /// Records that a timer set for `due` fired after `took`.
  void note(Duration due, Duration took);
  /// Whether requests of this kind are admitted at the present lateness.
  bool takes(Work work) const;
  /// Returns the present lateness of the timers.
  Duration lateness() const { return late_; }

 private:
  /// The lateness rises at once and falls by half with each tick that is on time.
  Duration late_{0};
};

/// Enforces the members' rate limits with token buckets.
class MemberRates {
 public:
  MemberRates(MemberLimits limits, std::uint64_t seed) : limits_(limits), random_(seed) {}
  /// Takes the tokens for a request of this size and returns nullopt. If there are too few tokens,
  /// returns the seconds after which the client should retry; they contain a random jitter so that
  /// clients refused at the same time don't retry at the same time.
  std::optional<int> refuse(Instant now, const Owner& owner, Work work, std::size_t bytes);
  /// Takes the bytes of an answer from the member's byte bucket, which may become negative. Later
  /// requests are then refused until the bucket has refilled.
  void charge(Instant now, const Owner& owner, std::size_t bytes);
  /// Returns a retry delay in seconds of at least `atLeast` (but at most 30 s) with random jitter.
  int spread(Duration atLeast);
  /// Returns the number of members that have buckets at present.
  std::size_t known() const { return buckets_.size(); }

 private:
  struct Buckets {
    RateBudget submits, reads, bytes;
    Instant used{};
  };
  Buckets& of(Instant now, const Owner& owner);

  MemberLimits limits_;
  std::mt19937_64 random_;
  std::map<Owner, Buckets> buckets_;
  Instant tidied_{};
};

/// A fair queue for members' writes. It limits the writes in progress; the others wait in a queue
/// for each member, and the queues are served round-robin. Cancellations go before submissions.
class FairTurns {
 public:
  /// `inWork` limits the writes in progress, `perMember` those that wait for one member, and `all`
  /// those that wait in total. `room` takes a token for one write and returns false if there is
  /// none; if it is null, there is no such rate limit.
  FairTurns(std::size_t inWork, std::size_t perMember, std::size_t all,
            std::function<bool()> room = nullptr)
      : inWork_(inWork), perMember_(perMember), all_(all), room_(std::move(room)) {}
  /// Calls `start` at once or when the write is dequeued. Returns false if the queue is full.
  bool offer(const Owner& owner, Work work, std::function<void()> start);
  /// Records that a started write was answered, and starts waiting ones.
  void finished();
  /// Starts waiting writes as far as the limits allow.
  void pump();
  /// Returns the number of writes that wait.
  std::size_t waiting() const { return waiting_; }
  /// Returns the number of writes in progress.
  std::size_t working() const { return working_; }

 private:
  /// The queues of all members for one kind of write.
  struct Lane {
    std::map<Owner, std::deque<std::function<void()>>> queues;
    Owner last;  ///< The member whose write was dequeued last.
    /// Dequeues the next write round-robin; returns null if there is none.
    std::function<void()> take();
  };
  std::size_t inWork_, perMember_, all_;
  std::function<bool()> room_;
  std::size_t waiting_ = 0, working_ = 0;
  Lane cancels_, submits_;
};

}  // namespace kestrelhoist
