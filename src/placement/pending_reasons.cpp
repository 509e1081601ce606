#include "placement/pending_reasons.hpp"

#include "base/log.hpp"

namespace kestrelhoist {

const char* toString(PendingReason why) {
  switch (why) {
    case PendingReason::dependencies:
      return "jobs that it awaits are not done";
    case PendingReason::quota:
      return "the team's limit is used up";
    case PendingReason::capacity:
      return "the cloud refuses machines for it";
    case PendingReason::boot:
      return "machines for it boot";
    case PendingReason::resources:
      return "no room that it may use";
    case PendingReason::policy:
      return "the policy holds it back now";
    case PendingReason::preemption:
      return "less important work is stopping for it";
    case PendingReason::writeQueue:
      return "its turn to be written down";
    case PendingReason::errors:
      return "paused after errors";
    case PendingReason::refused:
      return "paused after refused starts";
    case PendingReason::image:
      return "its image is being fetched";
    case PendingReason::start:
      return "the worker has not confirmed the start";
    default:
      return "its machine is silent";
  }
}

void PendingReasons::note(const JobId& job, PendingReason why, std::uint32_t tasks) {
  if (tasks > 0) collected_[job].push_back({why, tasks});
}

void PendingReasons::end(Instant now) {
  std::erase_if(entries_, [&](const auto& e) { return !collected_.contains(e.first); });
  for (auto& [job, groups] : collected_) {
    Entry& entry = entries_[job];
    if (entry.groups.empty() || entry.groups.front().why != groups.front().why) {
      entry.since = now;
      entry.logged = false;
    }
    entry.groups = std::move(groups);
    if (!entry.logged && now - entry.since >= kMinWaitToLog) log(job, entry, now);
  }
  collected_.clear();
}

// Logs the first reason of a job. If the limit of lines per window is reached, the job is logged in
// a later window, provided that it still waits.
void PendingReasons::log(const JobId& job, Entry& entry, Instant now) {
  if (now - windowStart_ >= kLogWindow) {
    windowStart_ = now;
    linesInWindow_ = 0;
  }
  if (linesInWindow_ >= kMaxLinesPerWindow) return;
  ++linesInWindow_;
  entry.logged = true;
  logInfo("job waits", "job", job, "tasks", entry.groups.front().tasks, "why",
          toString(entry.groups.front().why));
}

std::vector<PendingGroup> PendingReasons::of(const JobId& job) const {
  auto it = entries_.find(job);
  return it == entries_.end() ? std::vector<PendingGroup>{} : it->second.groups;
}

Instant PendingReasons::since(const JobId& job) const {
  auto it = entries_.find(job);
  return it == entries_.end() ? Instant{} : it->second.since;
}

}  // namespace kestrelhoist
