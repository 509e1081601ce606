/// \file
/// Defines the replica's state of one job, which consists of its record, its tasks and its
/// dependencies.
///
/// The replica owns these objects and is the only one to change them. Other components read them on
/// the same event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "dependencies/job_graph.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// Holds the additional state of a job whose tasks are instances of a flow.
struct FlowJobState {
  struct Chunk {
    /// Maps task indexes to numbers of failures.
    std::map<std::uint32_t, std::uint32_t> failures;
    ResourceUse use;  ///< Holds the total resource use of attempts that have ended.
  };
  std::map<std::uint32_t, Chunk> chunks;
  /// Maps the first task of each sub-chunk to the total resource use of the sub-chunk's attempts
  /// that have ended.
  std::map<std::uint32_t, ResourceUse> subChunks;

  /// Returns the total resource use of all attempts that have ended.
  ResourceUse use() const;
};

/// Holds the dependency state of a job that depends on other jobs or that other jobs depend on.
struct JobDependencies {
  DependencyState state;
  /// Holds the job's spec. The priority in it is raised to that of the highest-priority job that
  /// depends on this one.
  std::shared_ptr<const JobSpec> effectiveSpec;
};

/// Holds the replica's state of one job.
struct JobState {
  JobRecord record;
  Revision modRevision;
  std::uint32_t tasks{};
  std::uint32_t image{};  ///< Holds the number that Replica::imageNumber returns.
  std::uint32_t team{};   ///< Holds the number that Replica::teamNumber returns.
  /// Maps chunk numbers to the finished tasks of the chunk.
  std::map<std::uint32_t, TaskBits> finished;
  std::uint32_t finishedCount{};
  /// Maps task indexes to placements.
  std::map<std::uint32_t, TaskPlacement> placed;
  /// Null unless the job's tasks are instances of a flow.
  std::unique_ptr<FlowJobState> flow;
  /// Maps the first task of each sub-chunk on record to the index one past its last task. Null if
  /// the job has no sub-chunks.
  std::unique_ptr<std::map<std::uint32_t, std::uint32_t>> subChunks;

  /// Null if the job depends on no other job and no other job depends on it.
  std::unique_ptr<JobDependencies> dependencies;
  /// Is true if some records of the job's dependency list have not been read yet.
  bool dependenciesUnread = false;

  /// Returns the effective phase. A job that depends on a cancelled job is cancelled, even if its
  /// own record is active. None of its tasks can have started, so no task has to be stopped and no
  /// record has to be written.
  JobPhase phase() const;
  bool active() const { return phase() == JobPhase::active; }
  /// Returns whether the job waits for its dependencies. None of its tasks may start, and the job
  /// does not count as demand.
  bool blockedOnDependencies() const {
    return dependenciesUnread || (dependencies && dependencies->state.blocked);
  }
  /// Returns the wall-clock time in milliseconds at which the job was accepted or its last
  /// dependency ended, whichever is later.
  std::int64_t readyAtMs() const;
  /// Returns the job's spec, in which the priority is raised to that of the highest-priority job
  /// that depends on this one.
  const std::shared_ptr<const JobSpec>& effectiveSpec() const {
    return dependencies && dependencies->effectiveSpec ? dependencies->effectiveSpec : record.spec;
  }
  bool isFinished(std::uint32_t index) const;
  /// Returns the sub-chunk that contains the task, or nothing if no sub-chunk does.
  std::optional<TaskRange> subChunkOf(std::uint32_t index) const;
  /// Returns whether the task belongs to a flow and has failed more often than its rule allows
  /// retries.
  bool isGivenUp(std::uint32_t index) const;
  /// Returns whether the flow no longer needs this task.
  bool isDropped(std::uint32_t index) const { return record.flow && record.flow->isDropped(index); }
  /// Returns whether the task has finished or will never be attempted again.
  bool isSettled(std::uint32_t index) const {
    return isFinished(index) || (record.flow && (isDropped(index) || isGivenUp(index)));
  }
  /// Returns the number of tasks that are neither settled nor placed on a machine.
  std::uint32_t waitingCount() const;
  std::uint32_t failuresOf(std::uint32_t index) const;
  /// Builds the record for the tasks in `range`, which must lie within one chunk. The record is
  /// that of the chunk if `wholeChunk` is set, and that of the sub-chunk starting at `range.first`
  /// otherwise.
  TaskChunkRecord tasksOf(TaskRange range, bool wholeChunk) const;

 private:
  /// Returns the number of tasks that are neither finished nor placed and will never be attempted
  /// again. It is 0 unless the job's tasks are instances of a flow.
  std::uint32_t abandonedCount() const;
};

}  // namespace kestrelhoist
