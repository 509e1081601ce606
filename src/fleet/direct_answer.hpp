/// \file
/// Applies the report with which a worker answers a direct request.
#pragma once

#include "base/runtime.hpp"
#include "fleet/fleet.hpp"

namespace kestrelhoist {

/// Applies the report in a worker's answer to a direct command or probe, and the outcomes that the
/// report proves. No commands are derived for sending: commands are sent in the answer to the next
/// heartbeat. Returns false if the answer contains no newer report of the machine.
bool applyDirectAnswer(Fleet& fleet, Machine& machine, const Response& response, Instant now);

}  // namespace kestrelhoist
