/// \file
/// How much at once: each member's rates, turns among members when not everything can be taken, and
/// what is given up first when the controller falls behind. Pure: time and requests in, decisions
/// out. Nothing is held back to keep a client quiet: what is not taken is refused at once.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>

#include "base/rate.hpp"
#include "members/records.hpp"

namespace kestrelhoist {

/// In the order in which they are served under overload. Workers' reports come before all of them
/// and never pass here.
enum class Work { cancel, submit, poll, list };
const char* wordOf(Work work);

struct MemberLimits {
  double submitsPerS = 10, submitBurst = 200;                   ///< submissions and cancellations
  double readsPerS = 50, readBurst = 400;                       ///< polls, lists, watches
  double bytesPerS = 256 * 1024, bytesBurst = 4 * 1024 * 1024;  ///< of bodies, both ways
  std::size_t watches = 64;  ///< held open at a time, on one controller
  std::size_t queued = 64;   ///< submissions that wait for their turn
};

/// By how much the controller's timers are late: what it should no longer take.
class LoadGauge {
 public:
  /// A timer that was due after `due` came after `took`.
  void note(Duration due, Duration took);
  bool takes(Work work) const;
  Duration lateness() const { return late_; }

 private:
  Duration late_{0};  ///< rises at once, falls by half with each timely tick
};

/// Rates of the members, as token buckets.
class MemberRates {
 public:
  MemberRates(MemberLimits limits, std::uint64_t seed) : limits_(limits), random_(seed) {}
  /// Takes a request of this size. Otherwise: seconds after which to come back, spread so that
  /// those who were refused together do not come back together.
  std::optional<int> refuse(Instant now, const Owner& owner, Work work, std::size_t bytes);
  /// Bytes of an answer: a debt that later requests wait for.
  void charge(Instant now, const Owner& owner, std::size_t bytes);
  int spread(Duration atLeast);
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

/// At most so many writes of members are in work at a time. The others wait, and members take
/// turns, whatever each of them has waiting; cancellations go before submissions.
class FairTurns {
 public:
  /// `room`: takes what one more costs, if it is there now; null: no such bound.
  FairTurns(std::size_t inWork, std::size_t perMember, std::size_t all,
            std::function<bool()> room = nullptr)
      : inWork_(inWork), perMember_(perMember), all_(all), room_(std::move(room)) {}
  /// Calls `start`, now or in its turn. False: too many wait.
  bool offer(const Owner& owner, Work work, std::function<void()> start);
  /// One that was started has its answer.
  void finished();
  /// There may be room again.
  void pump();
  std::size_t waiting() const { return waiting_; }
  std::size_t working() const { return working_; }

 private:
  struct Lane {
    std::map<Owner, std::deque<std::function<void()>>> queues;
    Owner last;  ///< who had a turn last
    std::function<void()> take();
  };
  std::size_t inWork_, perMember_, all_;
  std::function<bool()> room_;
  std::size_t waiting_ = 0, working_ = 0;
  Lane cancels_, submits_;
};

}  // namespace kestrelhoist
