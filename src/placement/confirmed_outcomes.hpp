/// \file
/// What has been proven of tasks that are still on record, until it is committed; and the pauses of
/// jobs whose tasks fail or are refused. State of one leadership.
#pragma once

#include <map>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

class ConfirmedOutcomes {
 public:
  struct Outcome {
    Attempt attempt;
    AttemptOutcome how{};
    bool isFinal{};  ///< the task is not to be run again
    Duration ran{};  ///< as its worker told, or as it was seen
  };
  /// Facts of one stretch of a job's tasks, to be committed together.
  struct PendingOutcomes {
    Instant since{};
    std::map<std::uint32_t, Outcome> outcomes;  ///< by the task's number
  };
  using ChunkKey = std::pair<JobId, std::uint32_t>;
  struct Pause {
    int failures{};
    Instant until{};
  };

  ConfirmedOutcomes(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Takes in what a machine's reports have proven.
  void noteOutcomes(Machine& m);
  void note(const PlacedTask& task, AttemptOutcome how, Duration ran = Duration{0});
  /// Off the record, or no longer what is on it.
  void forget(const AttemptId& id, const JobState& job);
  /// The job is on no record any more.
  void forgetJob(const JobId& job);
  const Outcome* find(const AttemptId& id) const;
  /// Somebody waits for these: a job that is complete, or a machine that can't go before its tasks.
  bool isUrgent(const ChunkKey& key, const PendingOutcomes& pending) const;
  const std::map<ChunkKey, PendingOutcomes>& pending() const { return pending_; }
  /// Tasks found gone that must run again, by job.
  const std::map<JobId, std::uint32_t>& requeued() const { return requeued_; }
  /// Until when nothing of this job is to be placed, if so.
  std::optional<Instant> pausedUntil(const JobId& job) const;
  /// The newest pause is for a start that was refused.
  bool refused(const JobId& job) const;
  /// Of a suspect job: how many more of its tasks may be placed now.
  std::optional<std::uint32_t> trialsLeft(const JobId& id, const JobState& job) const;

 private:
  void noteFailure(const JobId& id, const JobState& job, const MachineId& machine);
  bool runsWell(const JobState& job, const MachineId& except, MachineId& where) const;

  LeaderContext& context_;
  Fleet& fleet_;
  std::map<ChunkKey, PendingOutcomes> pending_;
  std::map<JobId, std::uint32_t> finished_;  ///< tasks found done, not committed yet
  std::map<JobId, std::uint32_t> requeued_;  ///< tasks found gone that must run again
  std::map<JobId, Pause> pauses_;            ///< flows' whose tasks failed, and refused starts
};

}  // namespace kestrelhoist
