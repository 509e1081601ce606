#include "flows/progress.hpp"

#include <algorithm>
#include <cassert>

namespace kestrelhoist {

Progress::Progress(const FlowGraph& graph, bool keepGoing)
    : graph_(&graph),
      keepGoing_(keepGoing),
      state_(graph.size(), State::waiting),
      missing_(graph.size(), 0),
      outStart_(graph.size() + 1, 0),
      dependents_(graph.edges()),
      ready_(graph.rules().size()) {
  for (Instance i = 0; i < graph.size(); ++i) {
    for (Instance d : graph.deps(i)) ++outStart_[d + 1];
  }
  for (std::size_t i = 1; i < outStart_.size(); ++i) outStart_[i] += outStart_[i - 1];
  std::vector<std::uint32_t> next(outStart_.begin(), outStart_.end() - 1);
  for (Instance i = 0; i < graph.size(); ++i) {
    for (Instance d : graph.deps(i)) dependents_[next[d]++] = i;
  }
}

void Progress::recompute() {
  for (auto& n : counts_) n = 0;
  for (Instance i = 0; i < state_.size(); ++i) {
    ++counts_[static_cast<std::size_t>(state_[i])];
    missing_[i] = 0;
    for (Instance d : graph_->deps(i)) missing_[i] += state_[d] != State::done ? 1 : 0;
  }
  for (Instance i = 0; i < state_.size(); ++i) {
    if (state_[i] == State::waiting && missing_[i] == 0) enqueue(i);
    if (state_[i] == State::failed && keepGoing_) skipDependents(i);
  }
}

void Progress::set(Instance i, State s) {
  --counts_[static_cast<std::size_t>(state_[i])];
  ++counts_[static_cast<std::size_t>(s)];
  state_[i] = s;
}

void Progress::enqueue(Instance i) {
  ready_[graph_->ruleOf(i)].push_back(i);
  ++readyCount_;
}

void Progress::assign(Instance i) {
  assert(state_[i] == State::waiting && missing_[i] == 0);
  auto& queue = ready_[graph_->ruleOf(i)];
  // The search is short: only instances with blocked outputs stay in front of the assigned one.
  auto at = std::find(queue.begin(), queue.end(), i);
  assert(at != queue.end());
  queue.erase(at);
  --readyCount_;
  set(i, State::assigned);
}

void Progress::finish(Instance i) {
  assert(state_[i] == State::assigned);
  set(i, State::done);
  for (auto k = outStart_[i]; k < outStart_[i + 1]; ++k) {
    Instance d = dependents_[k];
    ++visits_;
    assert(missing_[d] > 0);
    if (--missing_[d] == 0 && state_[d] == State::waiting) enqueue(d);
  }
}

void Progress::fail(Instance i) {
  assert(state_[i] == State::assigned);
  set(i, State::failed);
  if (keepGoing_) skipDependents(i);
}

void Progress::skipDependents(Instance i) {
  std::vector<Instance> todo{i};
  while (!todo.empty()) {
    Instance at = todo.back();
    todo.pop_back();
    for (auto k = outStart_[at]; k < outStart_[at + 1]; ++k) {
      Instance d = dependents_[k];
      ++visits_;
      if (state_[d] != State::waiting) continue;
      set(d, State::skipped);
      todo.push_back(d);
    }
  }
}

std::vector<Instance> Progress::readyInstances(std::uint32_t rule, std::size_t maxCount) const {
  std::vector<Instance> out;
  for (Instance i : ready_[rule]) {
    if (out.size() >= maxCount) break;
    auto outputs = graph_->outputs(i);
    bool free = blocked_.empty() || std::none_of(outputs.begin(), outputs.end(),
                                                 [&](auto o) { return blocked_.contains(o); });
    if (free) out.push_back(i);
  }
  return out;
}

void Progress::unblock(std::uint64_t output) {
  auto it = blocked_.find(output);
  if (it != blocked_.end() && --it->second == 0) blocked_.erase(it);
}

std::vector<std::uint32_t> Progress::upcoming(const std::vector<Instance>& assigned) const {
  std::vector<std::uint32_t> out(graph_->rules().size(), 0);
  // The map counts, for each dependent, the inputs that become done.
  std::unordered_map<Instance, std::uint32_t> covered;
  for (Instance i : assigned) {
    for (auto k = outStart_[i]; k < outStart_[i + 1]; ++k) ++covered[dependents_[k]];
  }
  for (const auto& [d, n] : covered) {
    if (state_[d] == State::waiting && n >= missing_[d]) ++out[graph_->ruleOf(d)];
  }
  return out;
}

std::size_t Progress::bytes() const {
  auto of = [](const auto& v) { return v.capacity() * sizeof(v[0]); };
  return of(state_) + of(missing_) + of(outStart_) + of(dependents_) +
         readyCount_ * sizeof(Instance);
}

}  // namespace kestrelhoist
