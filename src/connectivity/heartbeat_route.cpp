#include "connectivity/heartbeat_route.hpp"

namespace kestrelhoist {

bool mayRenewLocally(const HeartbeatView& v) {
  return v.renewUntil && v.now <= *v.renewUntil && v.knownToken != FencingToken{} &&
         v.reportedToken <= v.knownToken;
}

Route routeHeartbeat(const HeartbeatView& v) {
  if (v.leads) return {RouteAction::serve, std::nullopt};
  // A redirected worker that reports here again could not reach the target. A worker is redirected
  // at most once per half lease, so that its lease cannot expire while two controllers redirect it
  // to each other.
  bool mayRedirectAgain = !v.sinceRedirect || *v.sinceRedirect > v.lease / 2;
  if (v.leader && v.leaderForwards) return {RouteAction::forward, v.leader};
  if (v.leader && v.leaderReachesWorkers && mayRedirectAgain)
    return {RouteAction::redirect, v.leader};
  bool leaseOnly = mayRenewLocally(v);
  if (!v.leader) {
    // The owner of the leader key still renews its lease, so it is running and only the link
    // between it and this controller is down.
    if (v.unreachableLeader && v.leaderUnreachableFor > v.maxLeaderKeyLifetime &&
        mayRedirectAgain && v.mayRedirect)
      return {RouteAction::redirect, v.unreachableLeader};
    // This controller reaches neither the state service nor any peer, but workers of other zones
    // reach it. Therefore only the controller is isolated, not its zone, and all workers, including
    // those of its own zone, can report to the other controllers and get commands there. If they
    // stayed here on lease-only responses, the leader would consider them dead: in one such case it
    // gave up 8 to 16 of 24 replicas whose workers could have reported to it.
    if (v.isolated && (v.workerInForeignZone || v.foreignZonesReporting) && mayRedirectAgain) {
      return {RouteAction::reject, std::nullopt};
    }
  }
  if (leaseOnly) return {RouteAction::leaseOnly, std::nullopt};
  return {RouteAction::reject, std::nullopt};
}

}  // namespace kestrelhoist
