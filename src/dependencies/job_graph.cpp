#include "dependencies/job_graph.hpp"

#include <algorithm>
#include <utility>

namespace kestrelhoist {
namespace {

template <class T>
void removeFrom(std::vector<T*>& list, const T* entry) {
  list.erase(std::remove(list.begin(), list.end(), entry), list.end());
}

}  // namespace

JobGraph::Node* JobGraph::find(const JobId& id) {
  auto it = nodes_.find(id);
  return it == nodes_.end() ? nullptr : it->second.get();
}

JobGraph::Node& JobGraph::nodeOf(const JobId& id) {
  auto [it, isNew] = nodes_.try_emplace(id);
  if (isNew) {
    it->second = std::make_unique<Node>();
    it->second->id = id;
  }
  return *it->second;
}

void JobGraph::update(const JobId& id, const JobFacts& facts, JobRecords& records) {
  records_ = &records;
  Node* node = find(id);
  if (facts.phase != JobPhase::active) {
    if (node) finish(*node, facts.phase == JobPhase::cancelled, facts.endedAtMs);
    return;
  }
  if (!node && facts.awaits.empty()) return;
  if (!node) node = &nodeOf(id);
  if (!node->learned) learn(*node, facts);
}

void JobGraph::learn(Node& node, const JobFacts& facts) {
  node.known = true;
  node.learned = true;
  node.facts = facts;
  bool cancelled = false;
  for (const auto& awaited : facts.awaits) cancelled = await(node, awaited) || cancelled;
  if (cancelled) {
    cancelAll({&node});
    return;
  }
  tell(node);
  inheritUpstream(node.awaits);
  dropIfPlain(node);
}

// True: the awaited job is cancelled.
bool JobGraph::await(Node& node, const JobId& awaited) {
  Node* upstream = find(awaited);
  if (!upstream) {
    auto facts = records_->factsOf(awaited);
    if (facts && facts->phase == JobPhase::done) {
      node.readyAtMs = std::max(node.readyAtMs, facts->endedAtMs);
      return false;
    }
    if (facts && facts->phase == JobPhase::cancelled) return true;
    upstream = &nodeOf(awaited);
    if (facts) {
      upstream->known = true;
      upstream->learned = true;  // it awaits nothing, or it would have a node
      upstream->facts = *facts;
      upstream->facts.awaits.clear();
    }
  }
  upstream->dependents.push_back(&node);
  node.awaits.push_back(upstream);
  return false;
}

void JobGraph::finish(Node& node, bool cancelled, std::int64_t endedAtMs) {
  if (cancelled) {
    cancelAll({&node});
    return;
  }
  auto dependents = std::exchange(node.dependents, {});
  auto upstream = std::exchange(node.awaits, {});
  for (Node* other : upstream) removeFrom(other->dependents, &node);
  for (Node* dependent : dependents) {
    removeFrom(dependent->awaits, &node);
    dependent->readyAtMs = std::max(dependent->readyAtMs, endedAtMs);
  }
  forget(node);
  for (Node* dependent : dependents) {
    tell(*dependent);
    dropIfPlain(*dependent);
  }
  inheritUpstream(upstream);
}

// These and all that need them leave the graph as cancelled.
void JobGraph::cancelAll(const std::vector<Node*>& from) {
  std::vector<Node*> cancelled;
  std::vector<Node*> next = from;
  while (!next.empty()) {
    Node* node = next.back();
    next.pop_back();
    if (std::exchange(node->cancelled, true)) continue;
    cancelled.push_back(node);
    next.insert(next.end(), node->dependents.begin(), node->dependents.end());
  }
  std::vector<Node*> upstream;
  for (Node* node : cancelled) {
    for (Node* other : node->awaits) {
      if (other->cancelled) continue;
      removeFrom(other->dependents, node);
      upstream.push_back(other);
    }
  }
  for (Node* node : cancelled) {
    DependencyState state;
    state.cancelled = true;
    state.priority = node->facts.priority;
    bool known = node->known;
    JobId id = node->id;
    forget(*node);
    if (known) records_->dependenciesChanged(id, state);
  }
  inheritUpstream(std::move(upstream));
}

// These have lost or gained dependents, or what their dependents need of them has changed.
void JobGraph::inheritUpstream(std::vector<Node*> from) {
  std::vector<Node*> next = from;
  while (!next.empty()) {
    Node* node = next.back();
    next.pop_back();
    if (tell(*node)) next.insert(next.end(), node->awaits.begin(), node->awaits.end());
  }
  std::sort(from.begin(), from.end());
  from.erase(std::unique(from.begin(), from.end()), from.end());
  for (Node* node : from) dropIfPlain(*node);
}

DependencyState JobGraph::stateOf(const Node& node) {
  DependencyState state;
  state.held = !node.awaits.empty();
  state.readyAtMs = node.readyAtMs;
  state.priority = node.facts.priority;
  state.latestEndMs = node.facts.dueMs;
  state.awaited = !node.dependents.empty();
  for (const Node* dependent : node.dependents) {
    const DependencyState& needs = dependent->told;
    state.priority = std::max(state.priority, needs.priority);
    if (!needs.latestEndMs) continue;
    std::int64_t latestEnd = *needs.latestEndMs - dependent->facts.estimate.count();
    state.latestEndMs = std::min(state.latestEndMs.value_or(latestEnd), latestEnd);
  }
  return state;
}

// True: its state has changed.
bool JobGraph::tell(Node& node) {
  DependencyState state = stateOf(node);
  const bool differs = state != node.told;
  held_ += state.held ? 1 : 0;
  held_ -= node.told.held ? 1 : 0;
  node.told = state;
  const bool firstTime = node.known && !std::exchange(node.announced, node.known);
  if (node.known && (differs || firstTime)) records_->dependenciesChanged(node.id, state);
  return differs;
}

// Nothing is left to know of a job that awaits none and is awaited by none.
void JobGraph::dropIfPlain(Node& node) {
  if (node.awaits.empty() && node.dependents.empty()) forget(node);
}

void JobGraph::forget(const Node& node) {
  held_ -= node.told.held ? 1 : 0;
  nodes_.erase(JobId{node.id});
}

std::vector<JobId> JobGraph::openAwaits(const JobId& id) const {
  std::vector<JobId> open;
  auto it = nodes_.find(id);
  if (it == nodes_.end()) return open;
  for (const Node* awaited : it->second->awaits) open.push_back(awaited->id);
  return open;
}

void JobGraph::eachHeld(
    const std::function<void(const JobId&, const std::vector<JobId>&)>& visit) const {
  for (const auto& [id, node] : nodes_) {
    if (!node->awaits.empty()) visit(id, openAwaits(id));
  }
}

}  // namespace kestrelhoist
