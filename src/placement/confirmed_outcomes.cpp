#include "placement/confirmed_outcomes.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr std::size_t kMaxPauseS = 60;
// Facts that nobody waits for are written together: their tasks stay on record a little longer,
// and the worker goes on reporting them until then.
constexpr Duration kOutcomesWait{1500};
constexpr Duration kFlowOutcomesWait{3000};
}  // namespace

void ConfirmedOutcomes::note(const PlacedTask& task, AttemptOutcome how, Duration ran) {
  const JobId& job = task.id.task.job;
  if (!task.job || task.job->record.chunkSize == 0) return;
  PendingOutcomes& pending = pending_[{job, task.id.task.index / task.job->record.chunkSize}];
  if (pending.outcomes.empty()) pending.since = context_.runtime.now();
  const JobState& state = *task.job;
  // Only an array's task can be done; a service's that ended by itself is started again. A flow's
  // task may be given up, or no longer be wanted.
  bool isFinal = how == AttemptOutcome::done && state.record.spec->kind != JobKind::service;
  if (state.record.flow) {
    std::uint32_t index = task.id.task.index;
    bool last =
        how == AttemptOutcome::failed && state.failuresOf(index) + 1 > state.record.flow->retries;
    isFinal = isFinal || last || state.isDropped(index);
  }
  auto [it, isNew] =
      pending.outcomes.try_emplace(task.id.task.index, Outcome{task.id.attempt, how, isFinal, ran});
  if (!isNew) return;
  ++(isFinal ? finished_ : requeued_)[job];
  context_.planInvalidated = true;
  if (how == AttemptOutcome::done) pauses_.erase(job);
  // Errors of users' jobs are weighed against those of their machines (Evidence).
  if (how != AttemptOutcome::refused && (how != AttemptOutcome::failed || !state.record.flow))
    return;
  Pause& pause = pauses_[job];
  // A flow's rule is tried a few times anyway: what fails in one round counts once.
  if (state.record.flow && context_.runtime.now() < pause.until) return;
  pause.failures = std::min(pause.failures + 1, 16);
  auto seconds = std::min<std::size_t>(kMaxPauseS, 1UL << std::min(pause.failures - 1, 6));
  Duration length{static_cast<std::int64_t>(how == AttemptOutcome::failed ? seconds : 1) * 1000};
  pause.until = context_.runtime.now() + length;
  logInfo("task's job pauses", "task", task.id.str(), "cause",
          how == AttemptOutcome::failed ? "failed" : "refused", "ms", length);
}

// Off the record, or no longer what is on it.
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

// A replica that has run for a while is a service's success.
bool ConfirmedOutcomes::runsWell(const JobState& job, const MachineId& except,
                                 MachineId& where) const {
  constexpr Duration kWell{30000};
  for (const auto& [index, placed] : job.placed) {
    if (placed.machine == except) continue;
    const Machine* m = fleet_.find(placed.machine);
    if (!m) continue;
    auto seen = m->firstSeenRunning.find({{job.record.spec->id, index}, placed.attempt});
    if (seen == m->firstSeenRunning.end() || context_.runtime.now() - seen->second < kWell)
      continue;
    where = placed.machine;
    return true;
  }
  return false;
}

void ConfirmedOutcomes::noteFailure(const JobId& id, const JobState& job,
                                    const MachineId& machine) {
  FailureAttribution& attribution = fleet_.failureAttribution();
  MachineId well;
  if (job.record.spec->kind == JobKind::service && runsWell(job, machine, well)) {
    attribution.succeeded(id, well);
  }
  bool before = attribution.isSuspect(id), faulty = attribution.isFaulty(machine);
  auto pause = attribution.pausedUntil(id);
  attribution.failed(id, machine, context_.runtime.now(), job.record.flow != nullptr);
  if (!before && attribution.isSuspect(id)) {
    logInfo("job is suspect: fails wherever it goes", "job", id);
  }
  if (!faulty && attribution.isFaulty(machine)) logInfo("machine is faulty", "machine", machine);
  if (auto until = attribution.pausedUntil(id); until && until != pause) {
    logInfo("job pauses after errors", "job", id, "ms", *until - context_.runtime.now());
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
  auto most = fleet_.failureAttribution().maxConcurrentTasks(id);
  if (!most) return std::nullopt;
  MachineId well;
  if (job.record.spec->kind == JobKind::service && runsWell(job, {}, well)) {
    fleet_.failureAttribution().succeeded(id, well);
    return std::nullopt;
  }
  auto on = static_cast<std::uint32_t>(job.placed.size());
  if (auto requeued = requeued_.find(id); requeued != requeued_.end())
    on -= std::min(on, requeued->second);
  return *most > on ? *most - on : 0;
}

void ConfirmedOutcomes::noteOutcomes(Machine& m) {
  if (m.session.outcomes.empty()) return;
  const auto* record = context_.replica.machine(m.id);
  if (!record) return;
  for (const auto& [attempt, how] : m.session.outcomes) {
    const auto* task = record->find(attempt);
    if (!task || find(attempt)) continue;
    const ReportedTask* told = m.session.lastReport ? m.session.lastReport->find(attempt) : nullptr;
    auto seen = m.firstSeenRunning.find(attempt);
    Duration ran{0};
    if (told && told->ran) {
      ran = *told->ran;
    } else if (seen != m.firstSeenRunning.end()) {
      ran = context_.runtime.now() - seen->second;
    }
    note(*task, how, ran);
    if (how == AttemptOutcome::failed) noteFailure(attempt.task.job, *task->job, m.id);
    if (how == AttemptOutcome::done) fleet_.failureAttribution().succeeded(attempt.task.job, m.id);
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

// Somebody waits for these: a job that is complete, or a machine that can't go before its tasks.
bool ConfirmedOutcomes::isUrgent(const ChunkKey& key, const PendingOutcomes& pending) const {
  const auto* job = context_.replica.job(key.first);
  if (!job || !job->active()) return true;
  auto done = finished_.find(key.first);
  if (job->record.flow) {
    // Its dependents wait, but many ends at once are few writes.
    if (context_.runtime.now() - pending.since >= kFlowOutcomesWait) return true;
    return done != finished_.end() && done->second >= job->placed.size() && job->waiting() == 0;
  }
  if (context_.runtime.now() - pending.since >= kOutcomesWait) return true;
  return done != finished_.end() && job->finishedCount + done->second >= job->tasks;
}

}  // namespace kestrelhoist
