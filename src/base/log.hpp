/// \file
/// Writes structured logs to standard error. Each line has an event and its fields as keys and
/// values.
#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

#include "base/types.hpp"

namespace kestrelhoist {

/// Selects the format of the log lines.
enum class LogFormat { text, json };

/// Sets up the logger for a process with this name. The level comes from the environment variable
/// LOG_LEVEL (error, info or debug). Returns false if the level is unknown; info is used then.
bool setupLogging(const std::string& member, LogFormat format = LogFormat::text);

namespace log_detail {
/// Builds one log line in the format given to setupLogging().
class Line {
 public:
  explicit Line(std::string_view event);
  void add(std::string_view key, std::string_view value);
  void add(std::string_view key, const std::string& value) { add(key, std::string_view(value)); }
  void add(std::string_view key, const char* value) { add(key, std::string_view(value)); }
  void add(std::string_view key, bool value) { appendField(key, value ? "true" : "false"); }
  template <class Tag>
  void add(std::string_view key, const Name<Tag>& name) {
    add(key, std::string_view(name.value));
  }
  template <class Tag, class Rep>
  void add(std::string_view key, Number<Tag, Rep> number) {
    add(key, number.value);
  }
  void add(std::string_view key, Duration d) { appendField(key, std::to_string(d.count())); }
  template <class T>
  requires std::is_arithmetic_v<T>
  void add(std::string_view key, T value) {
    if constexpr (std::is_floating_point_v<T>) {
      appendField(key, fmt::format("{:.2f}", value));
    } else {
      appendField(key, std::to_string(value));
    }
  }
  const std::string& text() const { return text_; }

 private:
  void appendField(std::string_view key, const std::string& value);
  std::string text_;
};

inline void fill(Line&) {}
template <class V, class... Rest>
void fill(Line& line, std::string_view key, const V& value, const Rest&... rest) {
  line.add(key, value);
  fill(line, rest...);
}

template <class... Fields>
void write(spdlog::level::level_enum level, std::string_view event, const Fields&... fields) {
  static_assert(sizeof...(fields) % 2 == 0, "keys and values");
  if (!spdlog::should_log(level)) return;
  Line line(event);
  fill(line, fields...);
  spdlog::log(level, "{}", line.text());
}
}  // namespace log_detail

/// Logs an event with its fields, as in logInfo("job accepted", "job", id, "tasks", n). Durations
/// are written in milliseconds. Callers must not log the secret of a key, and must log a member's
/// job by the id from memberJob() only.
template <class... Fields>
void logInfo(std::string_view event, const Fields&... fields) {
  log_detail::write(spdlog::level::info, event, fields...);
}
/// Logs an event at the debug level.
template <class... Fields>
void logDebug(std::string_view event, const Fields&... fields) {
  log_detail::write(spdlog::level::debug, event, fields...);
}
/// Logs an event at the error level.
template <class... Fields>
void logError(std::string_view event, const Fields&... fields) {
  log_detail::write(spdlog::level::err, event, fields...);
}

}  // namespace kestrelhoist
