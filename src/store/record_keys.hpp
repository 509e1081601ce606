/// The keys of the records in the state service: how they are made and how they are read.
///
/// The keys are on disk in production, so their form never changes. Pure functions, safe to call
/// from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

/// A half-open range of task indexes of one job: `first` is in it, `end` is one past the last.
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
inline const std::string kAwaits = "kh/awaits/";

/// The key of a job's own record.
std::string job(const JobId& id);
/// The key of one chunk of a job's tasks.
std::string tasks(const JobId& id, std::uint32_t chunk);
/// The key of one part of a dependency list that does not fit into the job's own record.
std::string awaits(const JobId& id, std::uint32_t part);
/// The key of a sub-chunk: the tasks from `first` to before `last`.
std::string subChunk(const JobId& id, std::uint32_t first, std::uint32_t last);
/// The key of a rental.
std::string rental(const RentalId& id);

/// What the key of a chunk of tasks names.
struct TaskChunkKey {
  JobId job;
  std::uint32_t chunk{};
};

/// What the key of a sub-chunk names.
struct SubChunkKey {
  JobId job;
  TaskRange range;
};

/// What the key of a part of a dependency list names.
struct DependencyPartKey {
  JobId job;
  std::uint32_t part{};
};

/// Each of these reads a whole key that begins with the prefix of its kind. They return nothing if
/// the rest of the key is malformed.
[[nodiscard]] std::optional<TaskChunkKey> parseTasks(const std::string& key);
[[nodiscard]] std::optional<SubChunkKey> parseSubChunk(const std::string& key);
[[nodiscard]] std::optional<DependencyPartKey> parseAwaits(const std::string& key);

/// Returns the job of a key whose form is `prefix`, job id, '/' and anything. The rest of the key
/// is not checked.
JobId jobOf(const std::string& key, const std::string& prefix);

}  // namespace keys
}  // namespace kestrelhoist
