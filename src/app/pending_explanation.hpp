/// \file
/// Explains to operators why tasks of a job are not running yet.
#pragma once

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"
#include "placement/pending_reasons.hpp"

namespace kestrelhoist {

/// Returns the explanation that `kestrelhoist-admin why` shows. It names the leader and for how
/// many seconds it has led, the number of waiting tasks for each pending reason, and the job's
/// unfinished dependencies. If dependent jobs limit the end of this job, it also contains the
/// remaining slack.
Json explainPending(const LeaderContext& context, Fleet& fleet,
                    const PendingReasons& pendingReasons, const JobId& id);

}  // namespace kestrelhoist
