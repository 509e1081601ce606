/// \file
/// Attributes task errors to jobs or to machines. Most errors are caused by a faulty machine, but a
/// job that was submitted with a mistake fails on every machine until its user cancels it (see
/// `error` under "Workers" in PROTOCOL). The module does no input or output. docs/evidence.md
/// compares the alternatives and derives the weights.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

/// Keeps a fault score for each machine and the recent failures of each job. A job that fails on
/// several machines without a success becomes suspect: its tasks are retried in small numbers and
/// with growing pauses, and its failures no longer count against machines.
class FailureAttribution {
 public:
  /// Records that a task of the job succeeded on the machine.
  void succeeded(const JobId& job, const MachineId& machine);
  /// Records that a task of the job ended in error on the machine.
  /// @param independentTasks Whether each task of the job does different work, as the instances of
  ///        a flow do. The outcome of one task then predicts nothing about the job's other tasks.
  void failed(const JobId& job, const MachineId& machine, Instant now, bool independentTasks);
  /// Removes the state of all jobs for which `active` returns false.
  template <class Active>
  void forgetFinishedJobs(Active active) {
    std::erase_if(succeededJobs_, [&](const JobId& job) { return !active(job); });
    std::erase_if(failuresByJob_, [&](const auto& t) { return !active(t.first); });
  }
  /// Removes the machine's fault score and its entries in the failures of jobs.
  void forgetMachine(const MachineId& machine);

  /// Returns whether the machine's fault score is too high to be explained by chance and by jobs
  /// that were submitted with mistakes.
  bool isFaulty(const MachineId& machine) const;
  /// Returns whether the job failed on several machines and has not succeeded on any machine since.
  bool isSuspect(const JobId& job) const;
  /// Returns how many tasks of a suspect job may be placed on machines at the same time. The result
  /// is empty if the job is not suspect.
  std::optional<std::uint32_t> maxConcurrentTasks(const JobId& job) const;
  /// Returns the time before which no task of the job is started. The result is empty if the job is
  /// not paused.
  std::optional<Instant> pausedUntil(const JobId& job) const;
  /// Returns the machines on which the job failed since its last success. A trial on another
  /// machine gives more evidence about whether the job or the machine is at fault.
  std::vector<MachineId> machinesToAvoid(const JobId& job) const;
  /// Returns the machine on which a suspect job must not be tried now, if there is one. The last
  /// rounds of the job's trials all failed on this machine, so only a trial on another machine can
  /// show whether the job or the machine is at fault. The exclusion expires, so that a job that can
  /// run on no other machine is tried again.
  std::optional<MachineId> excludedMachine(const JobId& job, Instant now) const;

  /// Returns suspect jobs with their numbers of failed rounds, at most `max` of them; jobs with
  /// more rounds come first. The leader stores them in the forecast record for its successor.
  std::map<JobId, int> suspectJobs(std::size_t max) const;
  /// Restores a suspect job that the previous leader stored, with its number of failed rounds.
  void restoreSuspect(const JobId& job, int rounds, Instant now);

 private:
  /// The score of one outcome is the logarithm of its likelihood ratio between a faulty and a
  /// healthy machine. A machine's fault score is Page's cumulative sum of these scores. It never
  /// falls below 0, so earlier successes cannot outweigh later failures.
  ///
  /// This score applies to a failure of a job that has succeeded on another machine.
  static constexpr double kFailureScoreAfterSuccess = 3.2;
  /// This score applies to a failure of a job that has not succeeded yet.
  static constexpr double kFailureScoreWithoutSuccess = 2.2;
  static constexpr double kSuccessScore = -1.2;
  static constexpr double kFaultyThreshold = 5.3;
  /// A job that has never succeeded becomes suspect once it failed on this many machines.
  static constexpr std::size_t kSuspectMachinesWithoutSuccess = 2;
  /// A job that has succeeded becomes suspect once it failed on this many machines since.
  static constexpr std::size_t kSuspectMachinesAfterSuccess = 3;
  /// For each job, at most this many machines on which it failed are stored.
  static constexpr std::size_t kMaxStoredMachines = 16;
  static constexpr std::uint32_t kMaxConcurrentTrials = 2;
  static constexpr int kMaxRounds = 7;
  /// After this many rounds of trials on the same machine, the next trial is on another machine.
  static constexpr int kRoundsOnOneMachine = 2;

  /// Holds the failures of one job since its last success.
  struct JobFailures {
    bool hasSucceeded{};  ///< Is true if the job has ever succeeded.
    bool suspect{};
    int rounds{};           ///< Counts rounds of failures since the last success.
    Instant pausedUntil{};  ///< No task of the job is started before this time.
    /// Maps each machine on which the job failed since its last success to the score that these
    /// failures added to the machine's fault score.
    std::map<MachineId, double> failedOn{};
    MachineId lastTrialMachine{};  ///< The last rounds of trials failed on this machine.
    int roundsOnLastMachine{};  ///< Counts the successive rounds that failed on that one machine.
  };
  static void recordTrial(JobFailures& failures, const MachineId& machine, bool newRound);
  void addScore(const MachineId& machine, double score);

  /// Contains the jobs that failed since their last success.
  std::map<JobId, JobFailures> failuresByJob_;
  std::set<JobId> succeededJobs_;            ///< Contains jobs that succeeded at least once.
  std::map<MachineId, double> faultScores_;  ///< Contains only scores above 0.
};

}  // namespace kestrelhoist
