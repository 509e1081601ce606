#include "placement/waiting.hpp"

#include "base/log.hpp"

namespace kestrelhoist {

const char* wordOf(Waits why) {
  switch (why) {
    case Waits::dependencies:
      return "jobs that it awaits are not done";
    case Waits::quota:
      return "the team's limit is used up";
    case Waits::capacity:
      return "the cloud refuses machines for it";
    case Waits::boot:
      return "machines for it boot";
    case Waits::room:
      return "no room that it may use";
    case Waits::held:
      return "the policy holds it back now";
    case Waits::stops:
      return "less important work is stopping for it";
    case Waits::turn:
      return "its turn to be written down";
    case Waits::errors:
      return "paused after errors";
    case Waits::refused:
      return "paused after refused starts";
    case Waits::image:
      return "its image is being fetched";
    case Waits::start:
      return "the worker has not confirmed the start";
    default:
      return "its machine is silent";
  }
}

void WaitBook::note(const JobId& job, Waits why, std::uint32_t tasks) {
  if (tasks > 0) next_[job].push_back({why, tasks});
}

void WaitBook::end(Instant now) {
  std::erase_if(entries_, [&](const auto& e) { return !next_.contains(e.first); });
  for (auto& [job, groups] : next_) {
    Entry& entry = entries_[job];
    if (entry.groups.empty() || entry.groups.front().why != groups.front().why) {
      entry.since = now;
      entry.told = false;
    }
    entry.groups = std::move(groups);
    if (!entry.told && now - entry.since >= kWorthTelling) tell(job, entry, now);
  }
  next_.clear();
}

// What does not fit into the window's lines is told in the next one, if it still waits.
void WaitBook::tell(const JobId& job, Entry& entry, Instant now) {
  if (now - windowAt_ >= kWindow) {
    windowAt_ = now;
    lines_ = 0;
  }
  if (lines_ >= kLines) return;
  ++lines_;
  entry.told = true;
  logInfo("job waits", "job", job, "tasks", entry.groups.front().tasks, "why",
          wordOf(entry.groups.front().why));
}

std::vector<WaitGroup> WaitBook::of(const JobId& job) const {
  auto it = entries_.find(job);
  return it == entries_.end() ? std::vector<WaitGroup>{} : it->second.groups;
}

Instant WaitBook::since(const JobId& job) const {
  auto it = entries_.find(job);
  return it == entries_.end() ? Instant{} : it->second.since;
}

}  // namespace kestrelhoist
