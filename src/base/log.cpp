#include "base/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace kestrelhoist {
namespace {

LogFormat logFormat = LogFormat::text;

std::string jsonText(std::string_view text) {
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns whether a value can be written without quotes, because nothing in it looks like the next
// field.
bool needsNoQuotes(std::string_view text) {
  return text.find_first_of(" =\"\\\n\t") == std::string_view::npos;
}

}  // namespace

bool setupLogging(const std::string& member, LogFormat format) {
  logFormat = format;
  std::string name = member.empty() ? "kestrelhoist" : member;
  auto logger =
      std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  if (format == LogFormat::json) {
    logger->set_pattern("{\"t\":\"%Y-%m-%dT%H:%M:%S.%e\",\"member\":" + jsonText(name) +
                        ",\"level\":\"%l\",%v}");
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %l %v");
  }
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  std::string levelName = level ? level : "info";
  bool known = true;
  if (levelName == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (levelName == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    spdlog::set_level(spdlog::level::info);
    known = levelName == "info";
  }
  return known;
}

namespace log_detail {

Line::Line(std::string_view event) {
  text_ = logFormat == LogFormat::json ? "\"event\":" + jsonText(event) : std::string(event);
}

void Line::add(std::string_view key, std::string_view value) {
  if (value.empty()) return;
  appendField(key, logFormat == LogFormat::json || !needsNoQuotes(value) ? jsonText(value)
                                                                         : std::string(value));
}

void Line::appendField(std::string_view key, const std::string& value) {
  if (logFormat == LogFormat::json) {
    text_ += ',' + jsonText(key) + ':' + value;
  } else {
    text_ += ' ' + std::string(key) + '=' + value;
  }
}

}  // namespace log_detail
}  // namespace kestrelhoist
