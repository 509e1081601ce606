#include "sim/pipeline_checks.hpp"

#include <algorithm>

namespace kestrelhoist::sim {

const PipelineChecks::State* PipelineChecks::find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::set<std::string> PipelineChecks::dependenciesOf(const std::string& id) const {
  std::set<std::string> out;
  if (const State* own = find(id); !own || own->job.awaits.empty()) return out;
  std::vector<std::string> pending{id};
  while (!pending.empty()) {
    const State* s = find(pending.back());
    pending.pop_back();
    if (!s) continue;
    for (const auto& awaited : s->job.awaits) {
      if (out.insert(awaited).second) pending.push_back(awaited);
    }
  }
  return out;
}

std::vector<std::string> PipelineChecks::dependentsOf(const std::string& id) const {
  std::set<std::string> out;
  std::vector<std::string> pending{id};
  while (!pending.empty()) {
    auto it = dependents_.find(pending.back());
    pending.pop_back();
    if (it == dependents_.end()) continue;
    for (const auto& dependent : it->second) {
      if (out.insert(dependent).second) pending.push_back(dependent);
    }
  }
  return {out.begin(), out.end()};
}

void PipelineChecks::sent(const std::string& id, const Job& job) {
  auto [it, first] = jobs_.emplace(id, State{});
  if (!first) return;
  it->second.job = job;
  it->second.remainingTasks = job.tasks;
  for (const auto& awaited : job.awaits) dependents_[awaited].push_back(id);
}

int PipelineChecks::requiredRefusalStatus(const std::string& id) const {
  const State* s = find(id);
  if (!s) return 0;
  if (s->job.malformed) return 400;
  bool never = std::any_of(s->job.awaits.begin(), s->job.awaits.end(), [this](const auto& awaited) {
    const State* other = find(awaited);
    return !other || other->refused || other->job.service;
  });
  return never ? 422 : 0;
}

bool PipelineChecks::isAcceptable(const std::string& id) const {
  const State* s = find(id);
  if (!s || s->job.malformed) return false;
  return std::all_of(s->job.awaits.begin(), s->job.awaits.end(), [this](const auto& awaited) {
    const State* other = find(awaited);
    return other && other->accepted && !other->job.service;
  });
}

void PipelineChecks::accepted(const std::string& id) {
  if (int status = requiredRefusalStatus(id); status != 0) {
    fail_("misjudged", id + " accepted, not refused with " + std::to_string(status));
  }
  if (auto it = jobs_.find(id); it != jobs_.end()) it->second.accepted = true;
}

void PipelineChecks::refused(const std::string& id, int status, bool wasAcceptable) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  State& s = it->second;
  int expected = requiredRefusalStatus(id);
  if (expected != 0 && status != expected) {
    fail_("misjudged", id + " got " + std::to_string(status) + ", not " + std::to_string(expected));
  }
  if (!s.job.awaits.empty() && wasAcceptable) {
    fail_("misjudged",
          id + " got " + std::to_string(status) + " although all its dependencies were accepted");
  }
  s.refused = !s.accepted;
}

void PipelineChecks::cancelRequested(const std::string& id) {
  if (auto it = jobs_.find(id); it != jobs_.end()) it->second.cancelRequested = true;
}

void PipelineChecks::completed(const std::string& id, std::int64_t now) {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.remainingTasks == 0) return;
  if (--it->second.remainingTasks == 0) it->second.doneAt = now;
}

void PipelineChecks::started(const std::string& id, int index) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  it->second.hasStarted = true;
  for (const auto& awaited : dependenciesOf(id)) {
    const State* other = find(awaited);
    std::string name = id + "/" + std::to_string(index) + " starts";
    if (!other || other->doneAt < 0) {
      fail_("too_early", name + " while " + awaited + " is not done");
    } else if (other->finalPhase == "withdrawn") {
      fail_("too_early", name + " although " + awaited + " is cancelled");
    }
  }
}

void PipelineChecks::phaseReported(const std::string& id, const std::string& phase,
                                   std::int64_t now) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  State& s = it->second;
  if (phase == "running" && dependenciesDoneAt(id) < 0) {
    fail_("too_early", id + " reported as running before its dependencies are done");
  }
  if (phase == "pending" || phase == "running") {
    for (const auto& awaited : dependenciesOf(id)) {
      const State* other = find(awaited);
      if (!other || other->withdrawalReportedAt < 0) continue;
      if (now - other->withdrawalReportedAt <= cancelMs_) continue;
      fail_("orphaned", id + " reported as " + phase + " after " + awaited + " was cancelled");
    }
    return;
  }
  bool first = s.finalPhase.empty();
  s.finalPhase = phase;
  if (!first) return;
  if (phase == "withdrawn") {
    s.withdrawalReportedAt = now;
    if (!mayBeWithdrawn(id)) fail_("went_back", id + " withdrawn without a cancelled dependency");
  }
  // The final phase of this job restricts the phases of all jobs that depend on it.
  for (const auto& dependent : dependentsOf(id)) {
    const State& other = jobs_.at(dependent);
    if (phase == "done" && other.finalPhase == "withdrawn" && !mayBeWithdrawn(dependent)) {
      fail_("went_back", dependent + " was cancelled although " + id + " is done");
    }
    if (phase == "withdrawn" && other.hasStarted) {
      fail_("too_early", dependent + " began although " + id + " is cancelled");
    }
  }
}

bool PipelineChecks::hasCancelledDependency(const std::string& id) const {
  auto all = dependenciesOf(id);
  return std::any_of(all.begin(), all.end(), [this](const auto& awaited) {
    const State* other = find(awaited);
    return other && toBeCancelled(*other);
  });
}

bool PipelineChecks::mayBeWithdrawn(const std::string& id) const {
  const State* s = find(id);
  return s && (s->cancelRequested || hasCancelledDependency(id));
}

std::int64_t PipelineChecks::dependenciesDoneAt(const std::string& id) const {
  const State* s = find(id);
  std::int64_t at = 0;
  if (!s) return at;
  for (const auto& awaited : s->job.awaits) {
    const State* other = find(awaited);
    if (!other || other->doneAt < 0) return -1;
    at = std::max(at, other->doneAt);
  }
  return at;
}

std::int64_t PipelineChecks::cancelledSince(const std::string& id) const {
  const State* s = find(id);
  if (!s) return -1;
  std::int64_t since = s->withdrawalReportedAt;
  for (const auto& awaited : dependenciesOf(id)) {
    const State* other = find(awaited);
    if (!other || other->withdrawalReportedAt < 0) continue;
    since = since < 0 ? other->withdrawalReportedAt : std::min(since, other->withdrawalReportedAt);
  }
  return since;
}

bool PipelineChecks::isAccepted(const std::string& id) const {
  const State* s = find(id);
  return s && s->accepted;
}

bool PipelineChecks::isOver(const std::string& id) const {
  const State* s = find(id);
  return s && !s->finalPhase.empty();
}

std::vector<std::string> PipelineChecks::unfinishedJobs() const {
  std::vector<std::string> out;
  for (const auto& [id, s] : jobs_) {
    bool ofPipeline = !s.job.awaits.empty() || dependents_.contains(id);
    if (ofPipeline && s.accepted && s.finalPhase.empty() && !s.job.service) out.push_back(id);
  }
  return out;
}

}  // namespace kestrelhoist::sim
