/// \file
/// Declares the limit on how many workers are redirected to a leader that this controller cannot
/// reach.
#pragma once

#include <map>
#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// Describes a worker whose heartbeat has just arrived.
struct RedirectCandidate {
  MachineId machine;  ///< Identifies the worker's machine.
  bool idle{};        ///< Is true if the worker runs no tasks.
  /// Holds the time since the arrival of the worker's previous heartbeat that this controller
  /// acknowledged. It is empty if there is none.
  std::optional<Duration> sinceAcknowledged;
};

/// Decides whether a worker may be redirected to a leader that this controller cannot reach. A few
/// workers are redirected first, as canaries. The others follow only if the canaries do not report
/// to this controller again.
///
/// The workers may be unable to reach the leader, too. In one such case the controllers refused
/// each other's connections and the leader received no heartbeats. The controller that received all
/// of them redirected every worker to the leader, and the workers' leases expired while they tried
/// one controller after the other.
///
/// The link between the workers and this controller may also be slow. A worker sends its next
/// heartbeat only after it has received the response to the previous one, so the time between two
/// heartbeats is an upper bound for the response time. A worker with tasks is chosen as a canary
/// only if its lease lasts until it has tried the redirect target and has returned to this
/// controller, with responses that take that long.
///
/// The class performs no I/O and is not thread-safe.
class RedirectCanary {
 public:
  /// Creates an instance without a redirect target.
  /// @param failoverCycle The longest time until a redirected worker reports here again if every
  ///        controller that it tries accepts the request but does not respond.
  /// @param lease The duration of a worker's lease.
  /// @param reportEvery The heartbeat interval of the workers.
  RedirectCanary(Duration failoverCycle, Duration lease, Duration reportEvery);

  /// Returns whether `worker` may be redirected to `leader` now.
  [[nodiscard]] bool mayRedirect(const MemberId& leader, const RedirectCandidate& worker,
                                 Instant now) const;
  /// Records that `worker` has been redirected to `leader`.
  void onRedirected(const MemberId& leader, const RedirectCandidate& worker, Instant now);
  /// Records that this controller received a heartbeat of the worker. If that worker is a canary,
  /// it could not reach the redirect target.
  void onReport(const MachineId& machine, Instant now);

 private:
  Duration maxResponseTime(const RedirectCandidate& worker) const;
  /// Returns whether the worker's lease lasts until it has returned from a failed redirect.
  bool leaseOutlastsDetour(const RedirectCandidate& worker) const;

  Duration failoverCycle_, lease_, reportEvery_;
  /// Is true if a lease lasts longer than a worker needs to try every controller and to return
  /// here.
  bool leaseOutlastsCycle_;
  /// Names the current redirect target.
  MemberId leader_;
  /// Holds the time by which every canary that cannot reach the target has reported here again.
  Instant returnDue_{};
  /// Holds the time at which a canary last reported here again.
  std::optional<Instant> returnedAt_;
  /// Holds the current canaries and the times at which they were redirected.
  std::map<MachineId, Instant> redirected_;
};

}  // namespace kestrelhoist
