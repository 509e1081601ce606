/// \file
/// Declares the decision how a controller handles a worker's heartbeat. The inputs are the known
/// state of the leader, of the local records and of this controller. The functions perform no I/O.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// Holds the inputs of the routing decision.
struct HeartbeatView {
  Instant now{};
  bool leads{};  ///< Is true if this controller is the leader.
  /// Names the peer that claims the leadership in its recent status. It is empty if no peer does.
  std::optional<MemberId> leader;
  /// Is true if `leader` accepts forwarded heartbeats and responds to them.
  bool leaderForwards{};
  /// Is true if `leader` receives heartbeats directly from workers, or has not received any yet.
  bool leaderReachesWorkers{};
  /// Names the owner of the leader key according to a recent read, if that owner is an unreachable
  /// peer. It is empty if there is no owner or no recent read.
  std::optional<MemberId> unreachableLeader;
  /// Holds how long `unreachableLeader` has been unreachable while owning the key.
  Duration leaderUnreachableFor{};
  /// Holds the longest time that the leader key can exist after its owner has stopped.
  Duration maxLeaderKeyLifetime{};
  /// Holds the time until which this controller may renew worker leases (see LeaseRenewal). It is
  /// empty if the records have not been read.
  std::optional<Instant> renewUntil;
  Duration contactAge{};       ///< Holds the age of the local records.
  FencingToken knownToken;     ///< Holds the token of the newest known leader.
  FencingToken reportedToken;  ///< Holds the token that the worker sent.
  /// Is true if the worker and this controller are in different zones.
  bool workerInForeignZone{};
  /// Is false if redirected workers are known not to reach `unreachableLeader`, or if this worker's
  /// lease might expire during the redirect (see RedirectCanary).
  bool mayRedirect = true;
  /// Is true if workers of other zones have sent heartbeats since this controller became isolated.
  bool foreignZonesReporting{};
  /// Is true if this controller has recently reached neither the state service nor any peer.
  bool isolated{};
  /// Holds the time since this worker was last redirected. It is empty if that never happened.
  std::optional<Duration> sinceRedirect;
  Duration lease{};  ///< Holds the duration of a worker's lease.
};

/// Lists the ways to handle a heartbeat.
enum class RouteAction {
  /// The heartbeat is handled here because this controller leads.
  serve,
  /// The heartbeat is forwarded to the leader, whose commands are the response.
  forward,
  /// The heartbeat is answered without the leader. The response renews the lease and stops the
  /// tasks of ended jobs.
  leaseOnly,
  /// The response is a 421 that names the controller to use.
  redirect,
  /// The response is a 421 that names no controller.
  reject,
};

/// Holds the chosen action. `to` is the target of `forward` and `redirect`.
struct Route {
  RouteAction action{};
  std::optional<MemberId> to;
};

/// Chooses the action for one heartbeat.
[[nodiscard]] Route routeHeartbeat(const HeartbeatView& v);

/// Returns whether a heartbeat may be answered without the leader. The local replica must be so
/// recent that a cancellation which it lacks still stops its tasks in time, and the worker must
/// accept this controller's token.
[[nodiscard]] bool mayRenewLocally(const HeartbeatView& v);

}  // namespace kestrelhoist
