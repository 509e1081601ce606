// The leader's transactions: facts, releases, rentals, placements.
#include <algorithm>

#include "app/leader.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kCommitTimeout{1500};
constexpr Duration kRetry{200};
constexpr std::size_t kMaxPauseS = 60;
// A transaction may be 64 KiB altogether, in text form.
constexpr std::size_t kMaxBytes = 56 * 1024;
constexpr std::size_t kBytesPerWrite = 400;  // keys, conditions, a job's end
// Facts that nobody waits for are written together: their tasks stay on record a little longer,
// and the worker goes on reporting them until then.
constexpr Duration kFactsWait{1500};
}  // namespace

Transaction Leader::begin() const {
  Transaction t;
  // Every write conditions on the leader key's stamp: a deposed leader's late write fails.
  t.conditions.push_back({keys::kLeader, Revision{token_.value}});
  return t;
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

void Leader::noteFact(const TaskOn& task, Gone gone) {
  const JobId& job = task.id.task.job;
  if (!task.job || task.job->record.stretch == 0) return;
  DueFacts& due = due_[{job, task.id.task.index / task.job->record.stretch}];
  if (due.facts.empty()) due.since = s_.runtime.now();
  auto [it, isNew] = due.facts.try_emplace(task.id.task.index, Fact{task.id.attempt, gone});
  if (!isNew) return;
  // Only an array's task can be done; a service's that ended by itself is started again.
  bool done = gone == Gone::done && task.job->record.spec->kind != JobKind::service;
  ++(done ? dueDone_ : dueAgain_)[job];
  planDirty_ = true;
  if (gone == Gone::done) pauses_.erase(job);
  if (gone != Gone::failed && gone != Gone::refused) return;
  // A job submitted with a mistake fails everywhere: growing pauses, so it burns nothing.
  Pause& pause = pauses_[job];
  pause.failures = std::min(pause.failures + 1, 16);
  auto seconds = std::min<std::size_t>(kMaxPauseS, 1UL << std::min(pause.failures - 1, 6));
  Duration length{static_cast<std::int64_t>(gone == Gone::failed ? seconds : 1) * 1000};
  pause.until = s_.runtime.now() + length;
  spdlog::info("task {} {}: its job pauses {} ms", task.id.str(),
               gone == Gone::failed ? "failed" : "was refused", length.count());
}

// Off the record, or no longer what is on it.
void Leader::forgetFact(const AttemptId& id, const JobState& job) {
  auto due = due_.find({id.task.job, id.task.index / job.record.stretch});
  if (due == due_.end()) return;
  auto fact = due->second.facts.find(id.task.index);
  if (fact == due->second.facts.end() || fact->second.attempt != id.attempt) return;
  bool done = fact->second.gone == Gone::done && job.record.spec->kind != JobKind::service;
  auto& counts = done ? dueDone_ : dueAgain_;
  if (auto c = counts.find(id.task.job); c != counts.end() && --c->second == 0) counts.erase(c);
  due->second.facts.erase(fact);
  if (due->second.facts.empty()) due_.erase(due);
}

void Leader::noteFacts(Machine& m) {
  if (m.memory.gone.empty()) return;
  const auto* record = s_.replica.machine(m.id);
  if (!record) return;
  for (const auto& [attempt, gone] : m.memory.gone) {
    const auto* task = record->find(attempt);
    if (!task || factOf(attempt)) continue;
    noteFact(*task, gone);
    // Faulty machines: tasks of several jobs fail there, with no success between.
    if (gone == Gone::failed) m.failedJobs.insert(attempt.task.job);
    if (gone == Gone::done) m.failedJobs.clear();
  }
  kick();
}

const Leader::Fact* Leader::factOf(const AttemptId& id) const {
  const auto* job = s_.replica.job(id.task.job);
  if (!job || job->record.stretch == 0) return nullptr;
  auto due = due_.find({id.task.job, id.task.index / job->record.stretch});
  if (due == due_.end()) return nullptr;
  auto fact = due->second.facts.find(id.task.index);
  return fact != due->second.facts.end() && fact->second.attempt == id.attempt ? &fact->second
                                                                               : nullptr;
}

// Somebody waits for these: a job that is complete, or a machine that can't go before its tasks.
bool Leader::factsUrgent(const StretchKey& key, const DueFacts& due) const {
  if (s_.runtime.now() - due.since >= kFactsWait) return true;
  const auto* job = s_.replica.job(key.first);
  if (!job || !job->active()) return true;
  auto done = dueDone_.find(key.first);
  return done != dueDone_.end() && job->finishedCount + done->second >= job->tasks;
}

// Puts together one transaction over stretches of jobs' tasks. Whatever is due for a stretch
// goes with any change of it, so a task that is lost leaves its machine and gets its next one in
// the same write.
class Leader::TaskWrites {
 public:
  explicit TaskWrites(Leader& leader)
      : leader_(leader), limit_(leader.s_.platform.transactionOps) {}

  // False: this transaction is full.
  bool open(const JobId& id, const JobState& job, std::uint32_t stretch) {
    if (drafts_.contains({id, stretch})) return true;
    // Room for this stretch and for its job's end.
    if (full_ || drafts_.size() + ending_ + 2 > limit_) return false;
    Draft draft{&job, leader_.s_.replica.stretchOf(job, stretch), 0, 0, false};
    std::size_t size = draft.record.bytes();
    if (bytes_ + size + kBytesPerWrite > kMaxBytes && !drafts_.empty()) {
      full_ = true;  // asked again for each of thousands of placements, which must cost nothing
      return false;
    }
    bytes_ += size + kBytesPerWrite;
    draft.bytes = size;
    if (auto due = leader_.due_.find({id, stretch}); due != leader_.due_.end()) {
      for (const auto& [index, fact] : due->second.facts) takeOff(id, draft, index, fact);
    }
    if (draft.done > 0) {
      auto& done = newlyDone_[id];
      done += draft.done;
      if (job.finishedCount + done >= job.tasks) ++ending_;
    }
    drafts_.emplace(std::pair(id, stretch), std::move(draft));
    return true;
  }

  // False: no more of this stretch in this transaction.
  bool place(const JobId& id, const JobState& job, std::uint32_t index, const Placed& placed) {
    std::uint32_t stretch = index / job.record.stretch;
    if (!open(id, job, stretch)) return false;
    Draft& draft = drafts_.at({id, stretch});
    std::size_t more = placed.machine.value.size() + 46;
    if (draft.bytes + more > leader_.s_.platform.valueBytes || bytes_ + more > kMaxBytes) {
      return false;
    }
    draft.bytes += more;
    bytes_ += more;
    draft.record.placed.insert_or_assign(index, placed);
    draft.places = true;
    return true;
  }

  bool mayPlace(const JobId& id, const JobState& job, std::uint32_t index) const {
    if (job.isFinished(index)) return false;
    auto draft = drafts_.find({id, index / job.record.stretch});
    if (draft != drafts_.end()) {
      return !draft->second.record.placed.contains(index) &&
             !draft->second.record.finished.test(index % job.record.stretch);
    }
    auto placed = job.placed.find(index);
    if (placed == job.placed.end()) return true;
    const Fact* fact = leader_.factOf({{id, index}, placed->second.attempt});
    return fact && (fact->gone != Gone::done || job.record.spec->kind == JobKind::service);
  }

  bool empty() const { return drafts_.empty(); }
  std::vector<std::pair<AttemptId, Gone>>& settled() { return settled_; }

  void finish(Transaction& t) {
    std::set<JobId> conditioned, ended;
    for (auto& [key, draft] : drafts_) {
      const auto& [id, stretch] = key;
      const JobState& job = *draft.job;
      std::string name = keys::tasks(id, stretch);
      t.conditions.push_back({name, leader_.s_.replica.stampOf(name)});
      auto done = newlyDone_.find(id);
      bool ends = done != newlyDone_.end() && job.finishedCount + done->second >= job.tasks;
      // All tasks are done: the job's end is in the same transaction, on the job's stamp, and
      // what is left to know of its tasks goes. An abort moves the stamp, so it and a placement
      // can't both win; and a late copy of the write that created the key can't bring it back.
      bool drop =
          ends && draft.record.placed.empty() && leader_.s_.replica.stampOf(name) != Revision{};
      t.writes.push_back(
          {name, drop ? std::nullopt : std::optional(toJson(draft.record)), std::nullopt});
      if ((ends || draft.places) && conditioned.insert(id).second) {
        t.conditions.push_back({keys::job(id), job.stamp});
      }
      if (ends && ended.insert(id).second) {
        JobRecord record = job.record;
        record.phase = JobPhase::done;
        t.writes.push_back({keys::job(id), toJson(record), std::nullopt});
        spdlog::info("job {}: all {} tasks done", id.value, job.tasks);
      }
    }
  }

 private:
  struct Draft {
    const JobState* job;
    TasksRecord record;
    std::size_t bytes;
    std::uint32_t done;
    bool places;
  };

  void takeOff(const JobId& id, Draft& draft, std::uint32_t index, const Fact& fact) {
    auto at = draft.record.placed.find(index);
    if (at == draft.record.placed.end() || at->second.attempt != fact.attempt) return;
    draft.record.placed.erase(at);
    const JobState& job = *draft.job;
    if (fact.gone == Gone::done && job.active() && job.record.spec->kind != JobKind::service &&
        !draft.record.finished.test(index % job.record.stretch)) {
      draft.record.finished.set(index % job.record.stretch);
      ++draft.done;
    }
    settled_.push_back({{{id, index}, fact.attempt}, fact.gone});
  }

  Leader& leader_;
  std::size_t limit_;
  std::map<StretchKey, Draft> drafts_;
  std::map<JobId, std::uint32_t> newlyDone_;
  std::vector<std::pair<AttemptId, Gone>> settled_;
  std::size_t ending_ = 0;
  bool full_ = false;
  std::size_t bytes_ = 1024;
};

// What has been proven of tasks and, with a plan, its placements that still hold. A launch
// follows only after the commit.
std::optional<Leader::Pending> Leader::nextTasks(const PlanInput* input, const Plan* plan) {
  TaskWrites writes(*this);
  Instant now = s_.runtime.now();
  std::set<MachineId> machines;
  std::size_t placements = 0;
  if (plan) {
    highest_ = std::max(highest_, s_.replica.cursor());
    std::map<std::size_t, std::uint32_t> next;  // by job: from which task on to look
    for (const auto& p : plan->placements) {
      const PlanJob& wanted = input->jobs[p.job];
      const JobId& id = wanted.spec->id;
      const auto* job = s_.replica.job(id);
      Machine* m = fleet_.find(input->machines[p.machine].id);
      // The picture may be older than what has been read since.
      if (!m || !fleet_.usable(*m, now) || !job || !job->active() || job->stamp != wanted.stamp) {
        planDirty_ = true;
        continue;
      }
      std::uint32_t& index = next[p.job];
      while (index < job->tasks && !writes.mayPlace(id, *job, index)) ++index;
      if (index >= job->tasks) continue;
      // Attempts are larger than any of this task before: each earlier placement and its end were
      // committed at revisions up to `highest_`.
      Placed placed{m->id, m->memory.last->tenure, Attempt{highest_.value}};
      if (!writes.place(id, *job, index, placed)) {
        planDirty_ = true;
        continue;
      }
      spdlog::debug("placing {}/{} on {}", id.value, index, m->id.value);
      ++index;
      ++placements;
      machines.insert(m->id);
    }
  }
  // Oldest first, so that none waits for ever behind others.
  std::vector<std::pair<Instant, StretchKey>> urgent;
  std::vector<AttemptId> stale;
  for (const auto& [key, due] : due_) {
    if (!factsUrgent(key, due)) continue;
    urgent.emplace_back(due.since, key);
    const auto& placed = s_.replica.job(key.first)->placed;
    for (const auto& [index, fact] : due.facts) {
      auto at = placed.find(index);
      if (at == placed.end() || at->second.attempt != fact.attempt) {
        stale.push_back({{key.first, index}, fact.attempt});
      }
    }
  }
  for (const auto& id : stale) forgetFact(id, *s_.replica.job(id.task.job));
  std::sort(urgent.begin(), urgent.end());
  for (const auto& [since, key] : urgent) {
    if (!due_.contains(key)) continue;
    if (!writes.open(key.first, *s_.replica.job(key.first), key.second)) break;
  }
  if (writes.empty()) return std::nullopt;
  Transaction t = begin();
  writes.finish(t);
  auto settled = std::move(writes.settled());
  std::size_t count = settled.size();
  return Pending{
      std::move(t),
      [this, settled = std::move(settled), machines] {
        for (const auto& [attempt, gone] : settled) {
          spdlog::debug("task {} off its machine: {}", attempt.str(), static_cast<int>(gone));
          told_.erase(attempt);
          forgetFact(attempt, *s_.replica.job(attempt.task.job));
        }
        for (const auto& m : machines) push(m);
      },
      std::to_string(count) + " facts, " + std::to_string(placements) + " placements on " +
          std::to_string(machines.size()) + " machines"};
}

// First the mark that a machine gets no more work; after the cloud's 200, and once its tasks are
// off the record, the end of its entry. One write for all machines of a rental.
std::optional<Leader::Pending> Leader::nextReleases() {
  std::map<RentalId, RentalRecord> drafts;
  std::vector<MachineId> ended;
  std::size_t marked = 0;
  auto draftOf = [&](const RentalId& id) -> RentalRecord* {
    auto rental = s_.replica.rentals().find(id);
    if (rental == s_.replica.rentals().end()) return nullptr;
    if (!drafts.contains(id) && drafts.size() >= s_.platform.transactionOps) return nullptr;
    return &drafts.try_emplace(id, rental->second).first->second;
  };
  for (const auto& id : releaseConfirmed_) {
    const auto* state = s_.replica.machine(id);
    if (!state) {
      ended.push_back(id);
    } else if (state->tasks.empty()) {
      if (auto* draft = draftOf(state->rental)) {
        std::erase_if(draft->machines, [&](const auto& m) { return m.id == id; });
        ended.push_back(id);
      }
    }
  }
  for (const auto& id : fleet_.toRelease()) {
    const auto* state = s_.replica.machine(id);
    if (!state || state->leaving || releaseConfirmed_.contains(id)) continue;
    if (auto* draft = draftOf(state->rental)) {
      for (auto& m : draft->machines) m.leaving = m.leaving || m.id == id;
      ++marked;
    }
  }
  auto settle = [this, ended] {
    for (const auto& id : ended) releaseConfirmed_.erase(id);
  };
  if (drafts.empty()) {
    settle();
    return std::nullopt;
  }
  Transaction t = begin();
  for (const auto& [id, draft] : drafts) {
    std::string key = keys::rental(id);
    t.conditions.push_back({key, s_.replica.stampOf(key)});
    t.writes.push_back(
        {key, draft.machines.empty() ? std::nullopt : std::optional(toJson(draft)), std::nullopt});
  }
  return Pending{
      std::move(t),
      [this, settle] {
        settle();
        startReleases();
      },
      std::to_string(marked) + " machines leaving, " + std::to_string(ended.size()) + " gone"};
}

// A rental is written down before it is asked for, and again with the machines that came of it.
std::optional<Leader::Pending> Leader::nextRentals() {
  const std::size_t limit = s_.platform.transactionOps;
  Transaction t = begin();
  std::vector<RentalId> ended;
  std::size_t bytes = 1024;
  auto add = [&](const RentalId& id, std::optional<Json> value) {
    std::string key = keys::rental(id);
    t.conditions.push_back({key, s_.replica.stampOf(key)});
    t.writes.push_back({key, std::move(value), std::nullopt});
  };
  auto full = [&] { return t.writes.size() >= limit || bytes > kMaxBytes; };
  for (const auto& [id, result] : rentalResults_) {
    if (full()) break;
    ended.push_back(id);
    auto rental = s_.replica.rentals().find(id);
    if (rental == s_.replica.rentals().end()) continue;
    RentalRecord record = rental->second;
    record.answered = true;
    for (const auto& machine : result.machines) {
      bytes += machine.value.size() + 4;
      const auto* known = s_.replica.machine(machine);
      if ((known && !known->rental.empty()) || fleet_.isReleased(machine)) continue;
      record.machines.push_back({machine, false});
    }
    add(id, record.machines.empty() ? std::nullopt : std::optional(toJson(record)));
  }
  // Machines that nobody expected: on record before they can be used. While a rental of their
  // kind has no answer on record yet, they are likely its own.
  std::map<Offer, RentalRecord> adopted;
  constexpr std::size_t kMostAdopted = 50;  // of a kind at a time, for the size of the value
  auto adopt = [&](const MachineId& id, bool leaving) {
    const Machine* m = fleet_.find(id);
    const auto* known = s_.replica.machine(id);
    if (!m || m->type.empty() || (known && !known->rental.empty())) return;
    Offer offer{m->type, m->zone, m->spot};
    for (const auto& [rentalId, r] : s_.replica.rentals()) {
      if (!r.answered && Offer{r.type, r.zone, r.spot} == offer) return;
    }
    RentalRecord& record = adopted[offer];
    if (record.machines.size() >= kMostAdopted) return;
    record.machines.push_back({id, leaving});
  };
  for (const auto& id : fleet_.unexpected()) adopt(id, false);
  for (const auto& id : fleet_.toRelease()) adopt(id, true);
  for (auto& [offer, record] : adopted) {
    if (full()) break;
    record.id =
        RentalId{"a-" + std::to_string(token_.value) + "-" + std::to_string(++rentalCount_)};
    record.type = offer.type;
    record.zone = offer.zone;
    record.spot = offer.spot;
    record.count = static_cast<std::uint32_t>(record.machines.size());
    record.atMs = s_.runtime.wallMillis();
    record.answered = true;
    spdlog::info("{} machines in {} adopted", record.count, offer.zone.value);
    add(record.id, toJson(record));
  }
  // No more than the cloud takes calls for in a second: what is still wanted later is decided
  // anew until then, so that few calls carry many machines each.
  constexpr std::uint32_t kMostAtOnce = 50;  // that the cloud rents in one call
  std::size_t underWay = 0, written = 0;
  for (const auto& [id, r] : s_.replica.rentals()) {
    underWay += !r.answered && !rentalResults_.contains(id) ? 1 : 0;
  }
  auto most = static_cast<std::size_t>(std::max(1.0, s_.platform.cloudRequestsPerS));
  while (!wanted_.empty() && underWay + written < most && !full()) {
    // Work that needs ordinary machines can use no others; then the most that one call brings.
    auto next = std::max_element(wanted_.begin(), wanted_.end(), [](const auto& a, const auto& b) {
      if (a.first.spot != b.first.spot) return a.first.spot;
      return a.second < b.second;
    });
    std::uint32_t n = std::min(next->second, kMostAtOnce);
    const Offer& offer = next->first;
    // Unique for ever: tokens are, and the counter within one.
    RentalId id{"r-" + std::to_string(token_.value) + "-" + std::to_string(++rentalCount_)};
    RentalRecord record{id,    offer.type, offer.zone, offer.spot, n, s_.runtime.wallMillis(),
                        false, {}};
    add(id, toJson(record));
    ++written;
    next->second -= n;
    if (next->second == 0) wanted_.erase(next);
  }
  if (t.writes.empty()) {
    for (const auto& id : ended) rentalResults_.erase(id);
    return std::nullopt;
  }
  return Pending{
      std::move(t),
      [this, ended] {
        for (const auto& id : ended) {
          rentalResults_.erase(id);
          rentalsAsked_.erase(id);
        }
        fleet_.adoptRecords(s_.runtime.now(), s_.runtime.wallMillis());
        planDirty_ = true;
        startHires();
      },
      std::to_string(written) + " rentals wanted, " + std::to_string(ended.size()) + " ended"};
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

}  // namespace kestrelhoist
