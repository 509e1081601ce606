#include "policy/calendar.hpp"

#include <date/tz.h>

#include <algorithm>

namespace kestrelhoist {
namespace {

using date::days;
using Ms = std::chrono::milliseconds;

std::int64_t utcMs(const date::time_zone* zone, date::local_days day, int minute, bool opens) {
  auto local = day + std::chrono::minutes{minute};
  // A local time that daylight saving skips is mapped to the end of the skipped hour. If a local
  // time occurs twice, a period opens at the first occurrence and closes at the second.
  auto choose = opens ? date::choose::earliest : date::choose::latest;
  auto at = zone->to_sys(std::chrono::time_point_cast<std::chrono::seconds>(local), choose);
  return std::chrono::duration_cast<Ms>(at.time_since_epoch()).count();
}

// Returns all occurrences that open between `before` local days before a time and `after` local
// days after it, in the order of their opening.
std::vector<Occurrence> occurrencesAround(const Calendar& c, std::int64_t atMs, int before,
                                          int after) {
  std::vector<Occurrence> out;
  if (c.periods.empty()) return out;
  const date::time_zone* zone = nullptr;
  try {
    zone = date::locate_zone(c.zone);
  } catch (const std::exception&) {
    return out;
  }
  auto now = date::sys_time<Ms>{Ms{atMs}};
  auto today = date::floor<days>(zone->to_local(now));
  for (int d = -before; d <= after; ++d) {
    auto day = today + days{d};
    if (std::find(c.holidays.begin(), c.holidays.end(), date::format("%F", day)) !=
        c.holidays.end()) {
      continue;
    }
    auto weekday = date::weekday{day}.iso_encoding() - 1;
    for (std::size_t i = 0; i < c.periods.size(); ++i) {
      const Period& p = c.periods[i];
      if (!p.days[weekday]) continue;
      auto last = p.toMinute > p.fromMinute ? day : day + days{1};
      Occurrence o{i, utcMs(zone, day, p.fromMinute, true), utcMs(zone, last, p.toMinute, false)};
      if (o.closesMs > o.opensMs) out.push_back(o);
    }
  }
  std::sort(out.begin(), out.end(),
            [](const Occurrence& a, const Occurrence& b) { return a.opensMs < b.opensMs; });
  return out;
}

}  // namespace

bool isKnownTimeZone(const std::string& zone) {
  try {
    return date::locate_zone(zone) != nullptr;
  } catch (const std::exception&) {
    return false;
  }
}

std::optional<Occurrence> occurrenceAt(const Calendar& c, std::int64_t atMs) {
  for (const auto& o : occurrencesAround(c, atMs, 2, 1)) {
    if (o.opensMs <= atMs && atMs < o.closesMs) return o;
  }
  return std::nullopt;
}

std::optional<Occurrence> nextOccurrenceAfter(const Calendar& c, std::int64_t atMs) {
  for (const auto& o : occurrencesAround(c, atMs, 1, 10)) {
    if (o.opensMs > atMs) return o;
  }
  return std::nullopt;
}

std::optional<std::pair<std::size_t, std::size_t>> findOverlap(const Calendar& calendar) {
  // One week in winter and one in summer show every overlap: holidays only remove occurrences, and
  // daylight saving changes shift both periods equally.
  Calendar c = calendar;
  c.holidays.clear();
  for (std::int64_t week : {1736726400000LL, 1752451200000LL}) {  // 2025-01-13, 2025-07-14
    auto all = occurrencesAround(c, week, 1, 9);
    for (std::size_t i = 0; i + 1 < all.size(); ++i) {
      if (all[i + 1].opensMs < all[i].closesMs) {
        return std::minmax(all[i].period, all[i + 1].period);
      }
    }
  }
  return std::nullopt;
}

}  // namespace kestrelhoist
