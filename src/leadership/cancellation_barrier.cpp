#include "leadership/cancellation_barrier.hpp"

#include <algorithm>

namespace kestrelhoist {

void CancellationBarrier::onPeerStatus(const MemberId& peer, Instant asked,
                                       std::optional<Revision> newest, Revision cursor) {
  if (!newest || *newest > cursor) return;
  auto& latest = askedAt_.try_emplace(peer, asked).first->second;
  latest = std::max(latest, asked);
}

std::optional<Instant> CancellationBarrier::snapshotTime() const {
  std::optional<Instant> earliest;
  for (const auto& peer : peers_) {
    auto asked = askedAt_.find(peer.member);
    if (asked == askedAt_.end()) return std::nullopt;
    if (!earliest || asked->second < *earliest) earliest = asked->second;
  }
  return earliest;
}

}  // namespace kestrelhoist
