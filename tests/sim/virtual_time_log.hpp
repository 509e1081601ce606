/// \file
/// Makes the log lines of simulated worlds show virtual time.
#pragma once

#include <spdlog/pattern_formatter.h>

#include <memory>
#include <string>

#include "sim/virtual_time.hpp"

namespace kestrelhoist::sim {

/// Formats the virtual time of the most recently created world in milliseconds.
class VirtualTimeFlag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg&, const std::tm&,
              spdlog::memory_buf_t& destination) override {
    const std::string text = std::to_string(VirtualClock::newestClockNow());
    destination.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return spdlog::details::make_unique<VirtualTimeFlag>();
  }
};

/// Makes each later log line begin with the virtual time instead of the time of day.
inline void logVirtualTime() {
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<VirtualTimeFlag>('*').set_pattern("%* %l %v");
  spdlog::set_formatter(std::move(formatter));
}

}  // namespace kestrelhoist::sim
