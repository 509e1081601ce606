#include "store/replica.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {

const JobState* Replica::job(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Revision Replica::modRevisionOf(const std::string& key) const {
  auto it = modRevisions_.find(key);
  return it == modRevisions_.end() ? Revision{} : it->second;
}

bool Replica::isFlowCancellationInProgress() const {
  return std::any_of(flows_.active().begin(), flows_.active().end(), [this](const FlowId& id) {
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
  if (revision > revision_) revision_ = revision;
  std::erase_if(deletions_, [&](const auto& d) { return d.second <= revision_; });
}

void Replica::apply(const Change& c) {
  if (c.modRevision <= modRevisionOf(c.key)) return;
  // A controller applies its own commits before the change feed returns them. An older change from
  // the feed must not restore a key that one of these commits deleted.
  if (auto d = deletions_.find(c.key); d != deletions_.end() && c.modRevision <= d->second) return;
  // A load reads pages one after the other, so it can return the task chunk of a job that was
  // created after the page of job records was read. The records of the job and of the chunk are
  // read again in order from the change feed, so the chunk is ignored here. Its modification
  // revision must not be stored either: the later change would count as old, and all tasks of the
  // job would be placed twice.
  if (c.value && c.key.starts_with(keys::kTasks) && !hasJobOf(c.key, keys::kTasks)) return;
  if (c.value && c.key.starts_with(keys::kSubChunk) && !hasJobOf(c.key, keys::kSubChunk)) {
    orphanSubChunks_[c.key] = c.modRevision;
    return;
  }
  if (c.value) {
    modRevisions_[c.key] = c.modRevision;
  } else {
    modRevisions_.erase(c.key);
    deletions_[c.key] = c.modRevision;
  }
  const Json* value = c.value ? &*c.value : nullptr;
  auto rest = [&](const std::string& prefix) { return c.key.substr(prefix.size()); };
  if (c.key.starts_with(keys::kJob)) {
    setJob(JobId{rest(keys::kJob)}, value, c.modRevision);
  } else if (c.key.starts_with(keys::kTasks)) {
    setTasks(c.key, value, c.modRevision);
  } else if (c.key.starts_with(keys::kDependencyPart)) {
    setDependencyPart(c.key, value);
  } else if (c.key.starts_with(keys::kSubChunk)) {
    setSubChunk(c.key, value, c.modRevision);
  } else if (c.key.starts_with(keys::kRental)) {
    machines_.applyRental(RentalId{rest(keys::kRental)}, value);
  } else if (c.key.starts_with(keys::kKey)) {
    keyRing_.apply(KeyId{rest(keys::kKey)}, value, c.modRevision);
  } else if (c.key == keys::kCursorKey) {
    cursorKey_ = value ? textField(*value, "secret").value_or("") : "";
  } else if (auto handler = std::find_if(
                 handlers_.begin(), handlers_.end(),
                 [&](const RecordHandler* candidate) { return candidate->owns(c.key); });
             handler != handlers_.end()) {
    (*handler)->apply(c.key, value, c.modRevision);
  } else if (flows_.apply(c.key, value, c.modRevision)) {
    return;
  } else if (c.key == keys::kLeader) {
    leader_ = value ? leaderRecordFromJson(*value) : std::nullopt;
  } else if (c.key.starts_with(keys::kCatalogue)) {
    catalogue_.apply(c.key, value);
  } else if (c.key == keys::kForecast) {
    forecast_ = c.value;
  }
}

bool Replica::hasJobOf(const std::string& key, const std::string& prefix) const {
  return jobs_.contains(keys::jobOf(key, prefix));
}

void Replica::setJob(const JobId& id, const Json* value, Revision modRevision) {
  if (!value) {
    // Only jobs of flows are deleted, and only after no task of the job is placed on any machine.
    auto it = jobs_.find(id);
    if (it == jobs_.end() || !it->second.record.flow || !it->second.placed.empty()) return;
    if (it->second.subChunks) {
      for (const auto& [first, end] : *it->second.subChunks) {
        std::string key = keys::subChunk(id, first, end);
        orphanSubChunks_[key] = modRevisionOf(key);
      }
    }
    flows_.removeJob(it->second.record.flow->flow, id);
    liveJobs_.erase(id);
    jobs_.erase(it);
    return;
  }
  auto record = jobRecordFromJson(id, *value);
  if (!record) {
    logError("job record is malformed; ignoring it", "job", id);
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
    flows_.markChanged(job.record.flow->flow, id);
  }
  if (job.record.owner) memberJobs_.recordChange(job.record.owner->owner, id, modRevision);
  updateDependencies(job, id);
  updateLiveJobs(job, id);
}

void Replica::setDependencyPart(const std::string& key, const Json* value) {
  auto parsed = keys::parseDependencyPart(key);
  if (!parsed || !value) return;
  const Json* list = field(*value, "jobs");
  auto jobs = list ? jobIdsFromJson(*list) : std::nullopt;
  if (!jobs) {
    logError("dependency list record is malformed; ignoring it", "key", key);
    return;
  }
  dependencyParts_[parsed->job][parsed->part] = std::move(*jobs);
  auto it = jobs_.find(parsed->job);
  if (it != jobs_.end()) updateDependencies(it->second, parsed->job);
}

// Passes the job's dependencies and its phase to the dependency graph. A job stays blocked until
// all parts of its dependency list have been read.
void Replica::updateDependencies(JobState& job, const JobId& id) {
  auto input = dependencyInputOf(id);
  job.dependenciesUnread = !input;
  if (!input) return;
  if (job.record.phase != JobPhase::active) dependencyParts_.erase(id);
  graph_.update(id, *input, *this);
}

std::optional<DependencyInput> Replica::dependencyInputOf(const JobId& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const JobState& job = it->second;
  const JobSpec& spec = *job.record.spec;
  DependencyInput input;
  input.phase = job.phase();
  input.endedAtMs = job.record.endedAtMs;
  input.priority = spec.priority;
  input.estimate = spec.estimate;
  if (spec.deadline) input.deadlineMs = job.record.acceptedAtMs + spec.deadline->count();
  input.dependsOn = spec.dependsOn;
  if (job.record.dependencyParts == 0 || job.record.phase != JobPhase::active) return input;
  auto parts = dependencyParts_.find(id);
  if (parts == dependencyParts_.end()) return std::nullopt;
  for (std::uint32_t part = 0; part < job.record.dependencyParts; ++part) {
    auto jobs = parts->second.find(part);
    if (jobs == parts->second.end()) return std::nullopt;
    input.dependsOn.insert(input.dependsOn.end(), jobs->second.begin(), jobs->second.end());
  }
  return input;
}

void Replica::dependenciesChanged(const JobId& id, const DependencyState& state) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  JobState& job = it->second;
  if (!job.dependencies) job.dependencies = std::make_unique<JobDependencies>();
  job.dependencies->state = state;
  const JobSpec& spec = *job.record.spec;
  job.dependencies->effectiveSpec = job.record.spec;
  if (state.priority > spec.priority) {
    JobSpec raised = spec;
    raised.priority = state.priority;
    job.dependencies->effectiveSpec = std::make_shared<const JobSpec>(std::move(raised));
  }
  if (state.cancelled) updateLiveJobs(job, id);
}

TaskChunkRecord Replica::tasksOf(const JobState& job, std::uint32_t first, std::uint32_t end,
                                 bool wholeChunk) const {
  return job.tasksOf({first, end}, wholeChunk);
}

void Replica::addPlacement(const JobId& id, JobState& job, std::uint32_t index,
                           const TaskPlacement& placed) {
  job.placed.insert_or_assign(index, placed);
  machines_.addTask({id, index}, placed, job);
}

// The placement is passed by value because the caller's placement may be an element of job.placed,
// which this function changes.
void Replica::removePlacement(const JobId& id, JobState& job, std::uint32_t index,
                              TaskPlacement placed) {
  job.placed.erase(index);
  machines_.removeTask({id, index}, placed);
}

void Replica::setTasks(const std::string& key, const Json* value, Revision modRevision) {
  auto parsed = keys::parseTasks(key);
  if (!parsed) return;
  const JobId& id = parsed->job;
  auto record = value ? taskChunkRecordFromJson(*value) : std::optional(TaskChunkRecord{});
  if (!record) {
    logError("task chunk record is malformed; ignoring it", "key", key);
    return;
  }
  auto it = jobs_.find(id);
  // The chunk may have been deleted together with its job.
  if (it == jobs_.end() && !value) return;
  // A job's record is written and read before the records of its task chunks.
  if (it == jobs_.end() || it->second.record.chunkSize == 0) {
    logError("task chunk record belongs to an unknown job; ignoring it", "key", key);
    return;
  }
  JobState& job = it->second;
  std::uint32_t first = parsed->chunk * job.record.chunkSize;
  TaskRange range{first, first + job.record.chunkSize};
  if (value) {
    applyTaskChunk(id, job, range, true, std::move(*record));
    if (job.record.owner) memberJobs_.recordChange(job.record.owner->owner, id, modRevision);
  } else {
    for (const auto& [index, placed] : job.tasksOf(range, true).placed) {
      if (!job.subChunkOf(index)) removePlacement(id, job, index, placed);
    }
  }
  updateLiveJobs(job, id);
}

void Replica::applyTaskChunk(const JobId& id, JobState& job, TaskRange range, bool wholeChunk,
                             TaskChunkRecord record) {
  // The record of a chunk is out of date for tasks that are in a sub-chunk, so it must not change
  // them.
  auto covers = [&](std::uint32_t index) { return !wholeChunk || !job.subChunkOf(index); };
  applyPlacements(id, job, range, wholeChunk, record.placed);
  const std::uint32_t number = range.first / job.record.chunkSize;
  TaskBits& bits = job.finished[number];
  const std::uint32_t before = bits.count();
  if (wholeChunk && !job.subChunks) {
    bits = std::move(record.finished);
  } else {
    for (std::uint32_t index = range.first; index < range.end; ++index) {
      if (!covers(index)) continue;
      bits.set(index % job.record.chunkSize, record.finished.test(index - range.first));
    }
  }
  job.finishedCount += bits.count() - before;
  if (!job.flow) return;
  FlowJobState::Chunk& chunk = job.flow->chunks[number];
  std::erase_if(chunk.failures, [&](const auto& failure) {
    return failure.first >= range.first && failure.first < range.end && covers(failure.first);
  });
  for (const auto& [index, count] : record.failures) {
    if (covers(index)) chunk.failures[index] = count;
  }
  (wholeChunk ? chunk.use : job.flow->subChunks[range.first]) = record.use;
  flows_.markChanged(job.record.flow->flow, id);
}

void Replica::applyPlacements(const JobId& id, JobState& job, TaskRange range, bool wholeChunk,
                              const std::map<std::uint32_t, TaskPlacement>& placements) {
  auto covers = [&](std::uint32_t index) { return !wholeChunk || !job.subChunkOf(index); };
  for (const auto& [index, placed] : job.tasksOf(range, wholeChunk).placed) {
    auto now = placements.find(index);
    if (!covers(index) || (now != placements.end() && now->second == placed)) continue;
    removePlacement(id, job, index, placed);
  }
  for (const auto& [index, placed] : placements) {
    auto previous = job.placed.find(index);
    if (covers(index) && (previous == job.placed.end() || previous->second != placed)) {
      addPlacement(id, job, index, placed);
    }
  }
}

void Replica::setSubChunk(const std::string& key, const Json* value, Revision modRevision) {
  auto parsed = keys::parseSubChunk(key);
  if (!parsed) return;
  const auto& [id, range] = *parsed;
  auto it = jobs_.find(id);
  orphanSubChunks_.erase(key);
  // A sub-chunk is deleted only after its job, so its deletion changes nothing else.
  if (it == jobs_.end() || !value) return;
  JobState& job = it->second;
  auto record = taskChunkRecordFromJson(*value);
  const std::uint32_t chunkSize = job.record.chunkSize;
  if (!record || chunkSize == 0 || range.first >= range.end ||
      range.first / chunkSize != (range.end - 1) / chunkSize) {
    logError("sub-chunk record is malformed; ignoring it", "key", key);
    return;
  }
  if (!job.subChunks) job.subChunks = std::make_unique<std::map<std::uint32_t, std::uint32_t>>();
  (*job.subChunks)[range.first] = range.end;
  applyTaskChunk(id, job, range, false, std::move(*record));
  if (job.record.owner) memberJobs_.recordChange(job.record.owner->owner, id, modRevision);
  updateLiveJobs(job, id);
}

// Updates the index of live jobs. A job that is not live keeps only the data that users can still
// request.
void Replica::updateLiveJobs(JobState& job, const JobId& id) {
  bool live = job.active() || !job.placed.empty();
  if (live) {
    liveJobs_[id] = &job;
  } else {
    liveJobs_.erase(id);
    job.finished.clear();
    if (job.record.phase != JobPhase::active) job.dependencies.reset();
    if (job.record.phase == JobPhase::done) job.finishedCount = job.tasks;
  }
}

}  // namespace kestrelhoist
