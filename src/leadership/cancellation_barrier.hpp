/// Bounds how old the local records are with respect to cancellations that users have been told of,
/// from what the other controllers report. It is used while the state service is unreachable.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "config/platform.hpp"

namespace kestrelhoist {

/// Computes the time up to which every cancellation acknowledged to a user is in the local records.
///
/// Users learn of a cancellation only from a controller, and only once it is in that controller's
/// records. A peer that was asked at time `a` answers later than `a`, with the newest revision `n`
/// of any cancellation in its records. It answers so only once it has read all of them, so the
/// cancellations that its earlier incarnations acknowledged are included. When the local records
/// contain all revisions up to `n`, they contain each cancellation that the peer acknowledged
/// before `a`. Over all peers, and for this controller's own early commits, the records are
/// therefore as of the earliest `a`, in the sense of LeaseRenewal (an acknowledgement at t <= r is
/// in the records), whatever the state service says meanwhile. A peer that ended, is cut off or has
/// something newer no longer advances its `a`, which grows old.
///
/// Instants are of the local steady clock; revisions are those of the state service.
class CancellationBarrier {
 public:
  /// `peers` must outlive this object.
  explicit CancellationBarrier(const std::vector<Peer>& peers) : peers_(peers) {}

  /// Records a peer's answer.
  /// @param asked When the peer was asked.
  /// @param newest The newest cancellation in the peer's records; empty while those are incomplete.
  /// @param cursor The revision up to which the local records are complete.
  void onPeerStatus(const MemberId& peer, Instant asked, std::optional<Revision> newest,
                    Revision cursor);

  /// The time up to which acknowledged cancellations are known here; empty until all peers have
  /// answered.
  [[nodiscard]] std::optional<Instant> snapshotTime() const;

 private:
  const std::vector<Peer>& peers_;
  std::map<MemberId, Instant> askedAt_;
};

}  // namespace kestrelhoist
