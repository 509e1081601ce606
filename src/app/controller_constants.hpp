/// Time constants that several parts of a controller share.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// How often the records are read.
inline constexpr Duration kFollowerRead{500};
inline constexpr Duration kLeaderRead{250};
inline constexpr Duration kStoreTimeout{1000};
inline constexpr Duration kStoreSilent{
    2000};  // without contact for so long, the service counts as unreachable
/// Of the leader's lease.
inline constexpr Duration kLeaseLife{3000};
inline constexpr Duration kLeaseRenew{700};
inline constexpr Duration kPeerPresence{2000};    ///< a peer with a status this recent is reachable
inline constexpr Duration kForwardTimeout{1800};  ///< of requests forwarded to a peer

/// Path at which a controller tells a new leader what it knows of workers' leases.
inline constexpr const char* kLeasesPath = "/mesh/leases";

}  // namespace kestrelhoist
