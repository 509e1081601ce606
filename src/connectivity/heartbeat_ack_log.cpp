#include "connectivity/heartbeat_ack_log.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

constexpr Duration kRetention{10 * 60 * 1000};

}  // namespace

void HeartbeatAckLog::record(const MachineId& machine, Instant receivedAt) {
  auto& newest = acknowledgedAt_[machine];
  newest = std::max(newest, receivedAt);
}

void HeartbeatAckLog::expire(Instant now) {
  std::erase_if(acknowledgedAt_,
                [&](const auto& entry) { return now - entry.second > kRetention; });
}

Json HeartbeatAckLog::toJson(Instant now) const {
  Json out = Json::object();
  for (const auto& [machine, at] : acknowledgedAt_) out[machine.value] = (now - at).count();
  return out;
}

std::map<MachineId, Instant> HeartbeatAckLog::parse(const Json& v, Instant receivedAt) {
  std::map<MachineId, Instant> out;
  if (!v.is_object()) return out;
  for (const auto& [machine, age] : v.items()) {
    if (age.is_number_unsigned() || age.is_number_integer()) {
      out[MachineId{machine}] = receivedAt - Duration{age.get<std::int64_t>()};
    }
  }
  return out;
}

}  // namespace kestrelhoist
