// When each worker's report was last answered here: what a new leader needs to know of workers that
// it does not hear (until when their tasks can run), and what no leader takes with it when it ends.
// It decides when a release is asked for, never what counts as gone.
#pragma once

#include <map>

#include "base/runtime.hpp"

namespace kestrelhoist {

class HeartbeatAckLog {
 public:
  void record(const MachineId& machine, Instant reportCame) {
    auto& at = at_[machine];
    at = std::max(at, reportCame);
  }
  void expire(Instant now) {
    std::erase_if(at_, [&](const auto& e) { return now - e.second > kForget; });
  }
  const std::map<MachineId, Instant>& entries() const { return at_; }

  // {machine: milliseconds since}
  Json toJson(Instant now) const {
    Json out = Json::object();
    for (const auto& [machine, at] : at_) out[machine.value] = (now - at).count();
    return out;
  }
  static std::map<MachineId, Instant> parse(const Json& v, Instant came) {
    std::map<MachineId, Instant> out;
    if (!v.is_object()) return out;
    for (const auto& [name, age] : v.items()) {
      if (age.is_number_unsigned() || age.is_number_integer()) {
        // Counted from when it came here: an upper bound.
        out[MachineId{name}] = came - Duration{age.get<std::int64_t>()};
      }
    }
    return out;
  }

 private:
  static constexpr Duration kForget{10 * 60 * 1000};
  std::map<MachineId, Instant> at_;
};

}  // namespace kestrelhoist
