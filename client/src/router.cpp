#include "client/src/router.hpp"

namespace kestrelhoist::client {
namespace {
constexpr Duration kFirstPause{300};
constexpr Duration kLongestPause{8000};
constexpr Duration kBackoffBase{200};
constexpr Duration kBackoffMost{10000};
constexpr Duration kProbeUnderWay{100};
constexpr Duration kSlowLeast{150}, kSlowMost{1000};
}  // namespace

Router::Router(std::vector<std::string> addresses, std::uint64_t seed) : random_(seed) {
  for (auto& a : addresses) addresses_.push_back({std::move(a)});
  // The first controller is random, which spreads the clients over all controllers.
  if (!addresses_.empty()) preferred_ = random_() % addresses_.size();
}

Router::Choice Router::choose(Instant now, std::optional<std::size_t> avoid) {
  const std::size_t n = addresses_.size();
  auto usable = [&](const Address& a) {
    return a.failures == 0 || (!a.probing && now >= a.restsUntil);
  };
  // The first pass considers controllers without failures, starting with the one that responded
  // last. The second pass considers controllers whose pause is over.
  for (bool rested : {false, true}) {
    for (std::size_t k = 0; k < n; ++k) {
      std::size_t i = (preferred_ + k) % n;
      if ((avoid && *avoid == i && n > 1) || !usable(at(i)) || (at(i).failures > 0) != rested) {
        continue;
      }
      at(i).probing = rested;
      return {i, Duration{0}};
    }
  }
  if (avoid && n > 1) return choose(now);
  Duration wait = kLongestPause;
  for (const auto& a : addresses_) {
    wait = std::min(wait, a.probing ? kProbeUnderWay : a.restsUntil - now);
  }
  return {std::nullopt, std::max(Duration{1}, wait)};
}

void Router::answered(std::size_t i, Duration took) {
  Address& a = at(i);
  a.failures = 0;
  a.probing = false;
  a.pause = Duration{0};
  preferred_ = i;
  usualMs_ += 0.1 * (static_cast<double>(took.count()) - usualMs_);
}

void Router::failed(std::size_t i, Instant now, Duration rest) {
  Address& a = at(i);
  ++a.failures;
  a.probing = false;
  a.pause = std::min(kLongestPause, between(kFirstPause, std::max(kFirstPause, a.pause * 3)));
  a.restsUntil = std::max(a.restsUntil, now + std::max(a.pause, rest));
  if (preferred_ == i && !addresses_.empty()) preferred_ = (i + 1) % addresses_.size();
}

std::optional<std::size_t> Router::other(std::size_t than) const {
  for (std::size_t k = 1; k < addresses_.size(); ++k) {
    std::size_t i = (than + k) % addresses_.size();
    if (addresses_[i].failures == 0) return i;
  }
  return std::nullopt;
}

Duration Router::slow() const {
  return std::clamp(Duration{static_cast<std::int64_t>(3 * usualMs_)}, kSlowLeast, kSlowMost);
}

Duration Router::between(Duration low, Duration high) {
  if (high <= low) return low;
  return Duration{std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random_)};
}

Duration Backoff::next(Router& random) {
  last_ = std::min(kBackoffMost, random.between(kBackoffBase, std::max(kBackoffBase, last_ * 3)));
  return last_;
}

}  // namespace kestrelhoist::client
