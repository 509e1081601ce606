/// \file
/// Tracks the state of each instance of one flow version, and which instances are ready to start.
/// The module does no I/O. The cost of finishing an instance is proportional to the number of its
/// dependents, not to the size of the graph.
#pragma once

#include <deque>
#include <unordered_map>

#include "flows/graph.hpp"

namespace kestrelhoist {

/// Holds the execution state of one version of a flow.
class Progress {
 public:
  enum class State : std::uint8_t {
    waiting,   ///< The instance waits for its inputs, or is ready but in no job.
    assigned,  ///< The instance belongs to a job.
    done,
    failed,   ///< The instance failed permanently.
    skipped,  ///< It depends on a failed instance, and the flow keeps going.
  };

  Progress() = default;
  Progress(const FlowGraph& graph, bool keepGoing);

  State state(Instance i) const { return state_[i]; }
  /// Sets the recorded state of an instance. The caller restores all instances first and then calls
  /// `recompute`, before it uses any other function.
  void restore(Instance i, State s) { state_[i] = s; }
  /// Recomputes the counts, the ready queues and the skipped instances from the restored states.
  void recompute();

  void assign(Instance i);
  void finish(Instance i);
  void fail(Instance i);

  /// Returns up to `maxCount` ready instances of a rule, oldest first. It leaves out instances with
  /// a blocked output. The queue of ready instances does not change.
  std::vector<Instance> readyInstances(std::uint32_t rule, std::size_t maxCount) const;
  std::size_t readyCountOf(std::uint32_t rule) const { return ready_[rule].size(); }
  std::size_t readyCount() const { return readyCount_; }

  /// Marks an output as blocked, because a dropped task of an earlier version may still write it.
  void block(std::uint64_t output) { ++blocked_[output]; }
  void unblock(std::uint64_t output);

  std::uint32_t count(State s) const { return counts_[static_cast<std::size_t>(s)]; }
  /// Returns true if every instance is done, failed or skipped.
  bool hasEnded() const { return count(State::waiting) == 0 && count(State::assigned) == 0; }
  /// Returns true if instances wait but none can start, because they depend on failed instances.
  bool isStuck() const { return readyCount() == 0 && count(State::assigned) == 0 && !hasEnded(); }
  /// Returns the number of dependents visited so far; tests use it to measure the work.
  std::uint64_t visits() const { return visits_; }
  std::size_t bytes() const;

  /// Returns, by rule, how many waiting instances become ready when the given assigned instances
  /// are done.
  std::vector<std::uint32_t> upcoming(const std::vector<Instance>& assigned) const;

 private:
  void set(Instance i, State s);
  void enqueue(Instance i);
  void skipDependents(Instance i);

  const FlowGraph* graph_ = nullptr;
  bool keepGoing_ = false;
  std::vector<State> state_;
  std::vector<std::uint32_t> missing_;  ///< Counts the unfinished inputs of each instance.
  /// Contains the index of the first dependent of each instance in `dependents_`.
  std::vector<std::uint32_t> outStart_;
  std::vector<Instance> dependents_;
  std::vector<std::deque<Instance>> ready_;  ///< Contains one queue per rule.
  std::size_t readyCount_ = 0;
  std::uint32_t counts_[5] = {};
  std::unordered_map<std::uint64_t, std::uint32_t> blocked_;
  std::uint64_t visits_ = 0;
};

}  // namespace kestrelhoist
