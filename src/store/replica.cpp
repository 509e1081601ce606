#include "store/replica.hpp"

#include <charconv>

#include "base/log.hpp"

namespace kestrelhoist {

bool JobState::isFinished(std::uint32_t index) const {
  auto it = finished.find(index / TaskBits::kPerChunk);
  return it != finished.end() && it->second.test(index % TaskBits::kPerChunk);
}

const JobState* Replica::job(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const MachineRecord* Replica::machine(const MachineId& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

Revision Replica::stampOf(const std::string& key) const {
  auto it = stamps_.find(key);
  return it == stamps_.end() ? Revision{} : it->second;
}

void Replica::clear() { *this = Replica{}; }

void Replica::advance(Revision epoch) {
  if (epoch > cursor_) cursor_ = epoch;
  std::erase_if(drops_, [&](const auto& d) { return d.second <= cursor_; });
}

void Replica::apply(const Change& c) {
  if (c.stamp <= stampOf(c.key)) return;
  // Our own commits are applied before the feed reaches them: an older event of the feed must
  // not bring back a key that we have dropped since.
  if (auto d = drops_.find(c.key); d != drops_.end() && c.stamp <= d->second) return;
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
  } else if (c.key.starts_with(keys::kProgress)) {
    setProgress(rest(keys::kProgress), value);
  } else if (c.key.starts_with(keys::kMachine)) {
    setMachine(MachineId{rest(keys::kMachine)}, value);
  } else if (c.key.starts_with(keys::kHire)) {
    HireId id{rest(keys::kHire)};
    auto record = value ? hireRecordFrom(id, *value) : std::nullopt;
    if (record) {
      hires_.insert_or_assign(id, *record);
    } else {
      hires_.erase(id);
    }
  } else if (c.key == keys::kLeader) {
    leader_ = value ? leaderRecordFrom(*value) : std::nullopt;
  } else if (c.key == keys::kCatalogue) {
    catalogue_ = c.value;
  } else if (c.key == keys::kForecast) {
    forecast_ = c.value;
  }
}

void Replica::setJob(const JobId& id, const Json* value, Revision stamp) {
  if (!value) return;  // jobs are never dropped
  auto record = jobRecordFrom(id, *value);
  if (!record) {
    spdlog::error("job {}: its record can't be read", id.value);
    return;
  }
  JobState& job = jobs_[id];
  job.stamp = stamp;
  job.tasks = record->spec->tasks;
  job.record = std::move(*record);
  settle(job, id);
}

void Replica::setProgress(const std::string& rest, const Json* value) {
  auto slash = rest.find('/');
  std::uint32_t chunk = 0;
  if (slash == std::string::npos || !value || !value->is_string() ||
      std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), chunk).ec !=
          std::errc{}) {
    return;
  }
  auto bits = TaskBits::fromHex(value->get_ref<const std::string&>());
  if (!bits) return;
  JobId id{rest.substr(0, slash)};
  JobState& job = jobs_[id];
  TaskBits& old = job.finished[chunk];
  job.finishedCount += bits->count() - old.count();
  old = std::move(*bits);
  if (job.record.spec) settle(job, id);
}

void Replica::setMachine(const MachineId& id, const Json* value) {
  auto record = value ? machineRecordFrom(*value) : std::nullopt;
  if (value && !record) {
    spdlog::error("machine {}: its record can't be read", id.value);
    return;
  }
  auto unplace = [&](const MachineRecord& r) {
    for (const auto& t : r.tasks) {
      auto& placed = jobs_[t.task.job].placed;
      auto it = placed.find(t.task.index);
      if (it != placed.end() && it->second == Placed{id, t.attempt}) placed.erase(it);
    }
  };
  std::vector<JobId> touched;
  if (auto it = machines_.find(id); it != machines_.end()) {
    unplace(it->second);
    for (const auto& t : it->second.tasks) touched.push_back(t.task.job);
  }
  if (record) {
    for (const auto& t : record->tasks) {
      jobs_[t.task.job].placed[t.task.index] = Placed{id, t.attempt};
      touched.push_back(t.task.job);
    }
    machines_.insert_or_assign(id, std::move(*record));
  } else {
    machines_.erase(id);
  }
  for (const auto& j : touched) {
    auto& job = jobs_[j];
    if (job.record.spec) settle(job, j);
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
    if (job.record.phase == JobPhase::done) job.finishedCount = job.tasks;
  }
}

}  // namespace kestrelhoist
