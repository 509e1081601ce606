// The seam between a leadership and its duties. Each duty is a part of its own slice, with its own
// state and messages; the leader only elects, lets them take turns and commits one transaction at
// a time, so that what a commit changes is on record before the next decision.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "store/client.hpp"

namespace kestrelhoist {

// One transaction of a duty. It conditions on the leader key (Leadership::begin) and writes at
// least one key that it conditions on.
struct Commit {
  Transaction transaction;
  std::function<void()> onApplied;  // after the copy has taken it in; may be null
  std::string what;                 // for the log
};

// What a duty does with its turn: nothing, a commit, or something that keeps the turn until
// Leadership::done is called.
struct LoopStep {
  std::optional<Commit> commit;
  bool isAsynchronous = false;
  static LoopStep idle() { return {}; }
  static LoopStep asynchronous() { return {std::nullopt, true}; }
  static LoopStep committing(std::optional<Commit> c) { return {std::move(c), false}; }
};

class ControlLoop {
 public:
  virtual ~ControlLoop() = default;
  // Asked in turn, never while a commit or a held turn is under way.
  virtual LoopStep next() = 0;
  // The records changed: by a commit of this leadership, or (`byOthers`) as read from the feed.
  virtual void onRecordsChanged(bool byOthers) { (void)byOthers; }
  // Four times a second.
  virtual void onTimer() {}
};

}  // namespace kestrelhoist
