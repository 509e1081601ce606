#include "failures/failure_attribution.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {
constexpr Duration kFirstPause{1000};
constexpr Duration kLongestPause{60000};
// The exclusion lasts long enough for another machine to be rented and to boot.
constexpr Duration kExclusionTime{120000};

Duration pauseAfterRounds(int rounds) {
  return std::min(kLongestPause, kFirstPause * (1 << std::clamp(rounds - 1, 0, 6)));
}
}  // namespace

void FailureAttribution::addScore(const MachineId& machine, double score) {
  double& sum = faultScores_[machine];
  sum = std::max(0.0, sum + score);
  if (sum <= 0) faultScores_.erase(machine);
}

void FailureAttribution::succeeded(const JobId& job, const MachineId& machine) {
  if (faultScores_.contains(machine)) addScore(machine, kSuccessScore);
  bool succeededBefore = !succeededJobs_.insert(job).second;
  auto it = failuresByJob_.find(job);
  if (it == failuresByJob_.end()) return;
  JobFailures& failures = it->second;
  // The job's first success shows that its earlier failures were caused by the machines. A suspect
  // job is an exception: it failed on all machines for some time, for example due to a flaky image.
  if (!failures.suspect && !succeededBefore) {
    for (const auto& [m, addedScore] : failures.failedOn) {
      if (m != machine) addScore(m, kFailureScoreAfterSuccess - addedScore);
    }
  }
  failuresByJob_.erase(it);
}

void FailureAttribution::failed(const JobId& job, const MachineId& machine, Instant now,
                                bool independentTasks) {
  if (independentTasks) return addScore(machine, kFailureScoreWithoutSuccess);
  JobFailures& failures = failuresByJob_[job];
  failures.hasSucceeded = succeededJobs_.contains(job);
  if (failures.suspect) recordTrial(failures, machine, now >= failures.pausedUntil);
  // Failures within one pause count as one round, because all tasks of a job array fail within
  // moments.
  if (!failures.hasSucceeded || failures.suspect || failures.failedOn.contains(machine)) {
    if (now >= failures.pausedUntil) {
      failures.rounds = std::min(failures.rounds + 1, kMaxRounds);
      failures.pausedUntil = now + pauseAfterRounds(failures.rounds);
    }
  }
  if (failures.suspect) {
    if (failures.failedOn.size() < kMaxStoredMachines) failures.failedOn.try_emplace(machine, 0.0);
    return;
  }
  double score = failures.hasSucceeded ? kFailureScoreAfterSuccess : kFailureScoreWithoutSuccess;
  if (!failures.failedOn.contains(machine)) {
    failures.failedOn[machine] = score;
    addScore(machine, score);
  }
  if (failures.failedOn.size() <
      (failures.hasSucceeded ? kSuspectMachinesAfterSuccess : kSuspectMachinesWithoutSuccess)) {
    return;
  }
  // The job fails on every machine, so its failures no longer count against the machines.
  failures.suspect = true;
  for (auto& [m, addedScore] : failures.failedOn) addScore(m, -std::exchange(addedScore, 0.0));
  if (now >= failures.pausedUntil) {
    failures.rounds = std::max(failures.rounds, 1);
    failures.pausedUntil = now + pauseAfterRounds(failures.rounds);
  }
}

void FailureAttribution::recordTrial(JobFailures& failures, const MachineId& machine,
                                     bool newRound) {
  if (machine != failures.lastTrialMachine) {
    failures.lastTrialMachine = machine;
    failures.roundsOnLastMachine = 1;
  } else if (newRound) {
    ++failures.roundsOnLastMachine;
  }
}

std::optional<MachineId> FailureAttribution::excludedMachine(const JobId& job, Instant now) const {
  auto it = failuresByJob_.find(job);
  if (it == failuresByJob_.end() || !it->second.suspect) return std::nullopt;
  const JobFailures& failures = it->second;
  if (failures.roundsOnLastMachine < kRoundsOnOneMachine ||
      now > failures.pausedUntil + kExclusionTime) {
    return std::nullopt;
  }
  return failures.lastTrialMachine;
}

void FailureAttribution::forgetMachine(const MachineId& machine) {
  faultScores_.erase(machine);
  for (auto& [job, failures] : failuresByJob_) failures.failedOn.erase(machine);
}

bool FailureAttribution::isFaulty(const MachineId& machine) const {
  auto it = faultScores_.find(machine);
  return it != faultScores_.end() && it->second >= kFaultyThreshold;
}

bool FailureAttribution::isSuspect(const JobId& job) const {
  auto it = failuresByJob_.find(job);
  return it != failuresByJob_.end() && it->second.suspect;
}

std::optional<std::uint32_t> FailureAttribution::maxConcurrentTasks(const JobId& job) const {
  return isSuspect(job) ? std::optional(kMaxConcurrentTrials) : std::nullopt;
}

std::optional<Instant> FailureAttribution::pausedUntil(const JobId& job) const {
  auto it = failuresByJob_.find(job);
  return it == failuresByJob_.end() || it->second.pausedUntil == Instant{}
             ? std::nullopt
             : std::optional(it->second.pausedUntil);
}

std::vector<MachineId> FailureAttribution::machinesToAvoid(const JobId& job) const {
  std::vector<MachineId> out;
  if (auto it = failuresByJob_.find(job); it != failuresByJob_.end()) {
    for (const auto& [machine, score] : it->second.failedOn) out.push_back(machine);
  }
  return out;
}

std::map<JobId, int> FailureAttribution::suspectJobs(std::size_t max) const {
  std::vector<std::pair<int, JobId>> all;
  for (const auto& [job, failures] : failuresByJob_) {
    if (failures.suspect) all.emplace_back(-failures.rounds, job);
  }
  std::sort(all.begin(), all.end());
  if (all.size() > max) all.resize(max);
  std::map<JobId, int> out;
  for (const auto& [rounds, job] : all) out[job] = -rounds;
  return out;
}

void FailureAttribution::restoreSuspect(const JobId& job, int rounds, Instant now) {
  if (failuresByJob_.contains(job) || succeededJobs_.contains(job)) return;
  JobFailures& failures = failuresByJob_[job];
  failures.suspect = true;
  failures.rounds = std::clamp(rounds, 1, kMaxRounds);
  // The stored record may be up to one forecast interval old, so on average half of the pause is
  // over.
  failures.pausedUntil = now + pauseAfterRounds(failures.rounds) / 2;
}

}  // namespace kestrelhoist
