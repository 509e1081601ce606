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

}  // namespace kestrelhoist
