/// \file
/// Declares the log of the workers that sent the newest heartbeats of each zone. A request to one
/// of them shows whether the path to the workers works.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

/// Records the two workers of each zone that sent the newest heartbeats, and the zone of each
/// worker. The class performs no I/O and is not thread-safe.
class ReporterLog {
 public:
  /// Creates an empty log. A worker is preferred as the newest one of its zone only if its last
  /// heartbeat is no older than `maxHeartbeatAge`.
  explicit ReporterLog(Duration maxHeartbeatAge) : maxHeartbeatAge_(maxHeartbeatAge) {}

  /// Records that a heartbeat of the worker at `address` arrived.
  void record(const std::string& address, const ZoneId& zone, Instant at);
  /// Returns the worker in the zone, other than the one at `address`, whose heartbeat is the
  /// newest. If that heartbeat is not recent, the search covers all zones.
  std::optional<std::string> newestExcept(const std::string& address, const ZoneId& zone,
                                          Instant now) const;
  /// Returns the zone of the worker at `address`, or no value if it sent no heartbeat recently.
  std::optional<ZoneId> zoneOf(const std::string& address) const;
  /// Removes workers that have sent no heartbeat for a long time.
  void expire(Instant now);

 private:
  struct Reporter {
    std::string address;
    Instant at;
  };
  /// Holds two workers with the newest one first. If one of them is the worker to be excluded, the
  /// other one is returned.
  using Newest = std::array<std::optional<Reporter>, 2>;
  struct Known {
    ZoneId zone;
    Instant at;
  };
  static const Reporter* newestOf(const Newest& newest, const std::string& except);

  const Duration maxHeartbeatAge_;
  std::map<ZoneId, Newest> newest_;
  std::map<std::string, Known> known_;
};

}  // namespace kestrelhoist
