#include "client/src/router.hpp"

namespace kestrelhoist::client {
namespace {
constexpr Duration kMinPause{300};
constexpr Duration kMaxPause{8000};
constexpr Duration kMinBackoff{200};
constexpr Duration kMaxBackoff{10000};
constexpr Duration kProbeCheckInterval{100};
constexpr Duration kMinSlowThreshold{150}, kMaxSlowThreshold{1000};
}  // namespace

Router::Router(std::vector<std::string> addresses, std::uint64_t seed) : random_(seed) {
  for (auto& a : addresses) addresses_.push_back({std::move(a)});
  // The first controller is random, which spreads the clients over all controllers.
  if (!addresses_.empty()) preferred_ = random_() % addresses_.size();
}

Router::Choice Router::choose(Instant now, std::optional<std::size_t> avoid) {
  const std::size_t n = addresses_.size();
  auto usable = [&](const Address& a) {
    return a.consecutiveFailures == 0 || (!a.probing && now >= a.pausedUntil);
  };
  // The first pass considers controllers without failures, starting with the one that responded
  // last. The second pass considers controllers whose pause is over.
  for (bool retryFailed : {false, true}) {
    for (std::size_t k = 0; k < n; ++k) {
      std::size_t i = (preferred_ + k) % n;
      if ((avoid && *avoid == i && n > 1) || !usable(at(i)) ||
          (at(i).consecutiveFailures > 0) != retryFailed) {
        continue;
      }
      at(i).probing = retryFailed;
      return {i, Duration{0}};
    }
  }
  if (avoid && n > 1) return choose(now);
  Duration wait = kMaxPause;
  for (const auto& a : addresses_) {
    wait = std::min(wait, a.probing ? kProbeCheckInterval : a.pausedUntil - now);
  }
  return {std::nullopt, std::max(Duration{1}, wait)};
}

void Router::recordResponse(std::size_t i, Duration responseTime) {
  Address& a = at(i);
  a.consecutiveFailures = 0;
  a.probing = false;
  a.pause = Duration{0};
  preferred_ = i;
  averageResponseMs_ += 0.1 * (static_cast<double>(responseTime.count()) - averageResponseMs_);
}

void Router::recordFailure(std::size_t i, Instant now, Duration minPause) {
  Address& a = at(i);
  ++a.consecutiveFailures;
  a.probing = false;
  a.pause = std::min(kMaxPause, randomBetween(kMinPause, std::max(kMinPause, a.pause * 3)));
  a.pausedUntil = std::max(a.pausedUntil, now + std::max(a.pause, minPause));
  if (preferred_ == i && !addresses_.empty()) preferred_ = (i + 1) % addresses_.size();
}

std::optional<std::size_t> Router::alternativeTo(std::size_t first) const {
  for (std::size_t k = 1; k < addresses_.size(); ++k) {
    std::size_t i = (first + k) % addresses_.size();
    if (addresses_[i].consecutiveFailures == 0) return i;
  }
  return std::nullopt;
}

Duration Router::slowThreshold() const {
  return std::clamp(Duration{static_cast<std::int64_t>(3 * averageResponseMs_)}, kMinSlowThreshold,
                    kMaxSlowThreshold);
}

Duration Router::randomBetween(Duration low, Duration high) {
  if (high <= low) return low;
  return Duration{std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random_)};
}

Duration Backoff::next(Router& random) {
  last_ =
      std::min(kMaxBackoff, random.randomBetween(kMinBackoff, std::max(kMinBackoff, last_ * 3)));
  return last_;
}

}  // namespace kestrelhoist::client
