#include "connectivity/heartbeat_route.hpp"

namespace kestrelhoist {

bool mayRenewLocally(const HeartbeatView& v) {
  return v.renewUntil && v.now <= *v.renewUntil && v.knownToken != FencingToken{} &&
         v.reportedToken <= v.knownToken;
}

Route routeHeartbeat(const HeartbeatView& v) {
  if (v.leads) return {RouteAction::serve, std::nullopt};
  // A worker that was sent away and is back did not get through there: once in half a lease, so
  // that two nodes that point at each other can't use it up.
  bool mayMove = !v.sinceRedirect || *v.sinceRedirect > v.lease / 2;
  if (v.leader && v.leaderForwards) return {RouteAction::forward, v.leader};
  if (v.leader && v.leaderReachesWorkers && mayMove) return {RouteAction::redirect, v.leader};
  bool leaseOnly = mayRenewLocally(v);
  if (!v.leader) {
    // The holder renews its lease out of our sight, so it lives: only the link between us is cut.
    if (v.unreachableLeader && v.leaderUnreachableFor > v.leaderLeaseLife && mayMove &&
        v.mayRedirect)
      return {RouteAction::redirect, v.unreachableLeader};
    // Cut off from everything while workers of other zones get here: it is this controller that is
    // cut off, not its zone, so they reach the others, where orders come from.
    // Its own zone's workers, too, then: kept here on lease-only answers they look dead to the
    // leader (8 to 16 of 24 replicas were given up), while they could report to it.
    if (v.isolated && (v.foreignZone || v.foreignZonesReach) && mayMove) {
      return {RouteAction::reject, std::nullopt};
    }
  }
  if (leaseOnly) return {RouteAction::leaseOnly, std::nullopt};
  return {RouteAction::reject, std::nullopt};
}

}  // namespace kestrelhoist
