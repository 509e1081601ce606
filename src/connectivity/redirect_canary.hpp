/// Limits how many workers are redirected to a leader that this controller cannot reach itself.
#pragma once

#include <map>
#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// A worker whose heartbeat has just arrived.
struct RedirectCandidate {
  MachineId machine;  ///< the worker's
  bool idle{};        ///< it has no tasks to lose
  /// Since the arrival of its previous heartbeat that was acknowledged here; empty if there is
  /// none.
  std::optional<Duration> sinceAcknowledged;
};

/// Decides whether a worker may be redirected to an unreachable leader, by redirecting a few
/// canaries first and watching whether they come back.
///
/// The leader may reach the workers no better than this controller reaches the leader. In one such
/// case controllers refused one another's connections, the leader had lost the workers, and the
/// controller that received all heartbeats redirected every worker to it; each worker spent its
/// lease on the failover cycle. Nor may the link between the workers and this controller be fast: a
/// worker sends its next heartbeat when it has the answer to the last one, so the time between them
/// bounds how long its answers take, and a canary must outlive the detour with such answers. The
/// class performs no I/O and is not thread-safe.
class RedirectCanary {
 public:
  /// @param failoverCycle The longest that a worker takes to come back when every node that it
  ///        tries hangs.
  /// @param lease The workers' lease.
  /// @param reportEvery The workers' heartbeat interval.
  RedirectCanary(Duration failoverCycle, Duration lease, Duration reportEvery);

  /// Returns whether `worker` may be redirected to `leader` now.
  [[nodiscard]] bool mayRedirect(const MemberId& leader, const RedirectCandidate& worker,
                                 Instant now) const;
  /// Records that `worker` has been redirected to `leader`.
  void onRedirected(const MemberId& leader, const RedirectCandidate& worker, Instant now);
  /// Records a heartbeat here. If the worker had been redirected, the redirect target is
  /// unreachable for it.
  void onReport(const MachineId& machine, Instant now);

 private:
  Duration slowestAnswer(const RedirectCandidate& worker) const;
  bool outlivesDetour(const RedirectCandidate& worker) const;

  Duration failoverCycle_, lease_, reportEvery_;
  bool leaseOutlastsCycle_;            ///< a worker with tasks survives a whole failover cycle
  MemberId leader_;                    ///< the current redirect target
  Instant returnDue_{};                ///< by when a canary that came back would have reported
  std::optional<Instant> returnedAt_;  ///< when a canary last came back
  std::map<MachineId, Instant> redirected_;
};

}  // namespace kestrelhoist
