/// \file
/// Computes when calendar periods open and close, in the local time of an IANA time zone. The
/// functions handle daylight saving changes, periods across midnight and holidays. They are pure,
/// except that they read the time zone data of the date library.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "policy/document.hpp"

namespace kestrelhoist {

/// Describes one opening of a period. Times are milliseconds since 1970-01-01 UTC.
struct Occurrence {
  std::size_t period{};  ///< is an index into Calendar::periods
  std::int64_t opensMs{}, closesMs{};
};

/// Returns whether the time zone data contain this zone.
bool isKnownTimeZone(const std::string& zone);
/// Returns the occurrence that is open at this time; nullopt if none is.
std::optional<Occurrence> occurrenceAt(const Calendar& calendar, std::int64_t atMs);
/// Returns the first occurrence that opens after this time; nullopt if none opens within the next
/// ten days.
std::optional<Occurrence> nextOccurrenceAfter(const Calendar& calendar, std::int64_t atMs);
/// Returns two periods that are open at the same time in some week of the year; nullopt if none
/// are.
std::optional<std::pair<std::size_t, std::size_t>> findOverlap(const Calendar& calendar);

}  // namespace kestrelhoist
