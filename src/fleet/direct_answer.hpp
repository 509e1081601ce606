/// \file
/// Takes in the report with which a worker answers a direct request.
#pragma once

#include "base/runtime.hpp"
#include "fleet/fleet.hpp"

namespace kestrelhoist {

/// Applies the report in a worker's answer to a direct command or probe, and what it proves. Only
/// facts are taken from it: commands go with the next heartbeat. False if there is no newer report
/// of the machine in it.
bool applyDirectAnswer(Fleet& fleet, Machine& machine, const Response& response, Instant now);

}  // namespace kestrelhoist
