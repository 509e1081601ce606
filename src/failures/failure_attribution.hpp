/// \file
/// Who is at fault when a task ends in error: its job or its machine? Pure: outcomes and time in,
/// judgement out. Errors: DESIGN says nothing of them; PROTOCOL, "Workers", `error`: mostly the
/// machine is faulty, but a job submitted with a mistake fails on every machine until its user
/// cancels it. The ways weighed, and the figures behind the weights: docs/evidence.md.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

class FailureAttribution {
 public:
  /// A task of this job has ended on this machine. `ownWork`: its tasks do different things (a
  /// flow's instances), so the end of one says nothing of the others.
  void succeeded(const JobId& job, const MachineId& machine);
  void failed(const JobId& job, const MachineId& machine, Instant now, bool ownWork);
  /// Forgets jobs that are over.
  template <class Active>
  void sweep(Active active) {
    std::erase_if(sound_, [&](const JobId& job) { return !active(job); });
    std::erase_if(trials_, [&](const auto& t) { return !active(t.first); });
  }
  void forgetMachine(const MachineId& machine);

  /// What speaks against the machine is too much to be chance and mistaken jobs.
  bool faulty(const MachineId& machine) const;
  /// It failed on several machines, and nowhere else did it succeed since.
  bool suspect(const JobId& job) const;
  /// Of a suspect job: how many of its tasks may be on machines at a time, and from when on.
  std::optional<std::uint32_t> mostAtOnce(const JobId& job) const;
  /// Not before this; empty: now.
  std::optional<Instant> pausedUntil(const JobId& job) const;
  /// Machines on which it failed and has not succeeded since: others tell more.
  std::vector<MachineId> avoids(const JobId& job) const;
  /// A machine on which a suspect job must not be tried now. Its trials failed there alone for
  /// several rounds, so whether the job or this machine is at fault can only be told elsewhere.
  /// Ends after a while, so that a job for which there is no other machine is not left without
  /// trials.
  std::optional<MachineId> excludes(const JobId& job, Instant now) const;

  /// What outlives a leader, in the record of the windows: suspect jobs and their rounds. At most
  /// `most`, those of the longest pauses first.
  std::map<JobId, int> suspects(std::size_t most) const;
  void adopt(const JobId& job, int rounds, Instant now);

 private:
  /// Weight against a machine, as logarithms of how much likelier an outcome is on a faulty machine
  /// than on a sound one (Page's cumulative sum: never below 0, so no machine is acquitted for
  /// good).
  static constexpr double kSoundFailed = 3.2;    ///< a job that has succeeded elsewhere
  static constexpr double kUnknownFailed = 2.2;  ///< a job of which nothing else is known yet
  static constexpr double kSucceeded = -1.2;
  static constexpr double kFaulty = 5.3;
  /// Machines on which a job fails, with no success between, until it is suspect.
  static constexpr std::size_t kUnknownSuspect = 2;
  static constexpr std::size_t kSoundSuspect = 3;
  static constexpr std::size_t kRemembered = 16;  ///< machines of a job
  static constexpr std::uint32_t kTrials = 2;
  static constexpr int kMostRounds = 7;
  /// Rounds of trials on one machine alone, until the next trial has to be on another.
  static constexpr int kRoundsOnOneMachine = 2;

  struct Trial {
    bool sound{};  ///< has succeeded somewhere
    bool suspect{};
    int rounds{};     ///< of failures since the last success
    Instant until{};  ///< no trial before
    std::map<MachineId, double>
        failedOn{};       ///< since the last success, with what was charged for it
    MachineId triedOn{};  ///< the only machine of the last rounds of trials
    int roundsOnOne{};    ///< how many rounds failed on `triedOn` alone
  };
  static void noteTrial(Trial& trial, const MachineId& machine, bool newRound);
  void charge(const MachineId& machine, double weight);

  std::map<JobId, Trial> trials_;  ///< jobs with failures since their last success
  std::set<JobId> sound_;          ///< jobs that have succeeded
  std::map<MachineId, double> against_;
};

}  // namespace kestrelhoist
