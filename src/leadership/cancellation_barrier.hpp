// Since when no controller can have told a user of a cancellation that is not in this one's
// records: what the other controllers say of themselves, for when the state service can't be asked.
#pragma once

#include <map>
#include <optional>

#include "config/platform.hpp"

namespace kestrelhoist {

// Users hear of a cancellation only from a controller, and only of one that is in its records. A
// peer that was asked at `a` answers later than `a`, with the newest revision `n` of any
// cancellation in its records (it answers so only once it has read all of them, so what its earlier
// lives told is in, too). With all revisions up to `n` in the records here, each cancellation that
// the peer told before `a` is here. Of all peers, and of this controller's own early commits: the
// records are as of the earliest `a`, in the sense of LeaseRenewal ("told at t <= r is in the
// records"), whatever the state service says meanwhile. A peer that ended, is cut off or has
// something newer is no witness any more: `a` stays, and gets old.
class CancellationBarrier {
 public:
  explicit CancellationBarrier(const std::vector<Peer>& peers) : peers_(peers) {}

  // `newest`: empty where the peer's records are not whole. `cursor`: up to which all is here.
  void onPeerStatus(const MemberId& peer, Instant asked, std::optional<Revision> newest,
                    Revision cursor) {
    if (!newest || *newest > cursor) return;
    auto& at = askedAt_.try_emplace(peer, asked).first->second;
    at = std::max(at, asked);
  }

  // Empty: not all peers have been heard yet.
  std::optional<Instant> snapshotTime() const {
    std::optional<Instant> earliest;
    for (const auto& peer : peers_) {
      auto it = askedAt_.find(peer.member);
      if (it == askedAt_.end()) return std::nullopt;
      if (!earliest || it->second < *earliest) earliest = it->second;
    }
    return earliest;
  }

 private:
  const std::vector<Peer>& peers_;
  std::map<MemberId, Instant> askedAt_;
};

}  // namespace kestrelhoist
