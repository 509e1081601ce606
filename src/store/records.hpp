// The records kept in the state service: their keys and values.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"
#include "jobs/spec.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kRoot = "kh/";
inline const std::string kLeader = "kh/leader";
inline const std::string kCatalogue = "kh/catalogue";
inline const std::string kForecast = "kh/forecast";
inline const std::string kJob = "kh/job/";
inline const std::string kProgress = "kh/progress/";
inline const std::string kMachine = "kh/machine/";
inline const std::string kHire = "kh/hire/";
inline std::string job(const JobId& id) { return kJob + id.value; }
inline std::string progress(const JobId& id, std::uint32_t chunk) {
  return kProgress + id.value + "/" + std::to_string(chunk);
}
inline std::string machine(const MachineId& id) { return kMachine + id.value; }
inline std::string hire(const HireId& id) { return kHire + id.value; }
}  // namespace keys

// Finished tasks of one stretch of an array, a bit each; written as hex digits.
class TaskBits {
 public:
  static constexpr std::uint32_t kPerChunk = 4096;
  void set(std::uint32_t offset);
  bool test(std::uint32_t offset) const;
  std::uint32_t count() const;
  std::string toHex() const;
  static std::optional<TaskBits> fromHex(const std::string& text);

 private:
  std::vector<std::uint8_t> bytes_;
};

struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  JobPhase phase = JobPhase::active;
  std::int64_t acceptedAtMs{};  // time of day, to order and to judge deadlines only
};

struct MachineRecord {
  TypeId type;
  ZoneId zone;
  bool spot{};
  std::string address;
  Tenure tenure;   // of the placements; 0: none yet
  bool leaving{};  // its release was or will be asked for: never gets work again
  std::int64_t rentedAtMs{};
  std::vector<AttemptId> tasks;
};

// Intent to rent, written before the request is sent.
struct HireRecord {
  HireId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  std::uint32_t count{};
};

struct LeaderRecord {
  MemberId member;
  std::string boot;  // tells apart the lives of a process
};

Json toJson(const JobRecord& r);
Json toJson(const MachineRecord& r);
Json toJson(const HireRecord& r);
Json toJson(const LeaderRecord& r);
std::optional<JobRecord> jobRecordFrom(const JobId& id, const Json& v);
std::optional<MachineRecord> machineRecordFrom(const Json& v);
std::optional<HireRecord> hireRecordFrom(const HireId& id, const Json& v);
std::optional<LeaderRecord> leaderRecordFrom(const Json& v);

}  // namespace kestrelhoist
