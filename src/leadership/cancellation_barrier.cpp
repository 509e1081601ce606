#include "leadership/cancellation_barrier.hpp"

#include <algorithm>

namespace kestrelhoist {

void CancellationBarrier::onPeerStatus(const MemberId& peer, Instant sentAt,
                                       std::optional<Revision> newest, Revision cursor) {
  if (!newest || *newest > cursor) return;
  auto& latest = requestSentAt_.try_emplace(peer, sentAt).first->second;
  latest = std::max(latest, sentAt);
}

std::optional<Instant> CancellationBarrier::snapshotTime() const {
  std::optional<Instant> earliest;
  for (const auto& peer : peers_) {
    auto sentAt = requestSentAt_.find(peer.member);
    if (sentAt == requestSentAt_.end()) return std::nullopt;
    if (!earliest || sentAt->second < *earliest) earliest = sentAt->second;
  }
  return earliest;
}

}  // namespace kestrelhoist
