/// \file
/// Which workers reported last, by zone: whom to ask in order to learn whether the way to the
/// workers works.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

/// Remembers the two workers of each zone that reported last, and the zone of each address. It
/// performs no I/O and is not thread-safe.
class ReporterLog {
 public:
  /// @param freshFor For how long after its report a worker counts as one that reports.
  explicit ReporterLog(Duration freshFor) : freshFor_(freshFor) {}

  /// The worker at `address` has reported.
  void record(const std::string& address, const ZoneId& zone, Instant at);
  /// The worker other than `address` that reported last in the zone; if none did lately, in any
  /// zone.
  std::optional<std::string> newestBeside(const std::string& address, const ZoneId& zone,
                                          Instant now) const;
  /// The zone of a worker that reported lately.
  std::optional<ZoneId> zoneOf(const std::string& address) const;
  /// Drops workers that have not reported for long.
  void expire(Instant now);

 private:
  struct Reporter {
    std::string address;
    Instant at;
  };
  /// The newest first. Two, so that one is left when the other is the one in question.
  using Newest = std::array<std::optional<Reporter>, 2>;
  struct Known {
    ZoneId zone;
    Instant at;
  };
  static const Reporter* newestOf(const Newest& newest, const std::string& except);

  const Duration freshFor_;
  std::map<ZoneId, Newest> newest_;
  std::map<std::string, Known> known_;
};

}  // namespace kestrelhoist
