// What a controller does with a worker's report: pure, from what it knows of the leader, of the
// records and of itself.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

struct HeartbeatView {
  Instant now{};
  bool leads{};
  // The leader, as heard over the mesh a moment ago; empty: not heard.
  std::optional<MemberId> leader;
  bool leaderForwards{};  // it takes reports from peers, and reports passed to it are answered
  bool leaderReachesWorkers{};  // it hears workers by its own links, or does not know yet
  // The holder of the leader key by a fresh read, a peer that is not heard; empty: nobody, or no
  // fresh read.
  std::optional<MemberId> unreachableLeader;
  Duration leaderUnreachableFor{};  // for how long the holder was not heard while it kept the key
  Duration leaderLeaseLife{};       // the longest that a leader key outlives its holder
  // Until when leases may be renewed (LeaseRenewal); empty: the records have not been read.
  std::optional<Instant> renewUntil;
  Duration contactAge{};       // of the records
  FencingToken knownToken;     // of the newest leader known of
  FencingToken reportedToken;  // the worker's
  bool foreignZone{};          // the worker is in another zone than this controller
  bool mayRedirect = true;     // workers get through to the holder, as far as was tried (Scouts)
  bool foreignZonesReach{};    // while isolated, workers of other zones have come
  bool isolated{};             // neither state service nor any peer was reached lately
  std::optional<Duration> sinceRedirect;  // since this worker was last sent to another node
  Duration lease{};                       // the workers'
};

enum class RouteAction {
  serve,      // this controller leads
  forward,    // to the leader, whose orders are the answer
  leaseOnly,  // answered in the leader's stead: keeps the lease, and stops what is over
  redirect,   // 421 that names `to`
  reject,     // 421 without a name
};

struct Route {
  RouteAction action{};
  std::optional<MemberId> to;
};

Route routeHeartbeat(const HeartbeatView& v);

// Whether a report may be answered without the leader: the copy is young enough that a cancellation
// it may miss still takes its tasks off in time, and the token is one that the worker accepts.
bool mayRenewLocally(const HeartbeatView& v);

}  // namespace kestrelhoist
