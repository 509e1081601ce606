#include "store/records.hpp"

#include <algorithm>
#include <bit>

namespace kestrelhoist {

void TaskBits::set(std::uint32_t offset, bool on) {
  auto bit = static_cast<std::uint8_t>(1U << (offset % 8));
  if (on && bytes_.size() <= offset / 8) bytes_.resize(offset / 8 + 1);
  if (on) {
    bytes_[offset / 8] |= bit;
  } else if (offset / 8 < bytes_.size()) {
    bytes_[offset / 8] &= static_cast<std::uint8_t>(~bit);
  }
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
  if (text.size() % 2 != 0 || text.size() > kMaxBits / 4) return std::nullopt;
  TaskBits bits;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    int high = digit(text[i]), low = digit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bits.bytes_.push_back(static_cast<std::uint8_t>(high * 16 + low));
  }
  return bits;
}

namespace {
const char* phaseName(JobPhase p) {
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

std::uint32_t chunkSizeFor(std::size_t valueBytes) {
  // A task that shares its machine with no other task takes this many bytes of JSON text.
  constexpr std::size_t kBytesPerTask = 56;
  constexpr std::size_t kOverheadBytes = 512;
  std::size_t fits =
      valueBytes > kOverheadBytes ? (valueBytes - kOverheadBytes) / kBytesPerTask : 0;
  return static_cast<std::uint32_t>(std::clamp<std::size_t>(fits, 8, TaskBits::kMaxBits));
}

Write endedJobWrite(const JobId& id, const JobRecord& record, Revision revision,
                    const CommitLimits& limits) {
  Write write{keys::job(id), toJson(record), std::nullopt};
  if (jsonBytes(*write.value) <= limits.limits().valueBytes &&
      !limits.isSetAside({{{write.key, revision}}, {write}})) {
    return write;
  }
  JobSpec spec = *record.spec;
  spec.dependsOn.clear();
  spec.types.reset();
  JobRecord shorter = record;
  shorter.spec = std::make_shared<const JobSpec>(std::move(spec));
  write.value = toJson(shorter);
  return write;
}

// At most, the placement adds a row, which has one run and follows another row.
std::size_t maxPlacementBytes(std::uint32_t index, const TaskPlacement& placement) {
  constexpr std::size_t kSeparatorBytes = 1;
  const Json row = {placement.machine.value, placement.workerEpoch.value, placement.attempt.value,
                    index, 1U};
  return jsonBytes(row) + kSeparatorBytes;
}

Json toJson(const JobRecord& r) {
  Json v = {{"spec", jobSpecToJson(*r.spec)},
            {"phase", phaseName(r.phase)},
            {"at", r.acceptedAtMs},
            {"stretch", r.chunkSize}};
  if (r.flow) v["flow"] = toJson(*r.flow);
  if (r.owner) v["owner"] = {{"member", r.owner->owner.member}, {"ref", r.owner->ref}};
  if (r.endedAtMs > 0) v["ended"] = r.endedAtMs;
  if (r.dependencyParts > 0) v["awaits_parts"] = r.dependencyParts;
  return v;
}

// Writes one row per placement. A row holds the machine, the worker epoch and the attempt, followed
// by the first index and the length of each run of consecutive tasks with this placement.
Json toJson(const TaskChunkRecord& r) {
  Json rows = Json::array();
  std::map<TaskPlacement, std::size_t> rowOfPlacement;
  for (const auto& [index, p] : r.placed) {
    auto [row, isNew] = rowOfPlacement.try_emplace(p, rows.size());
    if (isNew) rows.push_back({p.machine.value, p.workerEpoch.value, p.attempt.value});
    Json& runs = rows[row->second];
    auto n = runs.size();
    if (n > 3 && runs[n - 2].get<std::uint32_t>() + runs[n - 1].get<std::uint32_t>() == index) {
      runs[n - 1] = runs[n - 1].get<std::uint32_t>() + 1;
    } else {
      runs.push_back(index);
      runs.push_back(1U);
    }
  }
  Json v = {{"done", r.finished.toHex()}, {"on", std::move(rows)}};
  if (!r.failures.empty()) {
    Json failures = Json::array();
    for (const auto& [index, count] : r.failures) {
      failures.push_back(index);
      failures.push_back(count);
    }
    v["fails"] = std::move(failures);
  }
  if (!r.use.empty()) v["use"] = toJson(r.use);
  return v;
}

Json toJson(const RentalRecord& r) {
  Json v = {{"type", r.type.value},
            {"zone", r.zone.value},
            {"spot", r.spot},
            {"count", r.count},
            {"at", r.requestedAtMs}};
  if (r.answered) {
    Json machines = Json::array(), draining = Json::array();
    for (const auto& m : r.machines) (m.draining ? draining : machines).push_back(m.id.value);
    v["machines"] = std::move(machines);
    v["leaving"] = std::move(draining);
  }
  return v;
}

Json toJson(const LeaderRecord& r) { return {{"member", r.member.value}, {"boot", r.incarnation}}; }

std::optional<JobRecord> jobRecordFromJson(const JobId& id, const Json& v) {
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
  r.endedAtMs = static_cast<std::int64_t>(countField(v, "ended").value_or(0));
  r.dependencyParts = static_cast<std::uint32_t>(countField(v, "awaits_parts").value_or(0));
  auto chunk = countField(v, "stretch");
  if (!chunk || *chunk < 1 || *chunk > TaskBits::kMaxBits) return std::nullopt;
  r.chunkSize = static_cast<std::uint32_t>(*chunk);
  if (const Json* flow = field(v, "flow")) {
    auto part = flowTaskMappingFromJson(*flow);
    if (!part) return std::nullopt;
    r.flow = std::make_shared<const FlowTaskMapping>(std::move(*part));
  }
  if (const Json* owner = field(v, "owner")) {
    auto member = textField(*owner, "member"), ref = textField(*owner, "ref");
    if (!member || !ref) return std::nullopt;
    r.owner = std::make_shared<const JobOwner>(JobOwner{{r.spec->team, *member}, *ref});
  }
  return r;
}

std::optional<TaskChunkRecord> taskChunkRecordFromJson(const Json& v) {
  auto done = textField(v, "done");
  auto bits = done ? TaskBits::fromHex(*done) : std::nullopt;
  const Json* rows = field(v, "on");
  if (!bits || !rows || !rows->is_array()) return std::nullopt;
  TaskChunkRecord r;
  r.finished = std::move(*bits);
  for (const auto& row : *rows) {
    if (!row.is_array() || row.size() < 3 || row.size() % 2 == 0 || !row[0].is_string()) {
      return std::nullopt;
    }
    for (std::size_t i = 1; i < row.size(); ++i) {
      if (!row[i].is_number_unsigned()) return std::nullopt;
    }
    TaskPlacement p{MachineId{row[0].get<std::string>()}, WorkerEpoch{row[1].get<std::uint64_t>()},
                    Attempt{row[2].get<std::uint64_t>()}};
    for (std::size_t i = 3; i + 1 < row.size(); i += 2) {
      auto first = row[i].get<std::uint64_t>();
      auto count = row[i + 1].get<std::uint64_t>();
      if (first >= kMaxTasks || count > kMaxTasks) return std::nullopt;
      for (std::uint64_t n = 0; n < count; ++n) {
        r.placed.insert_or_assign(static_cast<std::uint32_t>(first + n), p);
      }
    }
  }
  if (const Json* failures = field(v, "fails"); failures && failures->is_array()) {
    for (std::size_t i = 0; i + 1 < failures->size(); i += 2) {
      const Json &index = (*failures)[i], &count = (*failures)[i + 1];
      if (!index.is_number_unsigned() || !count.is_number_unsigned()) return std::nullopt;
      r.failures[index.get<std::uint32_t>()] = count.get<std::uint32_t>();
    }
  }
  if (const Json* use = field(v, "use")) r.use = resourceUseFromJson(*use);
  return r;
}

std::optional<RentalRecord> rentalRecordFromJson(const RentalId& id, const Json& v) {
  auto type = textField(v, "type");
  auto zone = textField(v, "zone");
  auto spot = boolField(v, "spot");
  auto count = countField(v, "count");
  if (!type || !zone || !spot || !count) return std::nullopt;
  RentalRecord r{id,
                 TypeId{*type},
                 ZoneId{*zone},
                 *spot,
                 static_cast<std::uint32_t>(*count),
                 static_cast<std::int64_t>(countField(v, "at").value_or(0)),
                 false,
                 {}};
  for (const char* name : {"machines", "leaving"}) {
    const Json* list = field(v, name);
    if (!list) continue;
    if (!list->is_array()) return std::nullopt;
    r.answered = true;
    for (const auto& m : *list) {
      if (!m.is_string()) return std::nullopt;
      r.machines.push_back({MachineId{m.get<std::string>()}, name[0] == 'l'});
    }
  }
  return r;
}

std::optional<LeaderRecord> leaderRecordFromJson(const Json& v) {
  auto member = textField(v, "member");
  if (!member) return std::nullopt;
  return LeaderRecord{MemberId{*member}, textField(v, "boot").value_or("")};
}

}  // namespace kestrelhoist
