/// What the replica knows of one job: its record, its tasks and its dependencies.
///
/// The replica owns and changes these; everyone else only reads them, on the same event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "dependencies/job_graph.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// The additional state of a job whose tasks are instances of a flow.
struct FlowJobState {
  struct Chunk {
    std::map<std::uint32_t, std::uint32_t> failures;  ///< number of failures by task index
    ResourceUse use;                                  ///< what ended attempts used
  };
  std::map<std::uint32_t, Chunk> chunks;
  /// What attempts of sub-chunks used, by the first task of the sub-chunk.
  std::map<std::uint32_t, ResourceUse> subChunks;

  /// Returns the sum of what ended attempts of all tasks used.
  ResourceUse use() const;
};

/// The state of a job that depends on others or that others depend on.
struct JobDependencies {
  DependencyState state;
  std::shared_ptr<const JobSpec> ordered;  ///< the spec with the priority of the jobs that need it
};

struct JobState {
  JobRecord record;  ///< the spec stays until the job is over and off every machine
  Revision modRevision;
  std::uint32_t tasks{};
  std::uint32_t image{};                       ///< see Replica::imageNumber
  std::uint32_t team{};                        ///< see Replica::teamNumber
  std::map<std::uint32_t, TaskBits> finished;  ///< by chunk
  std::uint32_t finishedCount{};
  std::map<std::uint32_t, TaskPlacement> placed;  ///< by task index
  std::unique_ptr<FlowJobState> flow;             ///< null for most jobs
  /// The sub-chunks on record: first task, and one past the last. Null for most jobs.
  std::unique_ptr<std::map<std::uint32_t, std::uint32_t>> subChunks;

  std::unique_ptr<JobDependencies> dependencies;  ///< null: in no dependency, either way
  bool dependenciesUnread = false;                ///< its dependency list is not wholly read yet

  /// Returns the effective phase. A job that needs a cancelled one is cancelled, whatever its own
  /// record says. None of its tasks can have started, so nothing has to be stopped or written for
  /// that.
  JobPhase phase() const;
  bool active() const { return phase() == JobPhase::active; }
  /// Whether it waits for other jobs: none of its tasks may start, and it asks for no resources.
  bool blockedOnDependencies() const {
    return dependenciesUnread || (dependencies && dependencies->state.blocked);
  }
  /// Returns since when it may run: milliseconds of the time of day.
  std::int64_t readyAtMs() const;
  /// Returns the spec that orders the work: with the priority of the jobs that need this one.
  const std::shared_ptr<const JobSpec>& orderedSpec() const {
    return dependencies && dependencies->ordered ? dependencies->ordered : record.spec;
  }
  bool isFinished(std::uint32_t index) const;
  /// Returns the sub-chunk that the task is in, if it is in one.
  std::optional<TaskRange> subChunkOf(std::uint32_t index) const;
  /// Whether a task of a flow has failed more often than its rule allows retries.
  bool isGivenUp(std::uint32_t index) const;
  /// Whether the flow no longer wants this task.
  bool isDropped(std::uint32_t index) const { return record.flow && record.flow->isDropped(index); }
  /// Whether the task has ended for good, or is no longer wanted.
  bool isSettled(std::uint32_t index) const {
    return isFinished(index) || (record.flow && (isDropped(index) || isGivenUp(index)));
  }
  /// Returns the number of tasks that neither are settled nor may be on a machine.
  std::uint32_t waiting() const;
  std::uint32_t failuresOf(std::uint32_t index) const;
  /// Returns what is known of the tasks of `range`, all of one chunk, as a record. With
  /// `wholeChunk` the record is that of the chunk, else that of the sub-chunk that begins so.
  TaskChunkRecord tasksOf(TaskRange range, bool wholeChunk) const;

 private:
  /// Tasks of flows that are neither finished nor on a machine, but will not be tried again.
  std::uint32_t abandonedCount() const;
};

}  // namespace kestrelhoist
