/// \file
/// Which unfinished jobs wait for which others. Pure and incremental: a change of one job costs
/// what depends on it, not what is on record. Jobs that are over leave the graph, so history costs
/// nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jobs/spec.hpp"

namespace kestrelhoist {

/// What the records say of one job.
struct DependencyInput {
  std::vector<JobId> dependsOn;  ///< without repetitions
  /// As decided so far; of a job that is cancelled through another: cancelled.
  JobPhase phase = JobPhase::active;
  std::int64_t endedAtMs{};  ///< of a job that is done; 0: not on record
  Priority priority = Priority::low;
  Duration estimate{};                ///< from its first start to its end
  std::optional<std::int64_t> dueMs;  ///< time of day
};

/// What follows for a job from the jobs that it awaits and from those that await it.
struct DependencyState {
  bool blocked = false;    ///< a job that it awaits is not done
  bool cancelled = false;  ///< a job that it awaits, directly or through others, is cancelled
  /// Time of day of the end of the last job that it awaits; 0: none awaited.
  std::int64_t readyAtMs = 0;
  /// The highest of its own and of any job that needs it, directly or through others.
  Priority priority = Priority::low;
  /// Until when it has to be done so that it and all that need it keep their deadlines.
  std::optional<std::int64_t> latestEndMs;
  bool hasDependents = false;  ///< an unfinished job awaits it
  auto operator<=>(const DependencyState&) const = default;
};

/// The records that the graph is about.
class JobRecords {
 public:
  virtual ~JobRecords() = default;
  /// The facts of a job, by the records; empty: not on record (yet).
  virtual std::optional<DependencyInput> dependencyInputOf(const JobId& id) const = 0;
  /// Told of each job on record whose state has changed.
  virtual void dependenciesChanged(const JobId& id, const DependencyState& state) = 0;
};

class JobGraph {
 public:
  /// A job's record was read, for the first time or with a new phase.
  void update(const JobId& id, const DependencyInput& input, JobRecords& records);
  void clear() { nodes_.clear(); }

  /// Jobs of the graph: those that await others and those that are awaited, none of them over.
  std::size_t size() const { return nodes_.size(); }
  std::size_t blockedCount() const { return blocked_; }
  /// The unfinished jobs that this one awaits directly.
  std::vector<JobId> unfinishedDependencies(const JobId& id) const;
  /// Calls back for each job that is held, with the unfinished jobs that it awaits.
  void forEachBlocked(
      const std::function<void(const JobId&, const std::vector<JobId>&)>& visit) const;

 private:
  struct Node {
    JobId id;
    bool known = false;              ///< its record was read
    bool dependenciesAdded = false;  ///< what it awaits is in the graph
    bool announced = false;          ///< the records were told of its state
    bool cancelled = false;          ///< about to leave the graph so
    DependencyInput input;
    std::vector<Node*> dependsOn;   ///< unfinished ones
    std::vector<Node*> dependents;  ///< unfinished ones
    std::int64_t readyAtMs = 0;
    DependencyState reported;
  };

  Node* find(const JobId& id);
  Node& nodeOf(const JobId& id);
  void addDependencies(Node& node, const DependencyInput& input);
  bool addDependency(Node& node, const JobId& dependency);
  void finish(Node& node, bool cancelled, std::int64_t endedAtMs);
  void cancelAll(const std::vector<Node*>& from);
  void inheritUpstream(std::vector<Node*> from);
  static DependencyState stateOf(const Node& node);
  bool report(Node& node);
  void dropIfPlain(Node& node);
  void forget(const Node& node);

  JobRecords* records_ = nullptr;  ///< during `update` only
  std::unordered_map<JobId, std::unique_ptr<Node>> nodes_;
  std::size_t blocked_ = 0;
};

}  // namespace kestrelhoist
