/// \file
/// Defines the constants that several files of the controller share.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// A follower reads changes of the records at this interval.
inline constexpr Duration kFollowerReadInterval{500};
/// The leader reads changes of the records at this interval.
inline constexpr Duration kLeaderReadInterval{250};
/// A request to the state service fails after this time.
inline constexpr Duration kStoreTimeout{1000};
/// The state service counts as unreachable after this time without contact.
inline constexpr Duration kStoreUnreachableAfter{2000};
/// The leader's lease expires this long after its last renewal.
inline constexpr Duration kLeaderLeaseDuration{3000};
/// The leader renews its lease at this interval.
inline constexpr Duration kLeaderLeaseRenewInterval{700};
/// A peer counts as reachable if its last status is not older than this.
inline constexpr Duration kPeerReachableWithin{2000};
/// A request that was forwarded to a peer fails after this time.
inline constexpr Duration kForwardTimeout{1800};

/// A new leader requests the workers' leases that a peer has recorded at this path.
inline constexpr const char* kLeasesPath = "/mesh/leases";

}  // namespace kestrelhoist
