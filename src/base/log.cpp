#include "base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>

namespace kestrelhoist {

bool setupLogging(const std::string& member) {
  auto logger = std::make_shared<spdlog::logger>(member.empty() ? "kestrelhoist" : member,
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %l %v");
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  std::string name = level ? level : "info";
  bool known = true;
  if (name == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (name == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    spdlog::set_level(spdlog::level::info);
    known = name == "info";
  }
  return known;
}

}  // namespace kestrelhoist
