/// The interface between the leader and its control loops. Each loop has its own state and
/// messages. The leader only schedules the loops in turn and commits one transaction at a time, so
/// that the effects of a commit are on record before the next decision.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/client.hpp"

namespace kestrelhoist {

/// One transaction of a control loop. It conditions on the leader key (LeaderContext::begin) and
/// writes at least one key that it conditions on.
struct Commit {
  Transaction transaction;
  std::function<void()> onApplied;  ///< called once the replica has applied it; may be null
  std::string what;                 ///< for the log
};

/// What a control loop does when it is scheduled: nothing, a commit, or an asynchronous step that
/// lasts until LeaderContext::finishStep is called.
struct LoopStep {
  std::optional<Commit> commit;
  bool isAsynchronous = false;
  static LoopStep idle() { return {}; }
  static LoopStep asynchronous() { return {std::nullopt, true}; }
  static LoopStep committing(std::optional<Commit> commit) { return {std::move(commit), false}; }
};

class ControlLoop {
 public:
  virtual ~ControlLoop() = default;
  /// Called in turn, never while a commit or an asynchronous step is under way.
  virtual LoopStep next() = 0;
  /// The records changed, by a commit of this leader or (`byOthers`) as read from the change feed.
  virtual void onRecordsChanged(bool byOthers) { (void)byOthers; }
  /// Called four times a second.
  virtual void onTimer() {}
};

}  // namespace kestrelhoist
