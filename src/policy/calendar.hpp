/// \file
/// When periods are open, by local time in an IANA zone. Pure; daylight saving, midnight, days that
/// lack or repeat an hour and holidays are the library's zone data and the rules below.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "policy/document.hpp"

namespace kestrelhoist {

/// One opening of a period. Times of day are milliseconds since 1970, UTC.
struct Occurrence {
  std::size_t period{};  ///< index in the calendar
  std::int64_t opensMs{}, closesMs{};
};

bool knownZone(const std::string& zone);
/// The one that is open at this time, if any.
std::optional<Occurrence> openAt(const Calendar& calendar, std::int64_t atMs);
/// The first that opens after this time, within the next ten days.
std::optional<Occurrence> nextAfter(const Calendar& calendar, std::int64_t atMs);
/// Two periods that are open at the same time in some week of the year, if any.
std::optional<std::pair<std::size_t, std::size_t>> overlapping(const Calendar& calendar);

}  // namespace kestrelhoist
