#include "fleet/token_raise_loop.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// A raise makes every worker send one report more, so it waits until this many attempts are
// retained by one worker.
constexpr std::size_t kRetainedAttemptsBeforeRaise = 64;
constexpr Duration kMinTimeBetweenRaises{10000};

}  // namespace

void TokenRaiseLoop::onTimer() {
  if (isDue_ || context_.runtime.now() - raisedAt_ < kMinTimeBetweenRaises) return;
  isDue_ = fleet_.mostRetainedAttempts() >= kRetainedAttemptsBeforeRaise;
}

LoopStep TokenRaiseLoop::next() {
  if (!isDue_) return LoopStep::idle();
  isDue_ = false;
  raisedAt_ = context_.runtime.now();
  logInfo("raising the token", "token", context_.token, "retained_attempts",
          fleet_.mostRetainedAttempts());
  Commit commit{context_.begin(), nullptr, "token raised"};
  commit.transaction.writes.push_back(context_.leaderKeyWrite());
  return LoopStep::committing(std::move(commit));
}

}  // namespace kestrelhoist
