#include "connectivity/heartbeat_route.hpp"

namespace kestrelhoist {

bool mayRenewLocally(const HeartbeatView& v) {
  return v.renewUntil && v.now <= *v.renewUntil && v.knownToken != FencingToken{} &&
         v.reportedToken <= v.knownToken;
}

Route routeHeartbeat(const HeartbeatView& v) {
  if (v.leads) return {RouteAction::serve, std::nullopt};
  // A redirected worker that came back could not reach the target. It is redirected at most once in
  // half a lease, so that two nodes that redirect to each other cannot use up the lease.
  bool mayRedirectAgain = !v.sinceRedirect || *v.sinceRedirect > v.lease / 2;
  if (v.leader && v.leaderForwards) return {RouteAction::forward, v.leader};
  if (v.leader && v.leaderReachesWorkers && mayRedirectAgain)
    return {RouteAction::redirect, v.leader};
  bool leaseOnly = mayRenewLocally(v);
  if (!v.leader) {
    // The key holder still renews its lease, so it is alive and only the link to it is cut.
    if (v.unreachableLeader && v.leaderUnreachableFor > v.leaderLeaseLife && mayRedirectAgain &&
        v.mayRedirect)
      return {RouteAction::redirect, v.unreachableLeader};
    // This controller reaches neither the store nor any peer, yet workers of other zones reach it:
    // the controller is cut off, not its zone, so the workers reach the other controllers, where
    // commands come from. That holds for its own zone's workers, too. Kept here on lease-only
    // responses they look dead to the leader (8 to 16 of 24 replicas were given up), although they
    // could report to it.
    if (v.isolated && (v.foreignZone || v.foreignZonesReach) && mayRedirectAgain) {
      return {RouteAction::reject, std::nullopt};
    }
  }
  if (leaseOnly) return {RouteAction::leaseOnly, std::nullopt};
  return {RouteAction::reject, std::nullopt};
}

}  // namespace kestrelhoist
