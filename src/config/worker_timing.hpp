/// \file
/// Times of the workers' heartbeats that the protocol fixes (PROTOCOL, "Workers"). No setting
/// changes them.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// The time that a worker waits for the answer to a heartbeat.
inline constexpr Duration kWorkerAnswerTimeout{4000};
/// The delay after a failed heartbeat until the worker tries the next controller.
inline constexpr Duration kWorkerNextControllerDelay{1000};
/// The time from a heartbeat whose answer is lost to the worker's next heartbeat.
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
