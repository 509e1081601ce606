/// \file
/// Declares the interface between the leader and its control loops. Each loop has its own state and
/// messages. The leader runs one loop after the other and commits one transaction at a time, so
/// that the effects of a commit are in the records before the next decision.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/client.hpp"

namespace kestrelhoist {

/// Holds one transaction of a control loop. The transaction compares the revision of the leader key
/// (LeaderContext::begin) and writes at least one key whose revision it compares.
struct Commit {
  Transaction transaction;
  /// Is called once the replica has applied the transaction. It may be null.
  std::function<void()> onApplied;
  /// Names the transaction in the log.
  std::string what;
};

/// Describes what a control loop does when the leader runs it. It does nothing, commits a
/// transaction, or starts an asynchronous step that lasts until LeaderContext::finishStep is
/// called.
struct LoopStep {
  std::optional<Commit> commit;
  bool isAsynchronous = false;
  static LoopStep idle() { return {}; }
  static LoopStep asynchronous() { return {std::nullopt, true}; }
  static LoopStep committing(std::optional<Commit> commit) { return {std::move(commit), false}; }
};

/// Makes one kind of the leader's decisions, for example the placement of tasks.
class ControlLoop {
 public:
  virtual ~ControlLoop() = default;
  /// Returns the next step of this loop. The leader never calls it while a commit or an
  /// asynchronous step is in progress.
  virtual LoopStep next() = 0;
  /// Is called after the records changed. `byOthers` is true if the change was read from the change
  /// feed and false if this leader committed it.
  virtual void onRecordsChanged(bool byOthers) { (void)byOthers; }
  /// Is called four times a second.
  virtual void onTimer() {}
};

}  // namespace kestrelhoist
