/// \file
/// Converts between numbers of tasks and numbers of machines, by the share of a machine that one
/// task takes.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace kestrelhoist {

/// A task that takes less than this share of a machine counts as if it took this share, so that
/// numbers of tasks per machine are finite.
inline constexpr double kMinTaskShare = 1e-6;

/// Returns the share of a machine that a task counts as.
inline double countedShare(double share) { return std::max(kMinTaskShare, share); }

/// Returns how many tasks that take `share` of a machine each fit into `machines` machines, but at
/// most `most`. Machines may be divided among tasks as needed.
inline std::uint32_t tasksFor(double machines, double share, std::uint32_t most) {
  constexpr double kRoundingTolerance = 1e-6;
  double tasks = std::floor(machines / countedShare(share) + kRoundingTolerance);
  return static_cast<std::uint32_t>(std::clamp(tasks, 0.0, static_cast<double>(most)));
}

}  // namespace kestrelhoist
