#include "store/records.hpp"

#include <bit>

namespace kestrelhoist {

void TaskBits::set(std::uint32_t offset) {
  if (bytes_.size() <= offset / 8) bytes_.resize(offset / 8 + 1);
  bytes_[offset / 8] |= static_cast<std::uint8_t>(1U << (offset % 8));
}

bool TaskBits::test(std::uint32_t offset) const {
  return offset / 8 < bytes_.size() && ((bytes_[offset / 8] >> (offset % 8)) & 1U) != 0;
}

std::uint32_t TaskBits::count() const {
  std::uint32_t n = 0;
  for (auto b : bytes_) n += static_cast<std::uint32_t>(std::popcount(b));
  return n;
}

std::string TaskBits::toHex() const {
  static const char* const digits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes_.size() * 2);
  for (auto b : bytes_) {
    out += digits[b >> 4];
    out += digits[b & 15];
  }
  return out;
}

std::optional<TaskBits> TaskBits::fromHex(const std::string& text) {
  auto digit = [](char c) -> int {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    return -1;
  };
  if (text.size() % 2 != 0 || text.size() > kPerChunk / 4) return std::nullopt;
  TaskBits bits;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    int high = digit(text[i]), low = digit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bits.bytes_.push_back(static_cast<std::uint8_t>(high * 16 + low));
  }
  return bits;
}

namespace {
const char* phaseWord(JobPhase p) {
  switch (p) {
    case JobPhase::done:
      return "done";
    case JobPhase::cancelled:
      return "cancelled";
    default:
      return "active";
  }
}
}  // namespace

Json toJson(const JobRecord& r) {
  return {{"spec", jobSpecToJson(*r.spec)}, {"phase", phaseWord(r.phase)}, {"at", r.acceptedAtMs}};
}

Json toJson(const MachineRecord& r) {
  Json tasks = Json::array();
  for (const auto& t : r.tasks) {
    tasks.push_back({t.task.job.value, t.task.index, t.attempt.value});
  }
  return {{"type", r.type.value},      {"zone", r.zone.value},     {"spot", r.spot},
          {"address", r.address},      {"tenure", r.tenure.value}, {"leaving", r.leaving},
          {"rented_at", r.rentedAtMs}, {"tasks", std::move(tasks)}};
}

Json toJson(const HireRecord& r) {
  return {{"type", r.type.value}, {"zone", r.zone.value}, {"spot", r.spot}, {"count", r.count}};
}

Json toJson(const LeaderRecord& r) { return {{"member", r.member.value}, {"boot", r.boot}}; }

std::optional<JobRecord> jobRecordFrom(const JobId& id, const Json& v) {
  const Json* spec = field(v, "spec");
  auto phase = textField(v, "phase");
  if (!spec || !phase) return std::nullopt;
  auto parsed = jobSpecFromJson(id, *spec);
  if (!parsed) return std::nullopt;
  JobRecord r;
  r.spec = std::make_shared<const JobSpec>(std::move(*parsed));
  r.phase = *phase == "done"        ? JobPhase::done
            : *phase == "cancelled" ? JobPhase::cancelled
                                    : JobPhase::active;
  r.acceptedAtMs = static_cast<std::int64_t>(countField(v, "at").value_or(0));
  return r;
}

std::optional<MachineRecord> machineRecordFrom(const Json& v) {
  auto type = textField(v, "type");
  auto zone = textField(v, "zone");
  auto spot = boolField(v, "spot");
  const Json* tasks = field(v, "tasks");
  if (!type || !zone || !spot || !tasks || !tasks->is_array()) return std::nullopt;
  MachineRecord r;
  r.type = TypeId{*type};
  r.zone = ZoneId{*zone};
  r.spot = *spot;
  r.address = textField(v, "address").value_or("");
  r.tenure = Tenure{countField(v, "tenure").value_or(0)};
  r.leaving = boolField(v, "leaving").value_or(false);
  r.rentedAtMs = static_cast<std::int64_t>(countField(v, "rented_at").value_or(0));
  for (const auto& t : *tasks) {
    if (!t.is_array() || t.size() != 3 || !t[0].is_string() || !t[1].is_number_unsigned() ||
        !t[2].is_number_unsigned()) {
      return std::nullopt;
    }
    r.tasks.push_back({{JobId{t[0].get<std::string>()}, t[1].get<std::uint32_t>()},
                       Attempt{t[2].get<std::uint64_t>()}});
  }
  return r;
}

std::optional<HireRecord> hireRecordFrom(const HireId& id, const Json& v) {
  auto type = textField(v, "type");
  auto zone = textField(v, "zone");
  auto spot = boolField(v, "spot");
  auto count = countField(v, "count");
  if (!type || !zone || !spot || !count) return std::nullopt;
  return HireRecord{id, TypeId{*type}, ZoneId{*zone}, *spot, static_cast<std::uint32_t>(*count)};
}

std::optional<LeaderRecord> leaderRecordFrom(const Json& v) {
  auto member = textField(v, "member");
  if (!member) return std::nullopt;
  return LeaderRecord{MemberId{*member}, textField(v, "boot").value_or("")};
}

}  // namespace kestrelhoist
