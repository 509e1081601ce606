/// \file
/// Records the launches that the leader sent to a worker in direct commands. The network may
/// deliver such a command late, and once more after the worker has carried it out and answered it.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "base/types.hpp"

namespace kestrelhoist {

/// Holds the direct launches that one worker would still accept. A worker refuses a direct command
/// that names another worker epoch than its own, or a lower token than the highest that it has
/// seen. Until then a copy of the command may arrive, whether or not the command was answered.
class DirectLaunches {
 public:
  /// Records that a direct command with a launch of the attempt is sent under the token.
  void onSent(const AttemptId& attempt, FencingToken token);
  /// Records that the worker answered one direct command with a launch of the attempt that was sent
  /// under the token.
  void onAnswered(const AttemptId& attempt, FencingToken token);
  /// Removes the launches that the worker refuses because it has seen this token.
  void onTokenSeen(FencingToken token);
  /// Removes all launches, because the worker has begun a new epoch.
  void onNewWorkerEpoch() { unanswered_.clear(); }

  /// Returns whether a launch of the attempt may arrive, for the first time or as a copy. A worker
  /// that has forgotten the attempt would then start it.
  bool mayArrive(const AttemptId& attempt) const;
  /// Returns whether a launch of the attempt may arrive that the worker has not answered.
  bool isUnanswered(const AttemptId& attempt) const;

 private:
  /// Maps each launch that may arrive to the number of its commands without an answer. An answer to
  /// one command proves nothing about another, because the two may take different paths.
  std::map<std::pair<AttemptId, FencingToken>, int> unanswered_;
};

}  // namespace kestrelhoist
