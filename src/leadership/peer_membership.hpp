/// \file
/// Declares the exchange of statuses between controllers. A status says how recently its sender
/// reached the state service, the cloud and the workers, and whether it leads. The exchange only
/// influences which controller should act. Safety never depends on it.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "base/runtime.hpp"
#include "config/platform.hpp"
#include "connectivity/zone_ack_log.hpp"
#include "fleet/lease_log.hpp"

namespace kestrelhoist {

/// Holds the HTTP status code with which a peer responds if it could not reach the requested
/// service or worker. No service or worker responds with this code itself.
inline constexpr int kNotReached = 502;

/// Holds the status that one controller sends to its peers. All ages are as of the time of sending.
struct PeerStatus {
  MemberId member;
  FencingToken token;  ///< Holds the highest token that the sender has seen.
  bool leading{};
  /// Holds the time since the sender last reached the state service over its own link.
  Duration storeAge{};
  /// Holds the time since the sender last received a heartbeat from any worker.
  Duration workersAge{};
  bool ready{};
  /// Is true if the sender leads and has received heartbeats before, but none recently.
  bool hasLostWorkers{};
  /// Is true if the sender proxies requests for peers and accepts forwarded heartbeats. The
  /// previous version did neither.
  bool supportsForwarding{};
  /// Holds the time since the sender last reached the cloud over its own link.
  Duration cloudAge{3600000};
  /// Holds the sender's time of day when it sent the status, or 0 if the status does not include
  /// it.
  std::int64_t wallMs{};
  /// Holds `wallMs` minus the local steady clock at the time of receipt. The steady clock
  /// never jumps.
  std::optional<std::int64_t> wallClockOffset = std::nullopt;
  /// Holds the newest revision of any cancellation in the sender's records (see
  /// CancellationBarrier). It is empty while those records are incomplete.
  std::optional<Revision> newestCancellation = std::nullopt;
  /// Lists the ages of acknowledged heartbeats by zone. It is empty if the sender's version does
  /// not send them or if they are malformed.
  std::optional<ZoneAckReport> zoneAcks = std::nullopt;
  /// Lists the worker leases that expire soon unless the worker receives a response. Only the
  /// leader sends them (see Fleet::uncertainLeases()).
  LeaseObservations uncertainLeases = {};
};

/// Encodes a status that is sent at `now`.
Json toJson(const PeerStatus& s, Instant now = {});
/// Decodes a status that was received at `receivedAt`. A ZoneAckReport that names a zone other than
/// the configured `zones` is left out.
std::optional<PeerStatus> peerStatusFrom(const Json& v, const std::vector<ZoneId>& zones = {},
                                         Instant receivedAt = {});

/// Exchanges statuses with all peers and keeps the newest status of each. The class is not
/// thread-safe.
class PeerMembership {
 public:
  PeerMembership(Runtime& runtime, HttpClient& http, const Platform& platform);

  /// Sends the result of `own()` to every peer immediately and then once per interval `every`.
  void start(std::function<PeerStatus()> own, Duration every);
  Response onStatusRequest(const Request& request);
  /// Sends this controller's status to every peer now, in addition to the regular exchange.
  void announceStatus();
  /// Asks the leader to read the change feed immediately.
  void notifyLeader(const MemberId& leader);
  /// Sends a request to a peer's mesh address. If the peer is not configured, `done` is called
  /// without a response.
  void send(const MemberId& peer, Request request, Duration timeout, OnReply done);
  /// Forwards a user's request to a peer that reaches the state service.
  void forward(const MemberId& peer, const Request& request, Duration timeout, OnReply done);

  /// Returns the newest status of a peer, or null if it is older than `within`.
  const PeerStatus* recentStatus(const MemberId& peer, Duration within) const;
  /// Returns whether any peer's status was received in the last `within`.
  bool anyReachable(Duration within) const;
  /// Returns the status with the highest token among the statuses that claim the leadership and are
  /// no older than `within`, or null if there is none.
  const PeerStatus* newestLeader(Duration within) const;
  /// Returns whether the peer may be running although this controller cannot reach it. A peer that
  /// has refused a connection since its last status has most likely exited, and after a restart it
  /// takes no action until it has read the records. An exited process is restarted soon, however,
  /// so refusals over a long time come from a packet filter between the two controllers.
  bool mayBeAlive(const MemberId& peer) const;
  /// Returns a peer that has reached the state service after `failingSince`, the time at which
  /// requests of this controller began to fail. A peer that last reached it before that time may be
  /// affected by the same outage.
  std::optional<MemberId> peerReachingStore(Instant failingSince) const;
  const std::map<MemberId, std::pair<PeerStatus, Instant>>& statuses() const { return statuses_; }

  /// Is called with each peer's response to a status request and the time at which the request was
  /// sent.
  std::function<void(const PeerStatus&, Instant sentAt)> onAnswer;
  /// Is called with each status that a peer sent on its own initiative.
  std::function<void(const PeerStatus&)> onAnnouncement;
  /// Is called when a peer refuses a connection.
  std::function<void(const MemberId&)> onRefused;

 private:
  void exchangeStatus();
  void sendStatus(const Peer& peer, OnReply done);
  void onExchanged(const MemberId& peer, Instant sentAt, const std::optional<Response>& response);
  std::optional<PeerStatus> recordStatus(const Json& body);
  void logMalformedZoneAcks(const Json& body, const PeerStatus& status);
  Runtime& runtime_;
  HttpClient& http_;
  std::vector<Peer> peers_;
  std::vector<ZoneId> zones_;
  std::set<MemberId> loggedMalformedZoneAcks_;
  std::map<MemberId, std::pair<PeerStatus, Instant>> statuses_;
  std::map<MemberId, bool> exchangePending_;
  struct Refusals {
    Instant first, last;
  };
  /// Holds the first and last connection refusal of each peer since its last status.
  std::map<MemberId, Refusals> refusals_;
  std::function<PeerStatus()> ownStatus_;
  Duration exchangeInterval_{1000};
};

}  // namespace kestrelhoist
