/// \file
/// Holds the confirmed outcomes of task attempts that are still on record until they are committed,
/// and the pauses of jobs whose tasks failed or were refused. The state belongs to one leader.
#pragma once

#include <map>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Stores the confirmed outcomes that are not committed yet, and the pauses of jobs.
class ConfirmedOutcomes {
 public:
  /// Describes how one task attempt ended.
  struct Outcome {
    Attempt attempt;
    AttemptOutcome attemptOutcome{};
    bool isFinal{};  ///< The task must not run again.
    /// This is the run time that the worker reported, or else the time since the attempt was first
    /// seen running.
    Duration ran{};
  };
  /// Groups the outcomes of one chunk of a job's tasks, which are committed together.
  struct PendingOutcomes {
    Instant since{};                            ///< This is the time of the first outcome.
    std::map<std::uint32_t, Outcome> outcomes;  ///< Is indexed by the task's index in the job.
  };
  /// Identifies a chunk by its job and by the chunk's number.
  using ChunkKey = std::pair<JobId, std::uint32_t>;
  /// Describes a back-off of a job, during which none of its tasks is placed.
  struct Pause {
    int failures{};
    Instant until{};
  };

  ConfirmedOutcomes(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Adds the outcomes that the reports of a machine have confirmed.
  void noteOutcomes(Machine& m);
  /// Adds the outcome of a placed task, unless an outcome of the task is pending already, and
  /// pauses its job if that is due.
  void note(const PlacedTask& task, AttemptOutcome attemptOutcome, Duration ran = Duration{0});
  /// Removes the outcome of an attempt that is no longer on record.
  void forget(const AttemptId& id, const JobState& job);
  /// Removes all data of a job that is no longer on record.
  void forgetJob(const JobId& job);
  /// Returns the pending outcome of an attempt, or null if it has none.
  const Outcome* find(const AttemptId& id) const;
  /// Returns whether the outcomes of a chunk must be committed now. That is so if they complete
  /// their job, if they have waited long enough, or if their job is no longer active. In the last
  /// case, a machine may wait for them that can't be terminated while its tasks are on record.
  bool isUrgent(const ChunkKey& key, const PendingOutcomes& pending) const;
  /// Returns all outcomes that are not committed yet, by chunk.
  const std::map<ChunkKey, PendingOutcomes>& pending() const { return pending_; }
  /// Counts, by job, the tasks with a pending outcome that must run again.
  const std::map<JobId, std::uint32_t>& requeued() const { return requeued_; }
  /// Returns the time until which no task of this job may be placed; empty if the job is not
  /// paused.
  std::optional<Instant> pausedUntil(const JobId& job) const;
  /// Returns whether the pause that ends last was caused by a refused start or by a failed flow
  /// task, and not by FailureAttribution.
  bool refused(const JobId& job) const;
  /// Returns how many more tasks of a suspect job may be placed now; empty if the job is not
  /// suspect.
  std::optional<std::uint32_t> trialsLeft(const JobId& id, const JobState& job) const;

 private:
  void noteFailure(const JobId& id, const JobState& job, const MachineId& machine);
  bool hasStableReplica(const JobState& job, const MachineId& except,
                        MachineId& stableMachine) const;

  LeaderContext& context_;
  Fleet& fleet_;
  std::map<ChunkKey, PendingOutcomes> pending_;
  std::map<JobId, std::uint32_t> finished_;  ///< Counts tasks with a pending final outcome.
  std::map<JobId, std::uint32_t> requeued_;  ///< Counts tasks with a pending outcome to run again.
  std::map<JobId, Pause> pauses_;  ///< Holds pauses for failed flow tasks and for refused starts.
};

}  // namespace kestrelhoist
