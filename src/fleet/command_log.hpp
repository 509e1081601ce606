/// \file
/// Logs the commands to workers, so that a record of an incident shows why a task started.
#pragma once

#include <vector>

#include "fleet/heartbeat_messages.hpp"

namespace kestrelhoist {

/// Logs each command at the debug level. `path` is "direct" or "heartbeat", and
/// `report` is the report from which the commands were derived.
void logCommands(const char* path, const Report& report, FencingToken token,
                 const std::vector<WorkerCommand>& commands);

}  // namespace kestrelhoist
