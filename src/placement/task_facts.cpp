#include "placement/task_facts.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr std::size_t kMaxPauseS = 60;
// Facts that nobody waits for are written together: their tasks stay on record a little longer,
// and the worker goes on reporting them until then.
constexpr Duration kFactsWait{1500};
constexpr Duration kFlowFactsWait{3000};
}  // namespace

void TaskFacts::noteFact(const PlacedTask& task, AttemptOutcome how, Duration ran) {
  const JobId& job = task.id.task.job;
  if (!task.job || task.job->record.chunkSize == 0) return;
  Due& due = due_[{job, task.id.task.index / task.job->record.chunkSize}];
  if (due.facts.empty()) due.since = context_.runtime.now();
  const JobState& state = *task.job;
  // Only an array's task can be done; a service's that ended by itself is started again. A flow's
  // task may be given up, or no longer be wanted.
  bool settles = how == AttemptOutcome::done && state.record.spec->kind != JobKind::service;
  if (state.record.flow) {
    std::uint32_t index = task.id.task.index;
    bool last =
        how == AttemptOutcome::failed && state.failuresOf(index) + 1 > state.record.flow->retries;
    settles = settles || last || state.isDropped(index);
  }
  auto [it, isNew] =
      due.facts.try_emplace(task.id.task.index, Fact{task.id.attempt, how, settles, ran});
  if (!isNew) return;
  ++(settles ? dueDone_ : dueAgain_)[job];
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
void TaskFacts::forgetFact(const AttemptId& id, const JobState& job) {
  auto due = due_.find({id.task.job, id.task.index / job.record.chunkSize});
  if (due == due_.end()) return;
  auto fact = due->second.facts.find(id.task.index);
  if (fact == due->second.facts.end() || fact->second.attempt != id.attempt) return;
  auto& counts = fact->second.settles ? dueDone_ : dueAgain_;
  if (auto c = counts.find(id.task.job); c != counts.end() && --c->second == 0) counts.erase(c);
  due->second.facts.erase(fact);
  if (due->second.facts.empty()) due_.erase(due);
}

void TaskFacts::forgetJob(const JobId& job) {
  due_.erase(due_.lower_bound({job, 0}), due_.upper_bound({job, 0xffffffffU}));
  dueDone_.erase(job);
  dueAgain_.erase(job);
  pauses_.erase(job);
}

// A replica that has run for a while is a service's success.
bool TaskFacts::runsWell(const JobState& job, const MachineId& except, MachineId& where) const {
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

void TaskFacts::noteError(const JobId& id, const JobState& job, const MachineId& machine) {
  FailureAttribution& attribution = fleet_.failureAttribution();
  MachineId well;
  if (job.record.spec->kind == JobKind::service && runsWell(job, machine, well)) {
    attribution.succeeded(id, well);
  }
  bool before = attribution.suspect(id), faulty = attribution.faulty(machine);
  auto pause = attribution.pausedUntil(id);
  attribution.failed(id, machine, context_.runtime.now(), job.record.flow != nullptr);
  if (!before && attribution.suspect(id)) {
    logInfo("job is suspect: fails wherever it goes", "job", id);
  }
  if (!faulty && attribution.faulty(machine)) logInfo("machine is faulty", "machine", machine);
  if (auto until = attribution.pausedUntil(id); until && until != pause) {
    logInfo("job pauses after errors", "job", id, "ms", *until - context_.runtime.now());
  }
}

std::optional<Instant> TaskFacts::pausedUntil(const JobId& job) const {
  auto until = fleet_.failureAttribution().pausedUntil(job);
  if (auto it = pauses_.find(job); it != pauses_.end()) {
    until = std::max(until.value_or(it->second.until), it->second.until);
  }
  return until;
}

bool TaskFacts::refused(const JobId& job) const {
  auto it = pauses_.find(job);
  return it != pauses_.end() && it->second.until >= fleet_.failureAttribution().pausedUntil(job);
}

std::optional<std::uint32_t> TaskFacts::trialsLeft(const JobId& id, const JobState& job) const {
  auto most = fleet_.failureAttribution().mostAtOnce(id);
  if (!most) return std::nullopt;
  MachineId well;
  if (job.record.spec->kind == JobKind::service && runsWell(job, {}, well)) {
    fleet_.failureAttribution().succeeded(id, well);
    return std::nullopt;
  }
  auto on = static_cast<std::uint32_t>(job.placed.size());
  if (auto again = dueAgain_.find(id); again != dueAgain_.end()) on -= std::min(on, again->second);
  return *most > on ? *most - on : 0;
}

void TaskFacts::noteFacts(Machine& m) {
  if (m.session.outcomes.empty()) return;
  const auto* record = context_.replica.machine(m.id);
  if (!record) return;
  for (const auto& [attempt, how] : m.session.outcomes) {
    const auto* task = record->find(attempt);
    if (!task || factOf(attempt)) continue;
    const ReportedTask* told = m.session.lastReport ? m.session.lastReport->find(attempt) : nullptr;
    auto seen = m.firstSeenRunning.find(attempt);
    Duration ran{0};
    if (told && told->ran) {
      ran = *told->ran;
    } else if (seen != m.firstSeenRunning.end()) {
      ran = context_.runtime.now() - seen->second;
    }
    noteFact(*task, how, ran);
    if (how == AttemptOutcome::failed) noteError(attempt.task.job, *task->job, m.id);
    if (how == AttemptOutcome::done) fleet_.failureAttribution().succeeded(attempt.task.job, m.id);
  }
  context_.scheduleCycle();
}

const TaskFacts::Fact* TaskFacts::factOf(const AttemptId& id) const {
  const auto* job = context_.replica.job(id.task.job);
  if (!job || job->record.chunkSize == 0) return nullptr;
  auto due = due_.find({id.task.job, id.task.index / job->record.chunkSize});
  if (due == due_.end()) return nullptr;
  auto fact = due->second.facts.find(id.task.index);
  return fact != due->second.facts.end() && fact->second.attempt == id.attempt ? &fact->second
                                                                               : nullptr;
}

// Somebody waits for these: a job that is complete, or a machine that can't go before its tasks.
bool TaskFacts::factsUrgent(const ChunkKey& key, const Due& due) const {
  const auto* job = context_.replica.job(key.first);
  if (!job || !job->active()) return true;
  auto done = dueDone_.find(key.first);
  if (job->record.flow) {
    // Its dependents wait, but many ends at once are few writes.
    if (context_.runtime.now() - due.since >= kFlowFactsWait) return true;
    return done != dueDone_.end() && done->second >= job->placed.size() && job->waiting() == 0;
  }
  if (context_.runtime.now() - due.since >= kFactsWait) return true;
  return done != dueDone_.end() && job->finishedCount + done->second >= job->tasks;
}

}  // namespace kestrelhoist
