/// \file
/// Raises the leader's fencing token while it leads, so that workers refuse the direct commands
/// that carry an earlier token and can forget the attempts that these commands launched.
#pragma once

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Writes the leader key again when a worker reports many ended attempts that it must remember. The
/// new revision of the key is the new token.
class TokenRaiseLoop : public ControlLoop {
 public:
  TokenRaiseLoop(LeaderContext& context, const Fleet& fleet)
      : context_(context), fleet_(fleet), raisedAt_(context.electedAt) {}

  /// Commits the leader key if a raise is due.
  LoopStep next() override;
  /// Determines whether a raise is due.
  void onTimer() override;

 private:
  LeaderContext& context_;
  const Fleet& fleet_;
  Instant raisedAt_;
  bool isDue_ = false;
};

}  // namespace kestrelhoist
