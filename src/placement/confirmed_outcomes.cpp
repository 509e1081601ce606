#include "placement/confirmed_outcomes.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr std::size_t kMaxPauseSeconds = 60;
// Outcomes that are not urgent wait this long, so that one transaction writes many of them. Until
// then, their tasks stay on record and the worker keeps reporting them.
constexpr Duration kMaxOutcomeDelay{1500};
constexpr Duration kMaxFlowOutcomeDelay{3000};
}  // namespace

void ConfirmedOutcomes::note(const PlacedTask& task, AttemptOutcome attemptOutcome, Duration ran) {
  const JobId& job = task.id.task.job;
  if (!task.job || task.job->record.chunkSize == 0) return;
  PendingOutcomes& pending = pending_[{job, task.id.task.index / task.job->record.chunkSize}];
  if (pending.outcomes.empty()) pending.since = context_.runtime.now();
  const JobState& state = *task.job;
  // A task of an array or a gang that is done does not run again, but a service replica that exits
  // by itself is started again. A flow's task does not run again if it has no retries left or is
  // dropped.
  bool isFinal =
      attemptOutcome == AttemptOutcome::done && state.record.spec->kind != JobKind::service;
  if (state.record.flow) {
    std::uint32_t index = task.id.task.index;
    bool last = attemptOutcome == AttemptOutcome::failed &&
                state.failuresOf(index) + 1 > state.record.flow->retries;
    isFinal = isFinal || last || state.isDropped(index);
  }
  auto [it, isNew] = pending.outcomes.try_emplace(
      task.id.task.index, Outcome{task.id.attempt, attemptOutcome, isFinal, ran});
  if (!isNew) return;
  ++(isFinal ? finished_ : requeued_)[job];
  context_.planInvalidated = true;
  if (attemptOutcome == AttemptOutcome::done) pauses_.erase(job);
  // FailureAttribution handles the failures of jobs that are not part of a flow, because it decides
  // whether the job or the machine is at fault.
  if (attemptOutcome != AttemptOutcome::refused &&
      (attemptOutcome != AttemptOutcome::failed || !state.record.flow))
    return;
  Pause& pause = pauses_[job];
  // Failures of a flow's job during its pause do not extend the pause, so several tasks that fail
  // together count once. Each flow task has a limited number of retries anyway.
  if (state.record.flow && context_.runtime.now() < pause.until) return;
  pause.failures = std::min(pause.failures + 1, 16);
  auto seconds = std::min<std::size_t>(kMaxPauseSeconds, 1UL << std::min(pause.failures - 1, 6));
  Duration length{
      static_cast<std::int64_t>(attemptOutcome == AttemptOutcome::failed ? seconds : 1) * 1000};
  pause.until = context_.runtime.now() + length;
  logInfo("job paused after a failed or refused task", "task", task.id.str(), "cause",
          attemptOutcome == AttemptOutcome::failed ? "failed" : "refused", "ms", length);
}

void ConfirmedOutcomes::forget(const AttemptId& id, const JobState& job) {
  auto pending = pending_.find({id.task.job, id.task.index / job.record.chunkSize});
  if (pending == pending_.end()) return;
  auto outcome = pending->second.outcomes.find(id.task.index);
  if (outcome == pending->second.outcomes.end() || outcome->second.attempt != id.attempt) return;
  auto& counts = outcome->second.isFinal ? finished_ : requeued_;
  if (auto c = counts.find(id.task.job); c != counts.end() && --c->second == 0) counts.erase(c);
  pending->second.outcomes.erase(outcome);
  if (pending->second.outcomes.empty()) pending_.erase(pending);
}

void ConfirmedOutcomes::forgetJob(const JobId& job) {
  pending_.erase(pending_.lower_bound({job, 0}), pending_.upper_bound({job, 0xffffffffU}));
  finished_.erase(job);
  requeued_.erase(job);
  pauses_.erase(job);
}

// Returns whether a replica of the service has run for a while on a machine other than `except`,
// and stores that machine in `where`. Such a replica counts as a success, because a service never
// ends.
bool ConfirmedOutcomes::hasStableReplica(const JobState& job, const MachineId& except,
                                         MachineId& stableMachine) const {
  constexpr Duration kStableRunTime{30000};
  for (const auto& [index, placed] : job.placed) {
    if (placed.machine == except) continue;
    const Machine* m = fleet_.find(placed.machine);
    if (!m) continue;
    auto seen = m->firstSeenRunning.find({{job.record.spec->id, index}, placed.attempt});
    if (seen == m->firstSeenRunning.end() || context_.runtime.now() - seen->second < kStableRunTime)
      continue;
    stableMachine = placed.machine;
    return true;
  }
  return false;
}

void ConfirmedOutcomes::noteFailure(const JobId& id, const JobState& job,
                                    const MachineId& machine) {
  FailureAttribution& attribution = fleet_.failureAttribution();
  MachineId stableMachine;
  if (job.record.spec->kind == JobKind::service && hasStableReplica(job, machine, stableMachine)) {
    attribution.succeeded(id, stableMachine);
  }
  bool before = attribution.isSuspect(id), faulty = attribution.isFaulty(machine);
  auto pause = attribution.pausedUntil(id);
  attribution.failed(id, machine, context_.runtime.now(), job.record.flow != nullptr);
  if (!before && attribution.isSuspect(id)) {
    logInfo("job failed on several machines and is now suspect", "job", id);
  }
  if (!faulty && attribution.isFaulty(machine)) {
    logInfo("machine classified as faulty after task failures", "machine", machine);
  }
  if (auto until = attribution.pausedUntil(id); until && until != pause) {
    logInfo("job paused after errors", "job", id, "ms", *until - context_.runtime.now());
  }
}

std::optional<Instant> ConfirmedOutcomes::pausedUntil(const JobId& job) const {
  auto until = fleet_.failureAttribution().pausedUntil(job);
  if (auto it = pauses_.find(job); it != pauses_.end()) {
    until = std::max(until.value_or(it->second.until), it->second.until);
  }
  return until;
}

bool ConfirmedOutcomes::refused(const JobId& job) const {
  auto it = pauses_.find(job);
  return it != pauses_.end() && it->second.until >= fleet_.failureAttribution().pausedUntil(job);
}

std::optional<std::uint32_t> ConfirmedOutcomes::trialsLeft(const JobId& id,
                                                           const JobState& job) const {
  auto maxTasks = fleet_.failureAttribution().maxConcurrentTasks(id);
  if (!maxTasks) return std::nullopt;
  MachineId stableMachine;
  if (job.record.spec->kind == JobKind::service && hasStableReplica(job, {}, stableMachine)) {
    fleet_.failureAttribution().succeeded(id, stableMachine);
    return std::nullopt;
  }
  auto placedTasks = static_cast<std::uint32_t>(job.placed.size());
  if (auto requeued = requeued_.find(id); requeued != requeued_.end())
    placedTasks -= std::min(placedTasks, requeued->second);
  return *maxTasks > placedTasks ? *maxTasks - placedTasks : 0;
}

void ConfirmedOutcomes::noteOutcomes(Machine& m) {
  if (m.session.outcomes.empty()) return;
  const auto* record = context_.replica.machine(m.id);
  if (!record) return;
  for (const auto& [attempt, attemptOutcome] : m.session.outcomes) {
    const auto* task = record->find(attempt);
    if (!task || find(attempt)) continue;
    const ReportedTask* reported =
        m.session.lastReport ? m.session.lastReport->find(attempt) : nullptr;
    auto seen = m.firstSeenRunning.find(attempt);
    Duration ran{0};
    if (reported && reported->ran) {
      ran = *reported->ran;
    } else if (seen != m.firstSeenRunning.end()) {
      ran = context_.runtime.now() - seen->second;
    }
    note(*task, attemptOutcome, ran);
    if (attemptOutcome == AttemptOutcome::failed) noteFailure(attempt.task.job, *task->job, m.id);
    if (attemptOutcome == AttemptOutcome::done)
      fleet_.failureAttribution().succeeded(attempt.task.job, m.id);
  }
  context_.scheduleCycle();
}

const ConfirmedOutcomes::Outcome* ConfirmedOutcomes::find(const AttemptId& id) const {
  const auto* job = context_.replica.job(id.task.job);
  if (!job || job->record.chunkSize == 0) return nullptr;
  auto pending = pending_.find({id.task.job, id.task.index / job->record.chunkSize});
  if (pending == pending_.end()) return nullptr;
  auto outcome = pending->second.outcomes.find(id.task.index);
  return outcome != pending->second.outcomes.end() && outcome->second.attempt == id.attempt
             ? &outcome->second
             : nullptr;
}

bool ConfirmedOutcomes::isUrgent(const ChunkKey& key, const PendingOutcomes& pending) const {
  const auto* job = context_.replica.job(key.first);
  if (!job || !job->active()) return true;
  auto done = finished_.find(key.first);
  if (job->record.flow) {
    // Dependent tasks of the flow wait for these outcomes, but a short delay combines many of them
    // in few writes.
    if (context_.runtime.now() - pending.since >= kMaxFlowOutcomeDelay) return true;
    return done != finished_.end() && done->second >= job->placed.size() &&
           job->waitingCount() == 0;
  }
  if (context_.runtime.now() - pending.since >= kMaxOutcomeDelay) return true;
  return done != finished_.end() && job->finishedCount + done->second >= job->tasks;
}

}  // namespace kestrelhoist
