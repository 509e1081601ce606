/// \file
/// Selects the controller that receives the next request, and the time of a retry. The classes do
/// no I/O: the caller passes in the current time and the outcomes of requests.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/rate.hpp"

namespace kestrelhoist::client {

/// Tracks which controllers respond. After a failure the router sends no request to that controller
/// for a pause that grows with each further failure. After the pause the controller receives one
/// request at a time until it responds.
class Router {
 public:
  Router(std::vector<std::string> addresses, std::uint64_t seed);

  /// The result of choose().
  struct Choice {
    std::optional<std::size_t> address;
    Duration wait{};  ///< The time until the next call of choose(), if there is no address.
  };
  /// Returns the address for the next request. The caller must report the outcome of that request
  /// to recordResponse(), recordFailure() or recordCancellation(). The result differs from `avoid`
  /// if another controller can receive the request.
  Choice choose(Instant now, std::optional<std::size_t> avoid = std::nullopt);
  /// Records a response of a working controller. `responseTime` is the time between request and
  /// response.
  void recordResponse(std::size_t address, Duration responseTime);
  /// Records that a controller did not respond or could not process the request. `minPause` is the
  /// shortest pause that the controller asked for.
  void recordFailure(std::size_t address, Instant now, Duration minPause = Duration{0});
  /// Records that the client cancelled the request before its outcome was certain.
  void recordCancellation(std::size_t address) { at(address).probing = false; }
  /// Returns an address other than `first` without recent failures, to which a hedged request can
  /// go.
  std::optional<std::size_t> alternativeTo(std::size_t first) const;

  const std::string& name(std::size_t address) const { return addresses_[address].name; }
  std::size_t size() const { return addresses_.size(); }
  /// Returns the response time above which a read is hedged.
  Duration slowThreshold() const;
  /// Returns a random duration between `low` and `high`.
  Duration randomBetween(Duration low, Duration high);

 private:
  struct Address {
    std::string name;
    int consecutiveFailures = 0;
    bool probing = false;
    Duration pause{0};
    Instant pausedUntil{};
  };
  Address& at(std::size_t i) { return addresses_[i]; }

  std::vector<Address> addresses_;
  std::size_t preferred_ = 0;      ///< The controller that responded last.
  double averageResponseMs_ = 50;  ///< The exponential moving average of the response times.
  std::mt19937_64 random_;
};

/// Computes the pauses between the attempts of one call. The pauses are random (decorrelated
/// jitter), so that clients that failed at the same time do not retry at the same time.
class Backoff {
 public:
  Duration next(Router& random);
  void reset() { last_ = Duration{0}; }

 private:
  Duration last_{0};
};

}  // namespace kestrelhoist::client
