/// \file
/// Declares the computation of how recent the local records are with respect to cancellations that
/// were acknowledged to users. The computation uses the statuses of the peers and is needed while
/// the state service is unreachable.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "config/platform.hpp"

namespace kestrelhoist {

/// Computes the time up to which every cancellation acknowledged to a user is in the local records.
///
/// A controller acknowledges a cancellation to a user only once the cancellation is in that
/// controller's records. A peer that receives a status request sent at time `a` responds after `a`
/// with `n`, the newest revision of any cancellation in its records. It includes `n` only once it
/// has read all records, so `n` covers the cancellations that earlier incarnations of the peer
/// acknowledged. If the local records contain all revisions up to `n`, they contain every
/// cancellation that the peer acknowledged before `a`.
///
/// The result is the earliest `a` of all peers: every cancellation acknowledged at or before that
/// time is in the local records, also if this controller committed it itself. This is the snapshot
/// time `r` that LeaseRenewal needs, and it does not depend on the state service. The `a` of a peer
/// stops advancing while the peer is stopped, is unreachable or reports a revision that the local
/// records lack.
///
/// Instants are of the local steady clock. Revisions are those of the state service.
class CancellationBarrier {
 public:
  /// Creates a barrier for `peers`, which must outlive this object.
  explicit CancellationBarrier(const std::vector<Peer>& peers) : peers_(peers) {}

  /// Records a peer's response to a status request.
  /// @param sentAt The time at which the request was sent.
  /// @param newest The revision of the newest cancellation in the peer's records. It is empty while
  ///        those records are incomplete.
  /// @param cursor The revision up to which the local records are complete.
  void onPeerStatus(const MemberId& peer, Instant sentAt, std::optional<Revision> newest,
                    Revision cursor);

  /// Returns the time up to which all acknowledged cancellations are in the local records. The
  /// result is empty until all peers have responded.
  [[nodiscard]] std::optional<Instant> snapshotTime() const;

 private:
  const std::vector<Peer>& peers_;
  std::map<MemberId, Instant> requestSentAt_;
};

}  // namespace kestrelhoist
