#include "fleet/cleared_attempts.hpp"

#include <set>

namespace kestrelhoist {

void ClearedAttempts::onClear(const AttemptId& attempt) {
  if (!isAbsent_.try_emplace(attempt, false).second) return;
  order_.push_back(attempt);
  if (order_.size() <= kMaxAttempts) return;
  isAbsent_.erase(order_.front());
  order_.pop_front();
}

void ClearedAttempts::onNewWorkerEpoch() {
  isAbsent_.clear();
  order_.clear();
}

std::vector<AttemptId> ClearedAttempts::onReport(const Report& report) {
  std::vector<AttemptId> reappeared;
  if (isAbsent_.empty()) return reappeared;
  std::set<AttemptId> reported;
  for (const auto& task : report.tasks) {
    auto cleared = isAbsent_.find(task.id);
    if (cleared == isAbsent_.end()) continue;
    if (cleared->second) reappeared.push_back(task.id);
    reported.insert(task.id);
  }
  for (auto& [attempt, isAbsent] : isAbsent_) isAbsent = !reported.contains(attempt);
  return reappeared;
}

}  // namespace kestrelhoist
