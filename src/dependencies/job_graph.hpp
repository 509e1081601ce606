/// \file
/// Maintains the dependency graph of the unfinished jobs incrementally. The cost of an update grows
/// with the number of jobs connected to the updated job, not with the number of jobs on record.
/// Jobs that have ended are removed from the graph.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jobs/spec.hpp"

namespace kestrelhoist {

/// Holds the properties of one job that the dependency graph needs, taken from the job's records.
struct DependencyInput {
  std::vector<JobId> dependsOn;  ///< Contains each job once.
  /// Holds the effective phase. It is cancelled if a dependency of the job was cancelled.
  JobPhase phase = JobPhase::active;
  /// Holds the wall-clock time at which the job was done. It is 0 if that time is not on record.
  std::int64_t endedAtMs{};
  Priority priority = Priority::low;
  Duration estimate{};  ///< Estimates the time from the first task start to the end.
  std::optional<std::int64_t> deadlineMs;  ///< Holds the wall-clock time of the job's deadline.
};

/// Holds the state of a job that results from its direct and indirect dependencies and dependents.
struct DependencyState {
  bool blocked = false;    ///< Is true if a dependency is not done.
  bool cancelled = false;  ///< Is true if a direct or indirect dependency is cancelled.
  /// Holds the wall-clock time at which the last of the ended dependencies ended. It is 0 if none
  /// has ended.
  std::int64_t readyAtMs = 0;
  /// Holds the highest priority among the job itself and its direct and indirect dependents.
  Priority priority = Priority::low;
  /// Holds the wall-clock time by which the job must end so that the job and all its dependents can
  /// meet their deadlines.
  std::optional<std::int64_t> latestEndMs;
  bool hasDependents = false;  ///< Is true if an unfinished job depends on the job.
  auto operator<=>(const DependencyState&) const = default;
};

/// Gives the graph access to the job records and receives the states that it computes.
class JobRecords {
 public:
  virtual ~JobRecords() = default;
  /// Returns the properties of a job, or nothing if its records have not been read yet.
  virtual std::optional<DependencyInput> dependencyInputOf(const JobId& id) const = 0;
  /// Is called for each job on record whose state has changed.
  virtual void dependenciesChanged(const JobId& id, const DependencyState& state) = 0;
};

/// Represents the dependency graph. It contains the unfinished jobs that have dependencies or
/// dependents.
class JobGraph {
 public:
  /// Updates the graph after a job's record was read for the first time or with a new phase.
  void update(const JobId& id, const DependencyInput& input, JobRecords& records);
  void clear() { nodes_.clear(); }

  /// Returns the number of jobs in the graph.
  std::size_t size() const { return nodes_.size(); }
  /// Returns the number of jobs that have an unfinished dependency.
  std::size_t blockedCount() const { return blockedCount_; }
  /// Returns the unfinished jobs on which the job depends directly.
  std::vector<JobId> unfinishedDependencies(const JobId& id) const;
  /// Calls `visit` for each blocked job with the unfinished jobs on which it depends directly.
  void forEachBlocked(
      const std::function<void(const JobId&, const std::vector<JobId>&)>& visit) const;

 private:
  struct Node {
    JobId id;
    bool hasRecord = false;          ///< Is true if the job's record was read.
    bool dependenciesAdded = false;  ///< Is true if the job's dependencies are in the graph.
    bool stateReported = false;      ///< Is true if dependenciesChanged was called for the job.
    bool cancelled = false;          ///< Is true while cancelAll removes the job from the graph.
    DependencyInput input;
    std::vector<Node*> dependsOn;   ///< Contains the unfinished direct dependencies.
    std::vector<Node*> dependents;  ///< Contains the unfinished direct dependents.
    std::int64_t readyAtMs = 0;
    DependencyState reported;
  };

  Node* find(const JobId& id);
  Node& findOrCreate(const JobId& id);
  void addDependencies(Node& node, const DependencyInput& input);
  bool addDependency(Node& node, const JobId& dependency);
  void finish(Node& node, bool cancelled, std::int64_t endedAtMs);
  void cancelAll(const std::vector<Node*>& from);
  void propagateUpstream(std::vector<Node*> from);
  static DependencyState stateOf(const Node& node);
  bool updateState(Node& node);
  void removeIfIsolated(Node& node);
  void remove(const Node& node);

  JobRecords* records_ = nullptr;  ///< The pointer is valid only while `update` runs.
  std::unordered_map<JobId, std::unique_ptr<Node>> nodes_;
  std::size_t blockedCount_ = 0;
};

}  // namespace kestrelhoist
