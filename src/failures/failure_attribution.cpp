#include "failures/failure_attribution.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {
constexpr Duration kFirstPause{1000};
constexpr Duration kLongestPause{60000};
// The exclusion lasts long enough for another machine to be rented and to boot.
constexpr Duration kExclusion{120000};

Duration pauseOf(int rounds) {
  return std::min(kLongestPause, kFirstPause * (1 << std::clamp(rounds - 1, 0, 6)));
}
}  // namespace

void FailureAttribution::charge(const MachineId& machine, double weight) {
  double& sum = against_[machine];
  sum = std::max(0.0, sum + weight);
  if (sum <= 0) against_.erase(machine);
}

void FailureAttribution::succeeded(const JobId& job, const MachineId& machine) {
  if (against_.contains(machine)) charge(machine, kSucceeded);
  bool known = !sound_.insert(job).second;
  auto it = trials_.find(job);
  if (it == trials_.end()) return;
  Trial& trial = it->second;
  // The job's first success shows that its earlier failures were caused by the machines. A suspect
  // job is an exception: it failed on all machines for some time, for example due to a flaky image.
  if (!trial.suspect && !known) {
    for (const auto& [m, charged] : trial.failedOn) {
      if (m != machine) charge(m, kSoundFailed - charged);
    }
  }
  trials_.erase(it);
}

void FailureAttribution::failed(const JobId& job, const MachineId& machine, Instant now,
                                bool ownWork) {
  if (ownWork) return charge(machine, kUnknownFailed);
  Trial& trial = trials_[job];
  trial.sound = sound_.contains(job);
  if (trial.suspect) noteTrial(trial, machine, now >= trial.until);
  // Failures within one pause count as one round, because all tasks of a job array fail within
  // moments.
  if (!trial.sound || trial.suspect || trial.failedOn.contains(machine)) {
    if (now >= trial.until) {
      trial.rounds = std::min(trial.rounds + 1, kMostRounds);
      trial.until = now + pauseOf(trial.rounds);
    }
  }
  if (trial.suspect) {
    if (trial.failedOn.size() < kRemembered) trial.failedOn.try_emplace(machine, 0.0);
    return;
  }
  double weight = trial.sound ? kSoundFailed : kUnknownFailed;
  if (!trial.failedOn.contains(machine)) {
    trial.failedOn[machine] = weight;
    charge(machine, weight);
  }
  if (trial.failedOn.size() < (trial.sound ? kSoundSuspect : kUnknownSuspect)) return;
  // The job fails on every machine, so its failures no longer count against the machines.
  trial.suspect = true;
  for (auto& [m, charged] : trial.failedOn) charge(m, -std::exchange(charged, 0.0));
  if (now >= trial.until) {
    trial.rounds = std::max(trial.rounds, 1);
    trial.until = now + pauseOf(trial.rounds);
  }
}

void FailureAttribution::noteTrial(Trial& trial, const MachineId& machine, bool newRound) {
  if (machine != trial.triedOn) {
    trial.triedOn = machine;
    trial.roundsOnOne = 1;
  } else if (newRound) {
    ++trial.roundsOnOne;
  }
}

std::optional<MachineId> FailureAttribution::excludes(const JobId& job, Instant now) const {
  auto it = trials_.find(job);
  if (it == trials_.end() || !it->second.suspect) return std::nullopt;
  const Trial& trial = it->second;
  if (trial.roundsOnOne < kRoundsOnOneMachine || now > trial.until + kExclusion) {
    return std::nullopt;
  }
  return trial.triedOn;
}

void FailureAttribution::forgetMachine(const MachineId& machine) {
  against_.erase(machine);
  for (auto& [job, trial] : trials_) trial.failedOn.erase(machine);
}

bool FailureAttribution::faulty(const MachineId& machine) const {
  auto it = against_.find(machine);
  return it != against_.end() && it->second >= kFaulty;
}

bool FailureAttribution::suspect(const JobId& job) const {
  auto it = trials_.find(job);
  return it != trials_.end() && it->second.suspect;
}

std::optional<std::uint32_t> FailureAttribution::mostAtOnce(const JobId& job) const {
  return suspect(job) ? std::optional(kTrials) : std::nullopt;
}

std::optional<Instant> FailureAttribution::pausedUntil(const JobId& job) const {
  auto it = trials_.find(job);
  return it == trials_.end() || it->second.until == Instant{} ? std::nullopt
                                                              : std::optional(it->second.until);
}

std::vector<MachineId> FailureAttribution::avoids(const JobId& job) const {
  std::vector<MachineId> out;
  if (auto it = trials_.find(job); it != trials_.end()) {
    for (const auto& [machine, charged] : it->second.failedOn) out.push_back(machine);
  }
  return out;
}

std::map<JobId, int> FailureAttribution::suspects(std::size_t most) const {
  std::vector<std::pair<int, JobId>> all;
  for (const auto& [job, trial] : trials_) {
    if (trial.suspect) all.emplace_back(-trial.rounds, job);
  }
  std::sort(all.begin(), all.end());
  if (all.size() > most) all.resize(most);
  std::map<JobId, int> out;
  for (const auto& [rounds, job] : all) out[job] = -rounds;
  return out;
}

void FailureAttribution::adopt(const JobId& job, int rounds, Instant now) {
  if (trials_.contains(job) || sound_.contains(job)) return;
  Trial& trial = trials_[job];
  trial.suspect = true;
  trial.rounds = std::clamp(rounds, 1, kMostRounds);
  // The stored record may be up to one forecast interval old, so on average half of the pause is
  // over.
  trial.until = now + pauseOf(trial.rounds) / 2;
}

}  // namespace kestrelhoist
