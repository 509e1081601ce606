/// Decides how a controller handles a worker's heartbeat, from what it knows of the leader, of its
/// records and of itself. The functions perform no I/O.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// Inputs of the routing decision.
struct HeartbeatView {
  Instant now{};
  bool leads{};
  /// The leader according to a recent peer status; empty if there is none.
  std::optional<MemberId> leader;
  bool leaderForwards{};        ///< it accepts forwarded heartbeats and answers them
  bool leaderReachesWorkers{};  ///< it receives heartbeats directly, or does not know yet
  /// The holder of the leader key by a fresh read, if it is an unreachable peer; empty if there is
  /// no holder or no fresh read.
  std::optional<MemberId> unreachableLeader;
  Duration leaderUnreachableFor{};  ///< how long it has been unreachable while keeping the key
  Duration leaderLeaseLife{};       ///< the longest that a leader key outlives its holder
  /// Until when leases may be renewed (LeaseRenewal); empty if the records have not been read.
  std::optional<Instant> renewUntil;
  Duration contactAge{};       ///< of the records
  FencingToken knownToken;     ///< of the newest known leader
  FencingToken reportedToken;  ///< the worker's
  bool foreignZone{};          ///< the worker is in another zone than this controller
  bool mayRedirect =
      true;  ///< redirected workers reach the key holder, as far as known (RedirectCanary)
  bool foreignZonesReach{};               ///< while isolated, workers of other zones have reported
  bool isolated{};                        ///< neither state service nor any peer was reached lately
  std::optional<Duration> sinceRedirect;  ///< since this worker was last redirected
  Duration lease{};                       ///< the workers'
};

/// What to do with a heartbeat.
enum class RouteAction {
  serve,      ///< this controller leads
  forward,    ///< to the leader, whose commands are the response
  leaseOnly,  ///< answered without the leader: renews the lease and stops tasks of ended jobs
  redirect,   ///< 421 that names `to`
  reject,     ///< 421 without a name
};

/// The decision; `to` is the target of `forward` and `redirect`.
struct Route {
  RouteAction action{};
  std::optional<MemberId> to;
};

/// Chooses the action for one heartbeat.
[[nodiscard]] Route routeHeartbeat(const HeartbeatView& v);

/// Whether a heartbeat may be answered without the leader: the replica is fresh enough that a
/// cancellation it may lack still stops its tasks in time, and the worker accepts the token.
[[nodiscard]] bool mayRenewLocally(const HeartbeatView& v);

}  // namespace kestrelhoist
