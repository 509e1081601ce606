#include "store/replica.hpp"

#include <algorithm>
#include <charconv>

#include "base/log.hpp"

namespace kestrelhoist {

bool JobState::isFinished(std::uint32_t index) const {
  if (record.chunkSize == 0) return false;
  auto it = finished.find(index / record.chunkSize);
  return it != finished.end() && it->second.test(index % record.chunkSize);
}

std::optional<std::pair<std::uint32_t, std::uint32_t>> JobState::subChunkOf(
    std::uint32_t index) const {
  if (!subChunks) return std::nullopt;
  auto after = subChunks->upper_bound(index);
  if (after == subChunks->begin()) return std::nullopt;
  const auto& part = *std::prev(after);
  return index < part.second ? std::optional(std::pair(part.first, part.second)) : std::nullopt;
}

Use FlowJobState::use() const {
  Use sum;
  for (const auto& [chunk, s] : chunks) sum += s.use;
  for (const auto& [first, use] : subChunks) sum += use;
  return sum;
}

std::uint32_t JobState::failuresOf(std::uint32_t index) const {
  if (!flow || record.chunkSize == 0) return 0;
  auto chunk = flow->chunks.find(index / record.chunkSize);
  if (chunk == flow->chunks.end()) return 0;
  auto it = chunk->second.failures.find(index);
  return it == chunk->second.failures.end() ? 0 : it->second;
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
      for (const auto& [chunk, s] : flow->chunks) {
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

const PlacedTask* MachineState::find(const AttemptId& id) const {
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

Revision Replica::modRevisionOf(const std::string& key) const {
  auto it = modRevisions_.find(key);
  return it == modRevisions_.end() ? Revision{} : it->second;
}

bool Replica::flowCancellationUnderWay() const {
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
  auto handlers = std::move(handlers_);
  for (auto* handler : handlers) handler->clear();
  *this = Replica{};
  handlers_ = std::move(handlers);
}

void Replica::advance(Revision revision) {
  if (revision > cursor_) cursor_ = revision;
  std::erase_if(drops_, [&](const auto& d) { return d.second <= cursor_; });
}

void Replica::apply(const Change& c) {
  if (c.modRevision <= modRevisionOf(c.key)) return;
  // Our own commits are applied before the feed reaches them: an older event of the feed must
  // not bring back a key that we have dropped since.
  if (auto d = drops_.find(c.key); d != drops_.end() && c.modRevision <= d->second) return;
  // A load in pages can show tasks of a job that was created after the page of jobs was read. Its
  // creation and these tasks are read again as changes, in order: until then this key is not known
  // at all. (Its stamp was, so the change was taken for an old one, and all tasks of that job were
  // placed twice.)
  if (c.value && c.key.starts_with(keys::kTasks) && !knowsJobOf(c.key, keys::kTasks)) return;
  if (c.value && c.key.starts_with(keys::kSubChunk) && !knowsJobOf(c.key, keys::kSubChunk)) {
    orphanSubChunks_[c.key] = c.modRevision;
    return;
  }
  if (c.value) {
    modRevisions_[c.key] = c.modRevision;
  } else {
    modRevisions_.erase(c.key);
    drops_[c.key] = c.modRevision;
  }
  const Json* value = c.value ? &*c.value : nullptr;
  auto rest = [&](const std::string& prefix) { return c.key.substr(prefix.size()); };
  if (c.key.starts_with(keys::kJob)) {
    setJob(JobId{rest(keys::kJob)}, value, c.modRevision);
  } else if (c.key.starts_with(keys::kTasks)) {
    setTasks(rest(keys::kTasks), value, c.modRevision);
  } else if (c.key.starts_with(keys::kAwaits)) {
    setDependencyPart(rest(keys::kAwaits), value);
  } else if (c.key.starts_with(keys::kSubChunk)) {
    setSubChunk(c.key, value, c.modRevision);
  } else if (c.key.starts_with(keys::kRental)) {
    setRental(RentalId{rest(keys::kRental)}, value);
  } else if (c.key.starts_with(keys::kKey)) {
    keyRing_.apply(KeyId{rest(keys::kKey)}, value, c.modRevision);
  } else if (c.key == keys::kCursorKey) {
    cursorKey_ = value ? textField(*value, "secret").value_or("") : "";
  } else if (auto handler = std::find_if(handlers_.begin(), handlers_.end(),
                                         [&](const RecordHandler* s) { return s->owns(c.key); });
             handler != handlers_.end()) {
    (*handler)->apply(c.key, value, c.modRevision);
  } else if (flows_.apply(c.key, value, c.modRevision)) {
    return;
  } else if (c.key == keys::kLeader) {
    leader_ = value ? leaderRecordFrom(*value) : std::nullopt;
  } else if (c.key == keys::kCatalogue) {
    catalogue_ = c.value;
  } else if (c.key == keys::kForecast) {
    forecast_ = c.value;
  }
}

bool Replica::knowsJobOf(const std::string& key, const std::string& prefix) const {
  auto rest = key.substr(prefix.size());
  return jobs_.contains(JobId{rest.substr(0, rest.find('/'))});
}

void Replica::setJob(const JobId& id, const Json* value, Revision modRevision) {
  if (!value) {
    // Users' jobs are never dropped; a flow's are once all of their tasks are off every machine.
    auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second.record.flow || !it->second.placed.empty()) return;
    if (it->second.subChunks) {
      for (const auto& [first, last] : *it->second.subChunks) {
        std::string key = keys::subChunk(id, first, last);
        orphanSubChunks_[key] = modRevisionOf(key);
      }
    }
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
  job.modRevision = modRevision;
  job.tasks = record->spec->tasks;
  job.image = images_.of(record->spec->image);
  job.team = teams_.of(record->spec->team);
  job.record = std::move(*record);
  if (job.record.phase == JobPhase::cancelled) {
    newestCancelledJob_ = std::max(newestCancelledJob_, modRevision);
  }
  if (job.record.flow) {
    if (!job.flow) job.flow = std::make_unique<FlowJobState>();
    flows_.addJob(job.record.flow->flow, id);
    flows_.touch(job.record.flow->flow, id);
  }
  if (job.record.owner) memberJobs_.note(job.record.owner->owner, id, modRevision);
  updateDependencies(job, id);
  settle(job, id);
}

void Replica::setDependencyPart(const std::string& rest, const Json* value) {
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
  dependencyParts_[id][part] = std::move(*jobs);
  auto it = jobs_.find(id);
  if (it != jobs_.end()) updateDependencies(it->second, id);
}

// Takes in what a job awaits, and its end. One whose list is not wholly read is held.
void Replica::updateDependencies(JobState& job, const JobId& id) {
  auto facts = dependencyInputOf(id);
  job.dependenciesUnread = !facts;
  if (!facts) return;
  if (job.record.phase != JobPhase::active) dependencyParts_.erase(id);
  graph_.update(id, *facts, *this);
}

std::optional<DependencyInput> Replica::dependencyInputOf(const JobId& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const JobState& job = it->second;
  const JobSpec& spec = *job.record.spec;
  DependencyInput facts;
  facts.phase = job.phase();
  facts.acceptedAtMs = job.record.acceptedAtMs;
  facts.endedAtMs = job.record.endedAtMs;
  facts.priority = spec.priority;
  facts.estimate = spec.estimate;
  if (spec.deadline) facts.dueMs = job.record.acceptedAtMs + spec.deadline->count();
  facts.dependsOn = spec.dependsOn;
  if (job.record.dependencyParts == 0 || job.record.phase != JobPhase::active) return facts;
  auto parts = dependencyParts_.find(id);
  if (parts == dependencyParts_.end()) return std::nullopt;
  for (std::uint32_t part = 0; part < job.record.dependencyParts; ++part) {
    auto jobs = parts->second.find(part);
    if (jobs == parts->second.end()) return std::nullopt;
    facts.dependsOn.insert(facts.dependsOn.end(), jobs->second.begin(), jobs->second.end());
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

TaskChunkRecord Replica::tasksOf(const JobState& job, std::uint32_t first, std::uint32_t last,
                                 bool whole) const {
  TaskChunkRecord r;
  std::uint32_t chunk = first / job.record.chunkSize;
  if (auto bits = job.finished.find(chunk); bits != job.finished.end()) {
    if (whole) r.finished = bits->second;
    for (std::uint32_t i = first; i < last && !whole; ++i) {
      if (bits->second.test(i % job.record.chunkSize)) r.finished.set(i - first);
    }
  }
  r.placed.insert(job.placed.lower_bound(first), job.placed.lower_bound(last));
  if (!job.flow) return r;
  if (auto s = job.flow->chunks.find(chunk); s != job.flow->chunks.end()) {
    const auto& failures = s->second.failures;
    r.failures.insert(failures.lower_bound(first), failures.lower_bound(last));
    if (whole) r.use = s->second.use;
  }
  if (auto part = job.flow->subChunks.find(first); !whole && part != job.flow->subChunks.end()) {
    r.use = part->second;
  }
  return r;
}

void Replica::addPlacement(const JobId& id, JobState& job, std::uint32_t index,
                           const TaskPlacement& placed) {
  job.placed.insert_or_assign(index, placed);
  auto [it, isNew] = machines_.try_emplace(placed.machine);
  // On no rental (yet): nobody can tell where it is, so it gets no work.
  if (isNew) it->second.draining = true;
  it->second.tasks.push_back({{{id, index}, placed.attempt}, placed.workerEpoch, &job});
}

void Replica::removePlacement(const JobId& id, std::uint32_t index, const TaskPlacement& placed) {
  auto it = machines_.find(placed.machine);
  if (it == machines_.end()) return;
  AttemptId attempt{{id, index}, placed.attempt};
  std::erase_if(it->second.tasks, [&](const PlacedTask& t) { return t.id == attempt; });
  eraseIfUnused(it);
}

// Machines that are on no rental and have no task on record.
void Replica::eraseIfUnused(std::map<MachineId, MachineState>::iterator it) {
  if (it->second.rental.empty() && it->second.tasks.empty()) machines_.erase(it);
}

void Replica::setTasks(const std::string& rest, const Json* value, Revision modRevision) {
  auto slash = rest.find('/');
  std::uint32_t chunk = 0;
  if (slash == std::string::npos ||
      std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), chunk).ec !=
          std::errc{}) {
    return;
  }
  auto record = value ? taskChunkRecordFrom(*value) : std::optional(TaskChunkRecord{});
  JobId id{rest.substr(0, slash)};
  if (!record) {
    logError("tasks record can't be read", "tasks", rest);
    return;
  }
  auto it = jobs_.find(id);
  // A job's record is written, and read, before those of its tasks.
  if (it == jobs_.end() && !value) return;  // dropped together with its job
  if (it == jobs_.end() || it->second.record.chunkSize == 0) {
    logError("tasks of no job", "tasks", rest);
    return;
  }
  JobState& job = it->second;
  std::uint32_t first = chunk * job.record.chunkSize;
  if (value) {
    applyTaskChunk(id, job, first, first + job.record.chunkSize, true, std::move(*record));
    if (job.record.owner) memberJobs_.note(job.record.owner->owner, id, modRevision);
  } else {
    for (const auto& [index, placed] :
         tasksOf(job, first, first + job.record.chunkSize, true).placed) {
      if (job.subChunkOf(index)) continue;
      job.placed.erase(index);
      removePlacement(id, index, placed);
    }
  }
  settle(job, id);
}

void Replica::applyTaskChunk(const JobId& id, JobState& job, std::uint32_t first,
                             std::uint32_t last, bool whole, TaskChunkRecord record) {
  const std::uint32_t chunk = first / job.record.chunkSize;
  auto told = [&](std::uint32_t index) { return !whole || !job.subChunkOf(index); };
  for (const auto& [index, placed] : tasksOf(job, first, last, whole).placed) {
    auto now = record.placed.find(index);
    if (!told(index) || (now != record.placed.end() && now->second == placed)) continue;
    job.placed.erase(index);
    removePlacement(id, index, placed);
  }
  for (const auto& [index, placed] : record.placed) {
    auto was = job.placed.find(index);
    if (told(index) && (was == job.placed.end() || was->second != placed)) {
      addPlacement(id, job, index, placed);
    }
  }
  TaskBits& bits = job.finished[chunk];
  const std::uint32_t before = bits.count();
  if (whole && !job.subChunks) {
    bits = std::move(record.finished);
  } else {
    for (std::uint32_t i = first; i < last; ++i) {
      if (told(i)) bits.set(i % job.record.chunkSize, record.finished.test(i - first));
    }
  }
  job.finishedCount += bits.count() - before;
  if (!job.flow) return;
  FlowJobState::Chunk& s = job.flow->chunks[chunk];
  std::erase_if(s.failures,
                [&](const auto& f) { return f.first >= first && f.first < last && told(f.first); });
  for (const auto& [index, count] : record.failures) {
    if (told(index)) s.failures[index] = count;
  }
  (whole ? s.use : job.flow->subChunks[first]) = record.use;
  flows_.touch(job.record.flow->flow, id);
}

void Replica::setSubChunk(const std::string& key, const Json* value, Revision modRevision) {
  auto rest = key.substr(keys::kSubChunk.size());
  auto slash = rest.find('/');
  std::uint32_t first = 0, last = 0;
  if (slash == std::string::npos) return;
  const char* end = rest.data() + rest.size();
  auto [at, error] = std::from_chars(rest.data() + slash + 1, end, first);
  if (error != std::errc{} || at == end || *at != '-') return;
  if (std::from_chars(at + 1, end, last).ec != std::errc{}) return;
  JobId id{rest.substr(0, slash)};
  auto it = jobs_.find(id);
  orphanSubChunks_.erase(key);
  // Dropped only after its job.
  if (it == jobs_.end() || !value) return;
  JobState& job = it->second;
  auto record = taskChunkRecordFrom(*value);
  const std::uint32_t chunk = job.record.chunkSize;
  if (!record || chunk == 0 || first >= last || first / chunk != (last - 1) / chunk) {
    logError("part of a job's tasks can't be read", "key", key);
    return;
  }
  if (!job.subChunks) job.subChunks = std::make_unique<std::map<std::uint32_t, std::uint32_t>>();
  (*job.subChunks)[first] = last;
  applyTaskChunk(id, job, first, last, false, std::move(*record));
  if (job.record.owner) memberJobs_.note(job.record.owner->owner, id, modRevision);
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
      state.draining = m.draining;
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
    it->second.draining = true;
    eraseIfUnused(it);
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
