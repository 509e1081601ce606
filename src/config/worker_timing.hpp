/// \file
/// The workers' side of heartbeats (PROTOCOL, "Workers"), which no setting changes.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// How long a worker waits for the answer to a heartbeat.
inline constexpr Duration kWorkerAnswerTimeout{4000};
/// How long after a failed heartbeat it tries the next controller.
inline constexpr Duration kWorkerNextControllerDelay{1000};
/// From a heartbeat whose answer is lost to the next one.
inline constexpr Duration kWorkerRetryAfterLostAnswer =
    kWorkerAnswerTimeout + kWorkerNextControllerDelay;

/// Workers report every `reportEvery`, give or take a quarter.
constexpr Duration longestHeartbeatInterval(Duration reportEvery) { return reportEvery * 5 / 4; }
/// How much later than that a heartbeat may be before it counts as overdue.
inline constexpr Duration kHeartbeatLateMargin{1000};
/// After how long without a heartbeat the next one is overdue.
constexpr Duration heartbeatDueAfter(Duration reportEvery) {
  return longestHeartbeatInterval(reportEvery) + kHeartbeatLateMargin;
}

}  // namespace kestrelhoist
