/// \file
/// Formats and parses the keys of the records in the state service.
///
/// Records under these keys are stored in production, so the format of a key never changes. All
/// functions are pure and thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

/// Represents a half-open range of task indexes of one job. The range contains `first` but not
/// `end`.
struct TaskRange {
  std::uint32_t first{};
  std::uint32_t end{};
};

namespace keys {

inline const std::string kRoot = "kh/";
inline const std::string kLeader = "kh/leader";
inline const std::string kCatalogue = "kh/catalogue";
inline const std::string kForecast = "kh/forecast";
inline const std::string kJob = "kh/job/";
inline const std::string kTasks = "kh/tasks/";
inline const std::string kSubChunk = "kh/part/";
inline const std::string kRental = "kh/rental/";
inline const std::string kDependencyPart = "kh/awaits/";

/// Returns the key of a job's record.
std::string job(const JobId& id);
/// Returns the key of the record of one task chunk.
std::string tasks(const JobId& id, std::uint32_t chunk);
/// Returns the key of one part of a dependency list that does not fit into the job's record.
std::string dependencyPart(const JobId& id, std::uint32_t part);
/// Returns the key of the sub-chunk that contains the tasks from `first` up to, but not including,
/// `end`.
std::string subChunk(const JobId& id, std::uint32_t first, std::uint32_t end);
/// Returns the key of a rental's record.
std::string rental(const RentalId& id);

/// Holds the job and the chunk number that the key of a task chunk contains.
struct TaskChunkKey {
  JobId job;
  std::uint32_t chunk{};
};

/// Holds the job and the task range that the key of a sub-chunk contains.
struct SubChunkKey {
  JobId job;
  TaskRange range;
};

/// Holds the job and the part number that the key of a part of a dependency list contains.
struct DependencyPartKey {
  JobId job;
  std::uint32_t part{};
};

/// Parses a key that begins with kTasks. Returns nothing if the rest of the key is malformed.
[[nodiscard]] std::optional<TaskChunkKey> parseTasks(const std::string& key);
/// Parses a key that begins with kSubChunk. Returns nothing if the rest of the key is malformed.
[[nodiscard]] std::optional<SubChunkKey> parseSubChunk(const std::string& key);
/// Parses a key that begins with kDependencyPart. Returns nothing if the rest of the key is
/// malformed.
[[nodiscard]] std::optional<DependencyPartKey> parseDependencyPart(const std::string& key);

/// Returns the job id in a key that consists of `prefix`, a job id, '/' and further text. The
/// further text is not checked.
JobId jobOf(const std::string& key, const std::string& prefix);

}  // namespace keys
}  // namespace kestrelhoist
