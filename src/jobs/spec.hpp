/// \file
/// Defines the description of a job, its parser for submissions and its form in job records.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Distinguishes the kinds of jobs. A gang is a job array whose tasks run only all at the same
/// time.
enum class JobKind { array, service, gang };
/// Ranks jobs; the enumerators are in ascending order.
enum class Priority { low, normal, high, production };
enum class JobPhase { active, done, cancelled };

/// Describes a job as the user has submitted it.
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
  std::optional<std::vector<TypeId>> types;  ///< nullopt allows every type
  std::optional<ZoneId> zone;
  bool oneZone{};
  bool spread{};
  bool spotAllowed{};
  Duration estimate{};
  Duration checkpointEvery{};  ///< is 0 if the tasks write no checkpoints
  Duration saveTime{};
  std::optional<Duration> deadline;
  /// Lists the jobs that must be done before any task of this job starts, without duplicates.
  std::vector<JobId> dependsOn;

  bool allowsType(const TypeId& type) const;
  bool checkpoints() const { return checkpointEvery.count() > 0; }
  /// Returns how many tasks of the job may run in one zone.
  std::uint32_t zoneLimit() const { return spread ? (tasks + 1) / 2 : tasks; }
};

/// Explains why a submission is rejected.
struct Invalid {
  std::string why;
};

inline constexpr std::uint32_t kMaxTasks = 100000;

/// Returns whether `ref` is a valid job id: "j-" and 1 to 18 digits.
bool validJobId(const std::string& ref);

/// Parses the body of POST /v2/runs; returns the first invalid field on failure.
std::variant<JobSpec, Invalid> parseSubmission(const Json& body);

/// Converts job ids to the list form of the records.
Json jobIdsToJson(const std::vector<JobId>& jobs);
/// Parses a list of job ids from a record; returns nullopt if `list` is not a list of strings.
std::optional<std::vector<JobId>> jobIdsFromJson(const Json& list);

/// Converts a job description to its form in the job record.
Json jobSpecToJson(const JobSpec& spec);
/// Parses a job description from the job record; returns nullopt if it is malformed.
std::optional<JobSpec> jobSpecFromJson(const JobId& id, const Json& value);

}  // namespace kestrelhoist
