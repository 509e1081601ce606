/// \file
/// Which controller is asked, and when again. Pure: time and outcomes in, decisions out.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/rate.hpp"

namespace kestrelhoist::client {

/// Remembers of each address whether it answered. One that did not is left alone for a growing
/// pause, then tried with one request at a time until it answers again.
class Router {
 public:
  Router(std::vector<std::string> addresses, std::uint64_t seed);

  struct Choice {
    std::optional<std::size_t> address;
    Duration wait{};  ///< without an address: when to ask here again
  };
  /// The address for the next request, which must be told with `answered`, `failed` or `dropped`.
  /// `avoid`: not this one, if there is another.
  Choice choose(Instant now, std::optional<std::size_t> avoid = std::nullopt);
  /// Any answer of a controller that serves.
  void answered(std::size_t address, Duration took);
  /// No answer, or one that it can't serve now; `rest`: as long as it asked to be left alone.
  void failed(std::size_t address, Instant now, Duration rest = Duration{0});
  /// The request was given up: nothing was learnt.
  void dropped(std::size_t address) { at(address).probing = false; }
  /// Another address that is in order, for a second request while the first is slow.
  std::optional<std::size_t> other(std::size_t than) const;

  const std::string& name(std::size_t address) const { return addresses_[address].name; }
  std::size_t size() const { return addresses_.size(); }
  /// A controller that takes longer than this is slow.
  Duration slow() const;
  Duration between(Duration low, Duration high);  ///< drawn

 private:
  struct Address {
    std::string name;
    int failures = 0;  ///< in a row
    bool probing = false;
    Duration pause{0};
    Instant restsUntil{};
  };
  Address& at(std::size_t i) { return addresses_[i]; }

  std::vector<Address> addresses_;
  std::size_t preferred_ = 0;  ///< answered last
  double usualMs_ = 50;        ///< time of an answer, smoothed
  std::mt19937_64 random_;
};

/// Pauses between the tries of one call: decorrelated, so that clients that failed together do not
/// come back together.
class Backoff {
 public:
  Duration next(Router& random);
  void reset() { last_ = Duration{0}; }

 private:
  Duration last_{0};
};

}  // namespace kestrelhoist::client
