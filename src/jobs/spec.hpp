/// \file
/// What a user asked for, and the record of it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// A gang is an array whose tasks only run all together.
enum class JobKind { array, service, gang };
enum class Priority { low, normal, high, production };  ///< ordered
enum class JobPhase { active, done, cancelled };

struct JobSpec {
  JobId id;
  std::string jobClass;
  TeamId team;
  JobKind kind{};
  Priority priority{};
  std::uint32_t tasks{};
  Resources perTask;
  ImageId image;
  double imageGb{};
  std::optional<std::vector<TypeId>> types;  ///< empty optional: any
  std::optional<ZoneId> zone;
  bool oneZone{};
  bool spread{};
  bool spotAllowed{};
  Duration estimate{};
  Duration checkpointEvery{};  ///< 0: never saves
  Duration saveTime{};
  std::optional<Duration> deadline;
  std::vector<JobId>
      dependsOn;  ///< jobs that have to be done before any task starts; no repetitions

  bool allowsType(const TypeId& type) const;
  bool checkpoints() const { return checkpointEvery.count() > 0; }
  /// How many tasks may be in one zone.
  std::uint32_t zoneLimit() const { return spread ? (tasks + 1) / 2 : tasks; }
};

struct Invalid {
  std::string why;
};

inline constexpr std::uint32_t kMaxTasks = 100000;

/// j- and digits.
bool validJobId(const std::string& ref);

/// The body of POST /v2/runs.
std::variant<JobSpec, Invalid> parseSubmission(const Json& body);

/// Lists of jobs in records; empty: not such a list.
Json jobIdsToJson(const std::vector<JobId>& jobs);
std::optional<std::vector<JobId>> jobIdsFrom(const Json& list);

/// The record's own form.
Json jobSpecToJson(const JobSpec& spec);
std::optional<JobSpec> jobSpecFromJson(const JobId& id, const Json& value);

}  // namespace kestrelhoist
