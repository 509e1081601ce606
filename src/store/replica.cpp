#include "store/replica.hpp"

#include <algorithm>
#include <charconv>

#include "base/log.hpp"

namespace kestrelhoist {

bool JobState::isFinished(std::uint32_t index) const {
  if (record.stretch == 0) return false;
  auto it = finished.find(index / record.stretch);
  return it != finished.end() && it->second.test(index % record.stretch);
}

std::uint32_t JobState::failuresOf(std::uint32_t index) const {
  if (!flow || record.stretch == 0) return 0;
  auto stretch = flow->stretches.find(index / record.stretch);
  if (stretch == flow->stretches.end()) return 0;
  auto it = stretch->second.failures.find(index);
  return it == stretch->second.failures.end() ? 0 : it->second;
}

bool JobState::isGivenUp(std::uint32_t index) const {
  return record.flow && failuresOf(index) > record.flow->retries;
}

std::uint32_t JobState::waiting() const {
  std::uint32_t settled = finishedCount + static_cast<std::uint32_t>(placed.size());
  if (record.flow) {
    std::uint32_t n = 0;
    for (auto index : record.flow->dropped) {
      n += !isFinished(index) && !placed.contains(index) ? 1 : 0;
    }
    if (flow) {
      for (const auto& [stretch, s] : flow->stretches) {
        for (const auto& [index, count] : s.failures) {
          n += count > record.flow->retries && !isFinished(index) && !placed.contains(index) &&
                       !isDropped(index)
                   ? 1
                   : 0;
        }
      }
    }
    settled += n;
  }
  return settled < tasks ? tasks - settled : 0;
}

const TaskOn* MachineState::find(const AttemptId& id) const {
  for (const auto& t : tasks) {
    if (t.id == id) return &t;
  }
  return nullptr;
}

const JobState* Replica::job(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const MachineState* Replica::machine(const MachineId& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

Revision Replica::stampOf(const std::string& key) const {
  auto it = stamps_.find(key);
  return it == stamps_.end() ? Revision{} : it->second;
}

bool Replica::cancelsUnderWay() const {
  return std::any_of(flows_.live().begin(), flows_.live().end(), [this](const FlowId& id) {
    const auto* flow = flows_.find(id);
    if (!flow || !flow->head || flow->head->phase != FlowPhase::cancelled) return false;
    return std::any_of(flow->jobs.begin(), flow->jobs.end(), [this](const JobId& id) {
      const auto* j = job(id);
      return j && j->active();
    });
  });
}

void Replica::clear() {
  auto slices = std::move(slices_);
  for (auto* slice : slices) slice->clear();
  *this = Replica{};
  slices_ = std::move(slices);
}

void Replica::advance(Revision epoch) {
  if (epoch > cursor_) cursor_ = epoch;
  std::erase_if(drops_, [&](const auto& d) { return d.second <= cursor_; });
}

void Replica::apply(const Change& c) {
  if (c.stamp <= stampOf(c.key)) return;
  // Our own commits are applied before the feed reaches them: an older event of the feed must
  // not bring back a key that we have dropped since.
  if (auto d = drops_.find(c.key); d != drops_.end() && c.stamp <= d->second) return;
  // A load in pages can show tasks of a job that was created after the page of jobs was read. Its
  // creation and these tasks are read again as changes, in order: until then this key is not known
  // at all. (Its stamp was, so the change was taken for an old one, and all tasks of that job were
  // placed twice.)
  if (c.value && c.key.starts_with(keys::kTasks) && !knowsJobOf(c.key)) return;
  if (c.value) {
    stamps_[c.key] = c.stamp;
  } else {
    stamps_.erase(c.key);
    drops_[c.key] = c.stamp;
  }
  const Json* value = c.value ? &*c.value : nullptr;
  auto rest = [&](const std::string& prefix) { return c.key.substr(prefix.size()); };
  if (c.key.starts_with(keys::kJob)) {
    setJob(JobId{rest(keys::kJob)}, value, c.stamp);
  } else if (c.key.starts_with(keys::kTasks)) {
    setTasks(rest(keys::kTasks), value, c.stamp);
  } else if (c.key.starts_with(keys::kAwaits)) {
    setAwaits(rest(keys::kAwaits), value);
  } else if (c.key.starts_with(keys::kRental)) {
    setRental(RentalId{rest(keys::kRental)}, value);
  } else if (c.key.starts_with(keys::kKey)) {
    keyRing_.apply(KeyId{rest(keys::kKey)}, value, c.stamp);
  } else if (c.key == keys::kCursorKey) {
    cursorKey_ = value ? textField(*value, "secret").value_or("") : "";
  } else if (auto slice = std::find_if(slices_.begin(), slices_.end(),
                                       [&](const RecordSlice* s) { return s->owns(c.key); });
             slice != slices_.end()) {
    (*slice)->apply(c.key, value, c.stamp);
  } else if (flows_.apply(c.key, value, c.stamp)) {
    return;
  } else if (c.key == keys::kLeader) {
    leader_ = value ? leaderRecordFrom(*value) : std::nullopt;
  } else if (c.key == keys::kCatalogue) {
    catalogue_ = c.value;
  } else if (c.key == keys::kForecast) {
    forecast_ = c.value;
  }
}

bool Replica::knowsJobOf(const std::string& tasksKey) const {
  auto rest = tasksKey.substr(keys::kTasks.size());
  return jobs_.contains(JobId{rest.substr(0, rest.find('/'))});
}

void Replica::setJob(const JobId& id, const Json* value, Revision stamp) {
  if (!value) {
    // Users' jobs are never dropped; a flow's are once all of their tasks are off every machine.
    auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second.record.flow || !it->second.placed.empty()) return;
    flows_.dropJob(it->second.record.flow->flow, id);
    live_.erase(id);
    jobs_.erase(it);
    return;
  }
  auto record = jobRecordFrom(id, *value);
  if (!record) {
    logError("job record can't be read", "job", id);
    return;
  }
  JobState& job = jobs_[id];
  job.stamp = stamp;
  job.tasks = record->spec->tasks;
  job.image = images_.of(record->spec->image);
  job.team = teams_.of(record->spec->team);
  job.record = std::move(*record);
  if (job.record.phase == JobPhase::cancelled) {
    newestCancelledJob_ = std::max(newestCancelledJob_, stamp);
  }
  if (job.record.flow) {
    if (!job.flow) job.flow = std::make_unique<FlowJobState>();
    flows_.addJob(job.record.flow->flow, id);
    flows_.touch(job.record.flow->flow, id);
  }
  if (job.record.owner) memberJobs_.note(job.record.owner->owner, id, stamp);
  updateDependencies(job, id);
  settle(job, id);
}

void Replica::setAwaits(const std::string& rest, const Json* value) {
  auto slash = rest.find('/');
  std::uint32_t part = 0;
  if (slash == std::string::npos || !value ||
      std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), part).ec != std::errc{}) {
    return;
  }
  const Json* list = field(*value, "jobs");
  auto jobs = list ? jobIdsFrom(*list) : std::nullopt;
  if (!jobs) {
    logError("awaited jobs can't be read", "part", rest);
    return;
  }
  JobId id{rest.substr(0, slash)};
  awaitsParts_[id][part] = std::move(*jobs);
  auto it = jobs_.find(id);
  if (it != jobs_.end()) updateDependencies(it->second, id);
}

// Takes in what a job awaits, and its end. One whose list is not wholly read is held.
void Replica::updateDependencies(JobState& job, const JobId& id) {
  auto facts = factsOf(id);
  job.awaitsUnread = !facts;
  if (!facts) return;
  if (job.record.phase != JobPhase::active) awaitsParts_.erase(id);
  graph_.update(id, *facts, *this);
}

std::optional<JobFacts> Replica::factsOf(const JobId& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const JobState& job = it->second;
  const JobSpec& spec = *job.record.spec;
  JobFacts facts;
  facts.phase = job.phase();
  facts.acceptedAtMs = job.record.acceptedAtMs;
  facts.endedAtMs = job.record.endedAtMs;
  facts.priority = spec.priority;
  facts.estimate = spec.estimate;
  if (spec.deadline) facts.dueMs = job.record.acceptedAtMs + spec.deadline->count();
  facts.awaits = spec.awaits;
  if (job.record.awaitsParts == 0 || job.record.phase != JobPhase::active) return facts;
  auto parts = awaitsParts_.find(id);
  if (parts == awaitsParts_.end()) return std::nullopt;
  for (std::uint32_t part = 0; part < job.record.awaitsParts; ++part) {
    auto jobs = parts->second.find(part);
    if (jobs == parts->second.end()) return std::nullopt;
    facts.awaits.insert(facts.awaits.end(), jobs->second.begin(), jobs->second.end());
  }
  return facts;
}

void Replica::dependenciesChanged(const JobId& id, const DependencyState& state) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  JobState& job = it->second;
  if (!job.dependencies) job.dependencies = std::make_unique<JobDependencies>();
  job.dependencies->state = state;
  const JobSpec& spec = *job.record.spec;
  job.dependencies->ordered = job.record.spec;
  if (state.priority > spec.priority) {
    JobSpec raised = spec;
    raised.priority = state.priority;
    job.dependencies->ordered = std::make_shared<const JobSpec>(std::move(raised));
  }
  if (state.cancelled) settle(job, id);
}

TasksRecord Replica::stretchOf(const JobState& job, std::uint32_t stretch) const {
  TasksRecord r;
  if (auto bits = job.finished.find(stretch); bits != job.finished.end()) {
    r.finished = bits->second;
  }
  auto first = job.placed.lower_bound(stretch * job.record.stretch);
  auto last = job.placed.lower_bound((stretch + 1) * job.record.stretch);
  r.placed.insert(first, last);
  if (job.flow) {
    if (auto s = job.flow->stretches.find(stretch); s != job.flow->stretches.end()) {
      r.failures = s->second.failures;
      r.use = s->second.use;
    }
  }
  return r;
}

void Replica::put(const JobId& id, JobState& job, std::uint32_t index, const Placed& placed) {
  job.placed.insert_or_assign(index, placed);
  auto [it, isNew] = machines_.try_emplace(placed.machine);
  // On no rental (yet): nobody can tell where it is, so it gets no work.
  if (isNew) it->second.leaving = true;
  it->second.tasks.push_back({{{id, index}, placed.attempt}, placed.tenure, &job});
}

void Replica::takeOff(const JobId& id, std::uint32_t index, const Placed& placed) {
  auto it = machines_.find(placed.machine);
  if (it == machines_.end()) return;
  AttemptId attempt{{id, index}, placed.attempt};
  std::erase_if(it->second.tasks, [&](const TaskOn& t) { return t.id == attempt; });
  forget(it);
}

// Machines that are on no rental and have no task on record.
void Replica::forget(std::map<MachineId, MachineState>::iterator it) {
  if (it->second.rental.empty() && it->second.tasks.empty()) machines_.erase(it);
}

void Replica::setTasks(const std::string& rest, const Json* value, Revision stamp) {
  auto slash = rest.find('/');
  std::uint32_t stretch = 0;
  if (slash == std::string::npos ||
      std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), stretch).ec !=
          std::errc{}) {
    return;
  }
  auto record = value ? tasksRecordFrom(*value) : std::optional(TasksRecord{});
  JobId id{rest.substr(0, slash)};
  if (!record) {
    logError("tasks record can't be read", "tasks", rest);
    return;
  }
  auto it = jobs_.find(id);
  // A job's record is written, and read, before those of its tasks.
  if (it == jobs_.end() && !value) return;  // dropped together with its job
  if (it == jobs_.end() || it->second.record.stretch == 0) {
    logError("tasks of no job", "tasks", rest);
    return;
  }
  JobState& job = it->second;
  auto first = job.placed.lower_bound(stretch * job.record.stretch);
  auto last = job.placed.lower_bound((stretch + 1) * job.record.stretch);
  std::map<std::uint32_t, Placed> old(first, last);
  for (const auto& [index, placed] : old) {
    auto now = record->placed.find(index);
    if (now != record->placed.end() && now->second == placed) continue;
    job.placed.erase(index);
    takeOff(id, index, placed);
  }
  for (const auto& [index, placed] : record->placed) {
    auto was = old.find(index);
    if (was == old.end() || was->second != placed) put(id, job, index, placed);
  }
  if (value) {
    TaskBits& bits = job.finished[stretch];
    job.finishedCount += record->finished.count() - bits.count();
    bits = std::move(record->finished);
    if (job.flow) {
      job.flow->stretches[stretch] = {std::move(record->failures), record->use};
      flows_.touch(job.record.flow->flow, id);
    }
    if (job.record.owner) memberJobs_.note(job.record.owner->owner, id, stamp);
  }
  settle(job, id);
}

void Replica::setRental(const RentalId& id, const Json* value) {
  auto record = value ? rentalRecordFrom(id, *value) : std::nullopt;
  if (value && !record) {
    logError("rental record can't be read", "rental", id);
    return;
  }
  std::vector<MachineId> before;
  if (auto it = rentals_.find(id); it != rentals_.end()) {
    for (const auto& m : it->second.machines) before.push_back(m.id);
  }
  if (record) {
    for (const auto& m : record->machines) {
      MachineState& state = machines_[m.id];
      state.rental = id;
      state.type = record->type;
      state.zone = record->zone;
      state.spot = record->spot;
      state.rentedAtMs = record->atMs;
      state.leaving = m.leaving;
    }
  }
  for (const auto& m : before) {
    if (record && std::any_of(record->machines.begin(), record->machines.end(),
                              [&](const auto& r) { return r.id == m; })) {
      continue;
    }
    auto it = machines_.find(m);
    if (it == machines_.end() || it->second.rental != id) continue;
    it->second.rental = RentalId{};
    it->second.leaving = true;
    forget(it);
  }
  if (record) {
    rentals_.insert_or_assign(id, std::move(*record));
  } else {
    rentals_.erase(id);
  }
}

// Jobs that are over and off every machine keep only what users may still ask for.
void Replica::settle(JobState& job, const JobId& id) {
  bool live = job.active() || !job.placed.empty();
  if (live) {
    live_[id] = &job;
  } else {
    live_.erase(id);
    job.finished.clear();
    if (job.record.phase != JobPhase::active) job.dependencies.reset();
    if (job.record.phase == JobPhase::done) job.finishedCount = job.tasks;
  }
}

}  // namespace kestrelhoist
