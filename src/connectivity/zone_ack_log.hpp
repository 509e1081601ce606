/// \file
/// Remembers, for each zone, until when any controller may have acknowledged a heartbeat from
/// there.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/runtime.hpp"
#include "config/platform.hpp"

namespace kestrelhoist {

/// What one controller tells its peers with each status. Its size grows with the number of zones,
/// not with the number of machines.
struct ZoneAckReport {
  /// How long the sender's process has been running: it knows of no earlier acknowledgement by
  /// itself.
  Duration uptime{};
  /// Per zone, the time since the newest acknowledgement that the sender knows of. All its own are
  /// included.
  std::map<ZoneId, Duration> knownAges;
  /// Per zone, the time since which the sender rules out that any controller acknowledged a
  /// heartbeat. Zones of which it can't are missing.
  std::map<ZoneId, Duration> boundAges;
};

/// The form in which peers are told.
Json toJson(const ZoneAckReport& report);
/// Empty if anything is missing, of the wrong type or negative, or names a zone that is not in
/// `zones`: such a report counts as a whole or not at all.
std::optional<ZoneAckReport> zoneAckReportFrom(const Json& v, const std::vector<ZoneId>& zones);

/// The acknowledgements of all controllers, as far as one of them knows.
///
/// A leader that ends takes along what it knew of the workers. Those of a zone that is cut off can
/// be heard by no other controller, so a new leader learns here when their leases are over. The
/// times decide when a machine's release is requested, never whether a task counts as ended.
///
/// Every error is towards later: an age that was under way for long yields a later time, and a zone
/// is left out while a controller that cannot be asked may be acknowledging its heartbeats. Pure:
/// all times are passed in, in local steady time.
class ZoneAckLog {
 public:
  /// `startedAt`: nothing is known of what controllers acknowledged before.
  ZoneAckLog(const Platform& platform, Instant startedAt);

  /// This controller acknowledged a heartbeat from the zone that arrived at `receivedAt`. Returns
  /// whether the one before is so old that peers should be told at once: they would take the zone
  /// for silent since then if this controller ended before its next status.
  bool onAcknowledged(const ZoneId& zone, Instant receivedAt);
  /// A peer answered a request that was sent at `askedAt`; empty: it reports nothing, as the
  /// previous version does.
  void onPeerAnswer(const MemberId& peer, Instant askedAt, Instant receivedAt,
                    const std::optional<ZoneAckReport>& report);
  /// A peer's report came unasked, so it may have been under way for any time.
  void onPeerAnnouncement(Instant receivedAt, const ZoneAckReport& report);
  /// A peer refused a connection: its process has most likely ended.
  void onPeerRefused(const MemberId& peer, Instant at);

  /// Per zone, an instant after which no controller acknowledged a heartbeat from there. A zone is
  /// missing if that is not known. `mayBeAlive` tells whether a peer that cannot be asked may be
  /// running.
  [[nodiscard]] std::map<ZoneId, Instant> bounds(
      Instant now, const std::function<bool(const MemberId&)>& mayBeAlive) const;
  /// What peers are told.
  [[nodiscard]] ZoneAckReport report(Instant now,
                                     const std::function<bool(const MemberId&)>& mayBeAlive) const;

 private:
  struct PeerView {
    ZoneId zone;
    std::optional<Instant> knownUpTo;  ///< all that it acknowledged until then is included
    std::optional<Instant> endedAt;    ///< it refused a connection since
  };
  void raise(const ZoneId& zone, Instant at);
  void addUntold(const PeerView& view, Instant endedAt);
  bool coversPeer(const PeerView& view, const MemberId& peer, const ZoneId& zone, Instant now,
                  const std::function<bool(const MemberId&)>& mayBeAlive) const;
  bool coversAllPeers(const ZoneId& zone, Instant now,
                      const std::function<bool(const MemberId&)>& mayBeAlive) const;

  const Instant startedAt_;
  std::map<MemberId, PeerView> peers_;
  /// Per zone, the newest acknowledgement that is known or cannot be ruled out since `startedAt_`.
  std::map<ZoneId, Instant> newest_;
  /// Per zone, a bound on what was acknowledged before `startedAt_`.
  std::map<ZoneId, Instant> beforeStart_;
};

}  // namespace kestrelhoist
