/// \file
/// Defines times of the workers' heartbeats, which the protocol fixes (PROTOCOL, "Workers"). No
/// setting changes them.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// A worker waits this long for the answer to a heartbeat.
inline constexpr Duration kWorkerAnswerTimeout{4000};
/// A worker waits this long after a failed heartbeat before it tries the next controller.
inline constexpr Duration kWorkerNextControllerDelay{1000};
/// A worker whose heartbeat answer is lost sends its next heartbeat this long after the first one.
inline constexpr Duration kWorkerRetryAfterLostAnswer =
    kWorkerAnswerTimeout + kWorkerNextControllerDelay;

/// Returns the longest interval between two heartbeats of a worker. The worker varies the interval
/// `reportEvery` by up to a quarter.
constexpr Duration maxHeartbeatInterval(Duration reportEvery) { return reportEvery * 5 / 4; }
/// A heartbeat counts as overdue if it is later than the longest interval by more than this.
inline constexpr Duration kHeartbeatLateMargin{1000};
/// Returns the time since a worker's last heartbeat after which the next one is overdue.
constexpr Duration heartbeatDueAfter(Duration reportEvery) {
  return maxHeartbeatInterval(reportEvery) + kHeartbeatLateMargin;
}

}  // namespace kestrelhoist
