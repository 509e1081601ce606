#pragma once

#include <spdlog/spdlog.h>

#include <string>

namespace kestrelhoist {

// Logs to standard error; the level comes from LOG_LEVEL (error, info, debug).
// False if the level is unknown (info is used then).
bool setupLogging(const std::string& member);

}  // namespace kestrelhoist
