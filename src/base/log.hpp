/// \file
/// Logs: an event's name and keys with values, one line each, to standard error.
#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

#include "base/types.hpp"

namespace kestrelhoist {

enum class LogFormat { text, json };

/// The level comes from LOG_LEVEL (error, info, debug). False if it is unknown (info is used then).
bool setupLogging(const std::string& member, LogFormat format = LogFormat::text);

namespace log_detail {
/// One line being put together, in the form that was set up.
class Line {
 public:
  explicit Line(std::string_view event);
  void add(std::string_view key, std::string_view value);
  void add(std::string_view key, const std::string& value) { add(key, std::string_view(value)); }
  void add(std::string_view key, const char* value) { add(key, std::string_view(value)); }
  void add(std::string_view key, bool value) { bare(key, value ? "true" : "false"); }
  template <class Tag>
  void add(std::string_view key, const Name<Tag>& name) {
    add(key, std::string_view(name.value));
  }
  template <class Tag, class Rep>
  void add(std::string_view key, Number<Tag, Rep> number) {
    add(key, number.value);
  }
  void add(std::string_view key, Duration d) { bare(key, std::to_string(d.count())); }
  template <class T>
  requires std::is_arithmetic_v<T>
  void add(std::string_view key, T value) {
    if constexpr (std::is_floating_point_v<T>) {
      bare(key, fmt::format("{:.2f}", value));
    } else {
      bare(key, std::to_string(value));
    }
  }
  const std::string& text() const { return text_; }

 private:
  void bare(std::string_view key, const std::string& value);
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

/// logInfo("job accepted", "job", id, "tasks", n). Durations are milliseconds. Never a key's
/// secret, and of a member's job only the name that the service gave it.
template <class... Fields>
void logInfo(std::string_view event, const Fields&... fields) {
  log_detail::write(spdlog::level::info, event, fields...);
}
template <class... Fields>
void logDebug(std::string_view event, const Fields&... fields) {
  log_detail::write(spdlog::level::debug, event, fields...);
}
template <class... Fields>
void logError(std::string_view event, const Fields&... fields) {
  log_detail::write(spdlog::level::err, event, fields...);
}

}  // namespace kestrelhoist
