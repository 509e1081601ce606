#include "reach/route.hpp"

namespace kestrelhoist {

bool mayRenewAlone(const ReportView& v) {
  return v.renewUntil && v.now <= *v.renewUntil && v.known != FencingToken{} &&
         v.reported <= v.known;
}

Route routeReport(const ReportView& v) {
  if (v.leads) return {Way::serve, std::nullopt};
  // A worker that was sent away and is back did not get through there: once in half a lease, so
  // that two nodes that point at each other can't use it up.
  bool mayMove = !v.sentAwayAgo || *v.sentAwayAgo > v.lease / 2;
  if (v.leader && v.leaderRelays) return {Way::relay, v.leader};
  if (v.leader && v.leaderHears && mayMove) return {Way::sendTo, v.leader};
  bool leaseOnly = mayRenewAlone(v);
  if (!v.leader) {
    // The holder renews its lease out of our sight, so it lives: only the link between us is cut.
    if (v.holder && v.holderUnheard > v.keyLife && mayMove && v.mayPoint)
      return {Way::sendTo, v.holder};
    // Cut off from everything while workers of other zones get here: it is this controller that is
    // cut off, not its zone, so they reach the others, where orders come from.
    // Its own zone's workers, too, then: kept here on lease-only answers they look dead to the
    // leader (8 to 16 of 24 replicas were given up), while they could report to it.
    if (v.isolated && (v.foreignZone || v.zonesReach) && mayMove) {
      return {Way::refuse, std::nullopt};
    }
  }
  if (leaseOnly) return {Way::leaseOnly, std::nullopt};
  return {Way::refuse, std::nullopt};
}

}  // namespace kestrelhoist
