/// Peer membership: the controllers exchange how each one sees the state service, the workers and
/// the leader. The exchange never decides safety, only which controller should act.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "base/runtime.hpp"
#include "config/platform.hpp"
#include "connectivity/zone_ack_log.hpp"
#include "fleet/lease_log.hpp"

namespace kestrelhoist {

/// The status with which a peer answers for a service or worker that it could not reach. No service
/// or worker answers with it.
inline constexpr int kNotReached = 502;

/// What one controller reports about itself. Ages are as of the moment of sending.
struct PeerStatus {
  MemberId member;
  FencingToken token;  ///< the highest that it knows
  bool leading{};
  Duration storeAge{};    ///< since its own link last reached the state service
  Duration workersAge{};  ///< since the last heartbeat from any worker
  bool ready{};
  bool hasLostWorkers{};       ///< it leads and received heartbeats before, but none lately
  bool supportsForwarding{};   ///< proxies requests for peers and accepts forwarded heartbeats;
                               ///< the previous version did not
  Duration cloudAge{3600000};  ///< since its own link last reached the cloud
  std::int64_t wallMs{};       ///< its time of day when it sent this; 0 if not included
  /// `wallMs` minus the local steady clock, which never steps, at the moment of receipt.
  std::optional<std::int64_t> wallClockOffset = std::nullopt;
  /// The newest revision of any cancellation in its records (CancellationBarrier); empty while its
  /// records are incomplete.
  std::optional<Revision> newestCancellation = std::nullopt;
  /// What it knows of acknowledged heartbeats by zone; empty: its version does not tell, or what it
  /// told is malformed.
  std::optional<ZoneAckReport> zoneAcks = std::nullopt;
  /// Of the leader: leases that end unless an answer arrives; see Fleet::uncertainLeases().
  LeaseObservations uncertainLeases = {};
};

/// `now`: when it is sent.
Json toJson(const PeerStatus& s, Instant now = {});
/// `zones` are those of the settings: a ZoneAckReport that names another is left out. `receivedAt`:
/// when it was received.
std::optional<PeerStatus> peerStatusFrom(const Json& v, const std::vector<ZoneId>& zones = {},
                                         Instant receivedAt = {});

/// Exchanges status with all peers and keeps the newest status of each. Single-threaded.
class PeerMembership {
 public:
  PeerMembership(Runtime& runtime, HttpClient& http, const Platform& platform);

  /// Sends `own()` to every peer at the given interval, from now on.
  void start(std::function<PeerStatus()> own, Duration every);
  Response onStatusRequest(const Request& request);
  /// Sends `own()` to every peer now, besides the regular exchange.
  void announceStatus();
  /// Asks the leader to read the change feed at once.
  void notifyLeader(const MemberId& leader);
  /// Sends a request to a peer's mesh address. An unknown peer yields no response.
  void send(const MemberId& peer, Request request, Duration timeout, OnReply done);
  /// Forwards a user's request to a peer that reaches the state service.
  void forward(const MemberId& peer, const Request& request, Duration timeout, OnReply done);

  /// The newest status of a peer if it was received within the given time, else null.
  const PeerStatus* recentStatus(const MemberId& peer, Duration within) const;
  /// Whether any peer's status was received within the given time.
  bool anyReachable(Duration within) const;
  /// Of the peers with a recent status that claims the leadership, the one with the highest token,
  /// or null.
  const PeerStatus* newestLeader(Duration within) const;
  /// Whether the peer may be running although it is unreachable from here. A peer that refused a
  /// connection since its last status has most likely ended, and can do nothing until it has read
  /// the records. A process that ends is restarted soon, however, so refusals over a long time come
  /// from a packet filter between the two controllers.
  bool mayBeAlive(const MemberId& peer) const;
  /// A peer that has reached the state service since `failing`, when requests began to fail here. A
  /// peer that reached it only before that may be in the same outage.
  std::optional<MemberId> peerReachingStore(Instant failing) const;
  const std::map<MemberId, std::pair<PeerStatus, Instant>>& statuses() const { return statuses_; }

  /// Called with each peer's answer to a status request that was sent at `asked`.
  std::function<void(const PeerStatus&, Instant asked)> onAnswer;
  /// Called with each status that a peer sent unasked.
  std::function<void(const PeerStatus&)> onAnnouncement;
  /// Called when a peer refuses a connection.
  std::function<void(const MemberId&)> onRefused;

 private:
  void exchangeStatus();
  void sendStatus(const Peer& peer, OnReply done);
  void onExchanged(const MemberId& peer, Instant asked, const std::optional<Response>& response);
  std::optional<PeerStatus> recordStatus(const Json& body);
  void logMalformedZoneAcks(const Json& body, const PeerStatus& status);
  Runtime& runtime_;
  HttpClient& http_;
  std::vector<Peer> peers_;
  std::vector<ZoneId> zones_;
  std::set<MemberId> toldMalformedZoneAcks_;
  std::map<MemberId, std::pair<PeerStatus, Instant>> statuses_;
  std::map<MemberId, bool> exchangeUnderWay_;
  struct Refusals {
    Instant first, last;
  };
  std::map<MemberId, Refusals> refusals_;  ///< since the peer's last status
  std::function<PeerStatus()> own_;
  Duration every_{1000};
};

}  // namespace kestrelhoist
