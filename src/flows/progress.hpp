/// \file
/// How far one version of a flow is: which instances wait, are in a job, are done or failed, and
/// which are ready. Pure; finishing one instance costs work by its dependents, not by the graph.
#pragma once

#include <deque>
#include <unordered_map>

#include "flows/graph.hpp"

namespace kestrelhoist {

class Progress {
 public:
  enum class State : std::uint8_t {
    waiting,   ///< for its inputs, or in the queue of ready ones
    assigned,  ///< in a job
    done,
    failed,   ///< for good
    skipped,  ///< needs a failed one, and the flow keeps going
  };

  Progress() = default;
  Progress(const FlowGraph& graph, bool keepGoing);

  State state(Instance i) const { return state_[i]; }
  /// From the records, before anything else; `settle` once all are set.
  void restore(Instance i, State s) { state_[i] = s; }
  void settle();

  void assign(Instance i);
  void finish(Instance i);
  void fail(Instance i);

  /// Ready instances of a rule, oldest first. Takes up to `most` of them whose outputs nobody else
  /// may still be writing; the others stay.
  std::vector<Instance> takeReady(std::uint32_t rule, std::size_t most) const;
  std::size_t readyOf(std::uint32_t rule) const { return ready_[rule].size(); }
  std::size_t ready() const { return readyCount_; }

  /// Outputs that a dropped task of an earlier version may still be writing.
  void block(std::uint64_t output) { ++blocked_[output]; }
  void unblock(std::uint64_t output);

  std::uint32_t count(State s) const { return counts_[static_cast<std::size_t>(s)]; }
  /// Everything has ended: done, failed or skipped.
  bool over() const { return count(State::waiting) == 0 && count(State::assigned) == 0; }
  /// Nothing more can start: what waits needs something that failed.
  bool stuck() const { return ready() == 0 && count(State::assigned) == 0 && !over(); }
  /// Instances visited so far, to count work in tests.
  std::uint64_t visits() const { return visits_; }
  std::size_t bytes() const;

  /// Of the dependents of these assigned instances, how many of each rule become ready when they
  /// are done: all their inputs are done or among them.
  std::vector<std::uint32_t> upcoming(const std::vector<Instance>& assigned) const;

 private:
  void set(Instance i, State s);
  void enqueue(Instance i);
  void skipDependents(Instance i);

  const FlowGraph* graph_ = nullptr;
  bool keepGoing_ = false;
  std::vector<State> state_;
  std::vector<std::uint32_t> missing_;   ///< inputs that are not done
  std::vector<std::uint32_t> outStart_;  ///< dependents, in flat form
  std::vector<Instance> dependents_;
  std::vector<std::deque<Instance>> ready_;  ///< by rule
  std::size_t readyCount_ = 0;
  std::uint32_t counts_[5] = {};
  std::unordered_map<std::uint64_t, std::uint32_t> blocked_;
  std::uint64_t visits_ = 0;
};

}  // namespace kestrelhoist
