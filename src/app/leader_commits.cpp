// The leader's transactions: facts, releases, rentals, placements.
#include <algorithm>

#include "app/leader.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kCommitTimeout{1500};
constexpr Duration kRetry{200};
constexpr std::size_t kMaxPauseS = 60;
// Of all records in one transaction, so that it stays within the 64 KiB of the state service.
constexpr std::size_t kMaxTasksListed = 1000;
}  // namespace

Transaction Leader::begin() const {
  Transaction t;
  // Every write conditions on the leader key's stamp: a deposed leader's late write fails.
  t.conditions.push_back({keys::kLeader, Revision{token_.value}});
  return t;
}

// Sets or (null) drops a machine's record, on the stamp last read.
void Leader::addMachine(Transaction& t, const MachineId& id, const MachineRecord* record) const {
  std::string key = keys::machine(id);
  t.conditions.push_back({key, s_.replica.stampOf(key)});
  t.writes.push_back({key, record ? std::optional(toJson(*record)) : std::nullopt, std::nullopt});
}

void Leader::commit(Pending pending) {
  busy_ = true;
  auto shared = std::make_shared<Pending>(std::move(pending));
  double cost = static_cast<double>(shared->transaction.writes.size());
  Duration wait = writes_.waitFor(s_.runtime.now(), cost);
  if (wait.count() > 0) {
    s_.runtime.after(wait, guard([this, shared] { send(shared); }));
  } else {
    send(shared);
  }
}

// The same transaction until there is an answer. Each writes a key that it conditions on, so of
// several copies at most one is applied, and after 200 or 409 none can be applied later.
void Leader::send(std::shared_ptr<Pending> pending) {
  writes_.take(s_.runtime.now(), static_cast<double>(pending->transaction.writes.size()));
  s_.store.commit(pending->transaction, kCommitTimeout, guard([this, pending](CommitResult r) {
                    switch (r.outcome) {
                      case Outcome::applied:
                        for (const auto& w : pending->transaction.writes) {
                          s_.replica.apply({w.key, w.value, r.epoch});
                        }
                        highest_ = std::max(highest_, r.epoch);
                        busy_ = false;
                        planDirty_ = true;
                        spdlog::debug("committed at {}: {}", r.epoch.value, pending->what);
                        if (pending->applied) pending->applied();
                        kick();
                        return;
                      case Outcome::conflict:
                        spdlog::info("commit in conflict, reading again: {}", pending->what);
                        s_.feed.fresh(guard([this](bool ok) {
                          (void)ok;
                          busy_ = false;
                          planDirty_ = true;
                          kick();
                        }));
                        return;
                      case Outcome::rejected:
                      case Outcome::noLease:
                        spdlog::error("commit rejected: {}", pending->what);
                        s_.runtime.after(Duration{1000}, guard([this] {
                                           busy_ = false;
                                           kick();
                                         }));
                        return;
                      case Outcome::refused:
                      case Outcome::unknown:
                        s_.runtime.after(kRetry, guard([this, pending] { send(pending); }));
                        return;
                    }
                  }));
}

// What reports have proven: tasks done, gone or lost.
std::optional<Leader::Pending> Leader::nextFacts() {
  const std::size_t limit = s_.platform.transactionOps;
  Transaction t = begin();
  std::map<std::string, TaskBits> progress;  // new values by key
  std::map<JobId, std::uint32_t> newlyFinished;
  std::vector<std::pair<AttemptId, Gone>> settled;
  std::size_t listed = 0;
  for (auto& [id, m] : fleet_.machines()) {
    if (m.memory.gone.empty()) continue;
    const auto* record = s_.replica.machine(id);
    if (!record) {
      m.memory.gone.clear();
      continue;
    }
    // Room for this machine, one task's progress and its job's end.
    if (t.writes.size() + progress.size() + newlyFinished.size() + 3 > limit) break;
    if (!t.writes.empty() && listed + record->tasks.size() > kMaxTasksListed) break;
    listed += record->tasks.size();
    MachineRecord changed = *record;
    bool any = false;
    std::vector<AttemptId> stale;
    for (const auto& [attempt, gone] : m.memory.gone) {
      auto at = std::find(changed.tasks.begin(), changed.tasks.end(), attempt);
      if (at == changed.tasks.end()) {
        stale.push_back(attempt);
        continue;
      }
      const auto* job = s_.replica.job(attempt.task.job);
      if (gone == Gone::done && job && job->active() && job->record.spec &&
          job->record.spec->kind != JobKind::service && !job->isFinished(attempt.task.index)) {
        std::uint32_t chunk = attempt.task.index / TaskBits::kPerChunk;
        std::string key = keys::progress(attempt.task.job, chunk);
        std::size_t more =
            (progress.contains(key) ? 0 : 1) + (newlyFinished.contains(attempt.task.job) ? 0 : 1);
        if (t.writes.size() + 1 + progress.size() + newlyFinished.size() + more > limit) continue;
        auto [it, isNew] = progress.try_emplace(key);
        if (isNew) {
          auto old = job->finished.find(chunk);
          if (old != job->finished.end()) it->second = old->second;
        }
        it->second.set(attempt.task.index % TaskBits::kPerChunk);
        ++newlyFinished[attempt.task.job];
      }
      changed.tasks.erase(at);
      settled.emplace_back(attempt, gone);
      any = true;
    }
    for (const auto& a : stale) m.memory.gone.erase(a);
    if (!any) continue;
    if (changed.tasks.empty() && m.memory.last) changed.tenure = m.memory.last->tenure;
    addMachine(t, id, &changed);
  }
  if (t.writes.empty()) return std::nullopt;
  for (const auto& [key, bits] : progress) {
    t.conditions.push_back({key, s_.replica.stampOf(key)});
    t.writes.push_back({key, Json(bits.toHex()), std::nullopt});
  }
  for (const auto& [id, count] : newlyFinished) {
    const auto* job = s_.replica.job(id);
    if (job->finishedCount + count < job->tasks) continue;
    // All tasks are done: the job's end is in the same transaction, on the job's stamp.
    JobRecord done = job->record;
    done.phase = JobPhase::done;
    t.conditions.push_back({keys::job(id), job->stamp});
    t.writes.push_back({keys::job(id), toJson(done), std::nullopt});
    spdlog::info("job {}: all {} tasks done", id.value, job->tasks);
  }
  auto applied = [this, settled] {
    Instant now = s_.runtime.now();
    for (const auto& [attempt, gone] : settled) {
      told_.erase(attempt);
      spdlog::debug("task {} off its machine: {}", attempt.str(), static_cast<int>(gone));
      const JobId& job = attempt.task.job;
      if (gone == Gone::done) pauses_.erase(job);
      if (gone != Gone::failed && gone != Gone::refused) continue;
      // A job submitted with a mistake fails everywhere: growing pauses, so it burns nothing.
      Pause& pause = pauses_[job];
      pause.failures = std::min(pause.failures + 1, 16);
      auto seconds = std::min<std::size_t>(kMaxPauseS, 1UL << std::min(pause.failures - 1, 6));
      pause.until =
          now + Duration{static_cast<std::int64_t>(gone == Gone::failed ? seconds : 1) * 1000};
      spdlog::info("task {} {}: its job pauses {} ms", attempt.str(),
                   gone == Gone::failed ? "failed" : "was refused", (pause.until - now).count());
    }
  };
  for (auto& [id, m] : fleet_.machines()) {
    for (const auto& [attempt, gone] : m.memory.gone) {
      // Faulty machines: tasks of several jobs fail there, with no success between.
      if (gone == Gone::failed) m.failedJobs.insert(attempt.task.job);
      if (gone == Gone::done) m.failedJobs.clear();
    }
  }
  return Pending{std::move(t), applied, "facts of " + std::to_string(settled.size()) + " tasks"};
}

// First the mark that a machine gets no more work, after the cloud's 200 the end of its record.
std::optional<Leader::Pending> Leader::nextRelease() {
  Transaction t = begin();
  std::vector<MachineId> marked, dropped;
  for (const auto& id : releaseConfirmed_) {
    if (t.writes.size() >= s_.platform.transactionOps) break;
    if (s_.replica.machine(id)) addMachine(t, id, nullptr);
    dropped.push_back(id);
  }
  for (const auto& [id, m] : fleet_.machines()) {
    if (t.writes.size() >= s_.platform.transactionOps) break;
    if (!m.releaseWanted || releaseConfirmed_.contains(id) || releasing_.contains(id)) continue;
    const auto* record = s_.replica.machine(id);
    if (record && record->leaving) continue;
    MachineRecord leaving;
    if (record) {
      leaving = *record;
    } else {
      leaving.type = m.type;
      leaving.zone = m.zone;
      leaving.spot = m.spot;
    }
    leaving.leaving = true;
    addMachine(t, id, &leaving);
    marked.push_back(id);
  }
  auto settle = [this, dropped] {
    for (const auto& id : dropped) {
      releaseConfirmed_.erase(id);
      fleet_.onReleased(id, s_.runtime.now());
    }
  };
  if (t.writes.empty()) {
    settle();
    return std::nullopt;
  }
  return Pending{std::move(t),
                 [this, settle] {
                   settle();
                   startReleases();
                 },
                 std::to_string(marked.size()) + " machines leaving, " +
                     std::to_string(dropped.size()) + " gone"};
}

// A rental is written down before it is asked for; its machines come on record with its end.
std::optional<Leader::Pending> Leader::nextHire() {
  const std::size_t limit = s_.platform.transactionOps;
  Transaction t = begin();
  std::vector<HireId> ended;
  for (const auto& [id, result] : hireResults_) {
    const auto& hires = s_.replica.hires();
    auto hire = hires.find(id);
    if (hire == hires.end()) {
      ended.push_back(id);
      continue;
    }
    if (t.writes.size() + 1 + result.machines.size() > limit && !t.writes.empty()) break;
    std::string key = keys::hire(id);
    t.conditions.push_back({key, s_.replica.stampOf(key)});
    t.writes.push_back({key, std::nullopt, std::nullopt});
    for (const auto& machine : result.machines) {
      if (s_.replica.machine(machine) || fleet_.isReleased(machine)) continue;
      // More than fit are adopted from the list or their first report.
      if (t.writes.size() >= limit) break;
      MachineRecord record;
      record.type = hire->second.type;
      record.zone = hire->second.zone;
      record.spot = hire->second.spot;
      record.rentedAtMs = s_.runtime.wallMillis();
      addMachine(t, machine, &record);
    }
    ended.push_back(id);
  }
  // Machines that nobody expected: on record (with no tasks) before they can be used.
  for (const auto& [id, m] : fleet_.machines()) {
    if (t.writes.size() >= limit) break;
    if (!m.heard() || m.releaseWanted || s_.replica.machine(id)) continue;
    bool justHired = std::any_of(hireResults_.begin(), hireResults_.end(), [&](const auto& r) {
      const auto& list = r.second.machines;
      return std::find(list.begin(), list.end(), id) != list.end();
    });
    if (justHired) continue;
    MachineRecord record;
    record.type = m.type;
    record.zone = m.zone;
    record.spot = m.spot;
    record.address = m.memory.last->address;
    record.rentedAtMs = s_.runtime.wallMillis();
    addMachine(t, id, &record);
  }
  std::vector<HireRecord> written;
  while (!hireWanted_.empty() && t.writes.size() < limit) {
    HireRecord hire = hireWanted_.front();
    hireWanted_.pop_front();
    std::string key = keys::hire(hire.id);
    t.conditions.push_back({key, Revision{}});
    t.writes.push_back({key, toJson(hire), std::nullopt});
    written.push_back(hire);
  }
  if (t.writes.empty()) {
    for (const auto& id : ended) hireResults_.erase(id);
    return std::nullopt;
  }
  return Pending{std::move(t),
                 [this, ended] {
                   for (const auto& id : ended) {
                     hireResults_.erase(id);
                     hireAsked_.erase(id);
                   }
                   fleet_.adoptRecords(s_.runtime.now(), s_.runtime.wallMillis());
                   startHires();
                 },
                 std::to_string(written.size()) + " rentals wanted, " +
                     std::to_string(ended.size()) + " ended"};
}

std::optional<Leader::Pending> Leader::nextOther() {
  Transaction t = begin();
  auto set = [&](const std::string& key, Json value) {
    t.conditions.push_back({key, s_.replica.stampOf(key)});
    t.writes.push_back({key, std::move(value), std::nullopt});
  };
  if (catalogue_ && !s_.replica.catalogue()) set(keys::kCatalogue, toJson(*catalogue_));
  if (forecastDirty_) {
    Json value = forecastsToJson();
    if (value.dump().size() < s_.platform.valueBytes) set(keys::kForecast, std::move(value));
    forecastDirty_ = false;
  }
  if (t.writes.empty()) return std::nullopt;
  return Pending{std::move(t), nullptr, "types or forecast"};
}

// The placements of a plan that still hold. The launch follows only after the commit.
std::optional<Leader::Pending> Leader::placementsOf(const PlanInput& input, const Plan& plan) {
  Transaction t = begin();
  std::map<std::size_t, MachineRecord> records;
  std::map<JobId, Revision> jobs;
  std::vector<AttemptId> placed;
  std::set<MachineId> machines;
  std::size_t listed = 0;
  highest_ = std::max(highest_, s_.replica.cursor());
  const std::size_t maxConditions = 4 * s_.platform.transactionOps;
  for (const auto& p : plan.placements) {
    const PlanMachine& target = input.machines[p.machine];
    Machine* m = fleet_.find(target.id);
    const auto* job = s_.replica.job(p.task.job);
    // The picture may be older than what has been read since.
    if (!m || !fleet_.usable(*m, s_.runtime.now()) || !job || !job->active() ||
        job->stamp != input.jobs[p.job].stamp || job->placed.contains(p.task.index) ||
        job->isFinished(p.task.index) ||
        // Only on a record that exists: a late copy of a transaction that creates one could bring
        // it back, with its tasks, after the machine was released and the tasks ran elsewhere.
        target.stamp == Revision{} ||
        s_.replica.stampOf(keys::machine(target.id)) != target.stamp) {
      planDirty_ = true;
      continue;
    }
    if (!jobs.contains(p.task.job) && 1 + records.size() + 1 + jobs.size() + 1 > maxConditions) {
      planDirty_ = true;
      continue;
    }
    const auto* old = s_.replica.machine(target.id);
    if (!records.contains(p.machine)) listed += old->tasks.size();
    if (++listed > kMaxTasksListed && !placed.empty()) {
      planDirty_ = true;
      break;
    }
    auto [it, isNew] = records.try_emplace(p.machine);
    MachineRecord& record = it->second;
    if (isNew) {
      record = *old;
      record.type = m->type;
      record.zone = m->zone;
      record.spot = m->spot;
      record.address = m->memory.last->address;
      record.tenure = m->memory.last->tenure;
    }
    // Larger than any attempt of this task before: each earlier placement and its end were
    // committed at revisions up to `highest_`.
    AttemptId id{p.task, Attempt{highest_.value}};
    record.tasks.push_back(id);
    jobs.emplace(p.task.job, job->stamp);
    placed.push_back(id);
    machines.insert(target.id);
    spdlog::debug("placing {} on {} ({} in {}, image {})", id.str(), target.id.value,
                  target.spot ? "spot" : "ordinary", target.zone.value,
                  target.images.contains(job->record.spec->image) ? "there" : "to be fetched");
  }
  if (placed.empty()) return std::nullopt;
  for (const auto& [index, record] : records) addMachine(t, input.machines[index].id, &record);
  // An abort moves the job's stamp, so it and a placement can't both win.
  for (const auto& [id, stamp] : jobs) t.conditions.push_back({keys::job(id), stamp});
  return Pending{std::move(t),
                 [this, machines] {
                   for (const auto& m : machines) push(m);
                 },
                 std::to_string(placed.size()) + " placements on " +
                     std::to_string(machines.size()) + " machines"};
}

}  // namespace kestrelhoist
