/// Explains to operators why tasks of a job are not running yet.
#pragma once

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"
#include "placement/pending_reasons.hpp"

namespace kestrelhoist {

/// Returns the explanation that `kestrelhoist-admin why` shows: the leader, for how many seconds it
/// has led, why how many tasks of the job wait, its unfinished dependencies, and the slack up to
/// its latest end if dependent jobs set one.
Json explainPending(const LeaderContext& context, Fleet& fleet,
                    const PendingReasons& pendingReasons, const JobId& id);

}  // namespace kestrelhoist
