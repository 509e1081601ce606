/// \file
/// Declares the log of the latest time, for each zone, at which any controller may have
/// acknowledged a heartbeat from that zone.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/runtime.hpp"
#include "config/platform.hpp"

namespace kestrelhoist {

/// Holds the ages of acknowledged heartbeats that one controller sends to its peers in each status.
/// Its size grows with the number of zones, not with the number of machines.
struct ZoneAckReport {
  /// Holds how long the sender's process has been running. The sender has no record of
  /// acknowledgements that it made before this process started.
  Duration uptime{};
  /// Maps each zone to the age of the newest acknowledgement that the sender has a record of. All
  /// acknowledgements of the sender itself are included.
  std::map<ZoneId, Duration> knownAges;
  /// Maps each zone to an age such that the sender can rule out any more recent acknowledgement by
  /// any controller. Zones without such an age are omitted.
  std::map<ZoneId, Duration> boundAges;
};

/// Encodes the report for a status message.
Json toJson(const ZoneAckReport& report);
/// Decodes a report. The result is empty if any part is missing, has the wrong type, is negative or
/// names a zone that is not in `zones`. A report is never accepted in part.
std::optional<ZoneAckReport> zoneAckReportFrom(const Json& v, const std::vector<ZoneId>& zones);

/// Combines the acknowledged heartbeats of this controller with those that its peers report.
///
/// When a leader stops, its in-memory state of the workers is lost. The workers of a partitioned
/// zone cannot reach any other controller, so a new leader uses this log to determine when their
/// leases have expired. The times decide when a machine's termination is requested, but never
/// whether a task counts as ended.
///
/// A reported time may be later than the true one, but never earlier: a status that was delayed
/// yields a later time, and a zone is omitted while an unreachable controller may be acknowledging
/// its heartbeats. The class reads no clock. All times are passed in and are of the local steady
/// clock.
class ZoneAckLog {
 public:
  /// Creates a log without any record of acknowledgements made before `startedAt`.
  ZoneAckLog(const Platform& platform, Instant startedAt);

  /// Records that this controller acknowledged a heartbeat from the zone that arrived at
  /// `receivedAt`. Returns whether the caller should announce the new status to the peers
  /// immediately. That is so if the previous acknowledgement of the zone is old: if this controller
  /// stopped before its next regular status, the peers would assume no newer acknowledgement.
  bool onAcknowledged(const ZoneId& zone, Instant receivedAt);
  /// Records a peer's response, received at `receivedAt`, to a status request that was sent at
  /// `requestSentAt`. `report` is empty if the peer's version does not send one.
  void onPeerAnswer(const MemberId& peer, Instant requestSentAt, Instant receivedAt,
                    const std::optional<ZoneAckReport>& report);
  /// Records a report that a peer sent on its own initiative. Its delay in transit is unknown, so
  /// it does not show until when the peer's acknowledgements are included.
  void onPeerAnnouncement(Instant receivedAt, const ZoneAckReport& report);
  /// Records that a peer refused a connection, so that its process has most likely exited.
  void onPeerRefused(const MemberId& peer, Instant at);

  /// Returns, for each zone, an instant after which no controller acknowledged a heartbeat from
  /// that zone. A zone without such a bound is omitted. `mayBeAlive` returns whether an unreachable
  /// peer may still be running.
  [[nodiscard]] std::map<ZoneId, Instant> bounds(
      Instant now, const std::function<bool(const MemberId&)>& mayBeAlive) const;
  /// Returns the report that this controller sends to its peers.
  [[nodiscard]] ZoneAckReport report(Instant now,
                                     const std::function<bool(const MemberId&)>& mayBeAlive) const;

 private:
  struct PeerView {
    ZoneId zone;
    /// Holds the time up to which all acknowledgements of the peer are included in `newest_`. It is
    /// empty until the peer's first report.
    std::optional<Instant> coveredUpTo;
    /// Holds the time at which the peer first refused a connection after its last response. It is
    /// empty if the peer has refused none since.
    std::optional<Instant> refusedAt;
  };
  void raiseNewest(const ZoneId& zone, Instant at);
  void addUnreportedAcks(const PeerView& view, Instant endedAt);
  bool coversPeer(const PeerView& view, const MemberId& peer, const ZoneId& zone, Instant now,
                  const std::function<bool(const MemberId&)>& mayBeAlive) const;
  bool coversAllPeers(const ZoneId& zone, Instant now,
                      const std::function<bool(const MemberId&)>& mayBeAlive) const;

  const Instant startedAt_;
  std::map<MemberId, PeerView> peers_;
  /// Maps each zone to the time of the newest acknowledgement that was recorded, or that cannot be
  /// ruled out, since `startedAt_`.
  std::map<ZoneId, Instant> newest_;
  /// Maps each zone to an upper bound for the times of acknowledgements made before `startedAt_`.
  std::map<ZoneId, Instant> boundBeforeStart_;
};

}  // namespace kestrelhoist
