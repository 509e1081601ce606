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

JobGraph::Node& JobGraph::findOrCreate(const JobId& id) {
  auto [it, isNew] = nodes_.try_emplace(id);
  if (isNew) {
    it->second = std::make_unique<Node>();
    it->second->id = id;
  }
  return *it->second;
}

void JobGraph::update(const JobId& id, const DependencyInput& input, JobRecords& records) {
  records_ = &records;
  Node* node = find(id);
  if (input.phase != JobPhase::active) {
    if (node) finish(*node, input.phase == JobPhase::cancelled, input.endedAtMs);
    return;
  }
  if (!node && input.dependsOn.empty()) return;
  if (!node) node = &findOrCreate(id);
  if (!node->dependenciesAdded) addDependencies(*node, input);
}

void JobGraph::addDependencies(Node& node, const DependencyInput& input) {
  node.hasRecord = true;
  node.dependenciesAdded = true;
  node.input = input;
  bool cancelled = false;
  for (const auto& dependency : input.dependsOn)
    cancelled = addDependency(node, dependency) || cancelled;
  if (cancelled) {
    cancelAll({&node});
    return;
  }
  updateState(node);
  propagateUpstream(node.dependsOn);
  removeIfIsolated(node);
}

// Adds one dependency of the job. Returns true if the dependency is cancelled.
bool JobGraph::addDependency(Node& node, const JobId& dependency) {
  Node* upstream = find(dependency);
  if (!upstream) {
    auto input = records_->dependencyInputOf(dependency);
    if (input && input->phase == JobPhase::done) {
      node.readyAtMs = std::max(node.readyAtMs, input->endedAtMs);
      return false;
    }
    if (input && input->phase == JobPhase::cancelled) return true;
    upstream = &findOrCreate(dependency);
    if (input) {
      upstream->hasRecord = true;
      // A job on record that has no node yet has no unfinished dependencies.
      upstream->dependenciesAdded = true;
      upstream->input = *input;
      upstream->input.dependsOn.clear();
    }
  }
  upstream->dependents.push_back(&node);
  node.dependsOn.push_back(upstream);
  return false;
}

void JobGraph::finish(Node& node, bool cancelled, std::int64_t endedAtMs) {
  if (cancelled) {
    cancelAll({&node});
    return;
  }
  auto dependents = std::exchange(node.dependents, {});
  auto upstream = std::exchange(node.dependsOn, {});
  for (Node* other : upstream) removeFrom(other->dependents, &node);
  for (Node* dependent : dependents) {
    removeFrom(dependent->dependsOn, &node);
    dependent->readyAtMs = std::max(dependent->readyAtMs, endedAtMs);
  }
  remove(node);
  for (Node* dependent : dependents) {
    updateState(*dependent);
    removeIfIsolated(*dependent);
  }
  propagateUpstream(upstream);
}

// Removes these jobs and all their direct and indirect dependents from the graph and reports them
// as cancelled.
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
    for (Node* other : node->dependsOn) {
      if (other->cancelled) continue;
      removeFrom(other->dependents, node);
      upstream.push_back(other);
    }
  }
  for (Node* node : cancelled) {
    DependencyState state;
    state.cancelled = true;
    state.priority = node->input.priority;
    bool hasRecord = node->hasRecord;
    JobId id = node->id;
    remove(*node);
    if (hasRecord) records_->dependenciesChanged(id, state);
  }
  propagateUpstream(std::move(upstream));
}

// Recomputes the states of these jobs after their dependents have changed, and passes each changed
// state on to the dependencies of the job.
void JobGraph::propagateUpstream(std::vector<Node*> from) {
  std::vector<Node*> next = from;
  while (!next.empty()) {
    Node* node = next.back();
    next.pop_back();
    if (updateState(*node)) next.insert(next.end(), node->dependsOn.begin(), node->dependsOn.end());
  }
  std::sort(from.begin(), from.end());
  from.erase(std::unique(from.begin(), from.end()), from.end());
  for (Node* node : from) removeIfIsolated(*node);
}

DependencyState JobGraph::stateOf(const Node& node) {
  DependencyState state;
  state.blocked = !node.dependsOn.empty();
  state.readyAtMs = node.readyAtMs;
  state.priority = node.input.priority;
  state.latestEndMs = node.input.deadlineMs;
  state.hasDependents = !node.dependents.empty();
  for (const Node* dependent : node.dependents) {
    const DependencyState& dependentState = dependent->reported;
    state.priority = std::max(state.priority, dependentState.priority);
    if (!dependentState.latestEndMs) continue;
    std::int64_t latestEnd = *dependentState.latestEndMs - dependent->input.estimate.count();
    state.latestEndMs = std::min(state.latestEndMs.value_or(latestEnd), latestEnd);
  }
  return state;
}

// Recomputes the job's state and reports it to the records. Returns true if it has changed.
bool JobGraph::updateState(Node& node) {
  DependencyState state = stateOf(node);
  const bool differs = state != node.reported;
  blockedCount_ += state.blocked ? 1 : 0;
  blockedCount_ -= node.reported.blocked ? 1 : 0;
  node.reported = state;
  const bool firstTime = node.hasRecord && !std::exchange(node.stateReported, node.hasRecord);
  if (node.hasRecord && (differs || firstTime)) records_->dependenciesChanged(node.id, state);
  return differs;
}

// Removes a job from the graph that has neither dependencies nor dependents.
void JobGraph::removeIfIsolated(Node& node) {
  if (node.dependsOn.empty() && node.dependents.empty()) remove(node);
}

void JobGraph::remove(const Node& node) {
  blockedCount_ -= node.reported.blocked ? 1 : 0;
  nodes_.erase(JobId{node.id});
}

std::vector<JobId> JobGraph::unfinishedDependencies(const JobId& id) const {
  std::vector<JobId> unfinished;
  auto it = nodes_.find(id);
  if (it == nodes_.end()) return unfinished;
  for (const Node* dependency : it->second->dependsOn) unfinished.push_back(dependency->id);
  return unfinished;
}

void JobGraph::forEachBlocked(
    const std::function<void(const JobId&, const std::vector<JobId>&)>& visit) const {
  for (const auto& [id, node] : nodes_) {
    if (!node->dependsOn.empty()) visit(id, unfinishedDependencies(id));
  }
}

}  // namespace kestrelhoist
