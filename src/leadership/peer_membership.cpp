#include "leadership/peer_membership.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
// A peer's successful read may have been sent slightly before the first failed read of this
// controller, so a peer must have reached the state service at least this long after that failure.
constexpr Duration kInFlightMargin{300};
// A request that fails within this time was refused by the peer's host. It did not time out.
constexpr Duration kMaxRefusalDelay{200};
constexpr Duration kUnknownCloudAge{3600000};
// Refusals that last longer than this do not come from a restart of the peer.
constexpr Duration kMaxRestartDuration{10000};
constexpr Duration kStatusTimeout{1000};
constexpr const char* kStatusPath = "/mesh/hello";
constexpr const char* kZoneAcksField = "zone_acks";
constexpr const char* kUncertainLeasesField = "uncertain_leases";
}  // namespace

Json toJson(const PeerStatus& s, Instant now) {
  Json v = {{"member", s.member.value},
            {"token", s.token.value},
            {"leading", s.leading},
            {"store_age_ms", s.storeAge.count()},
            {"cloud_age_ms", s.cloudAge.count()},
            {"workers_age_ms", s.workersAge.count()},
            {"ready", s.ready},
            {"deaf", s.hasLostWorkers},
            {"relays", s.supportsForwarding},
            {"wall_ms", s.wallMs}};
  if (s.newestCancellation) v["cancelled_at"] = s.newestCancellation->value;
  if (s.zoneAcks) v[kZoneAcksField] = toJson(*s.zoneAcks);
  if (!s.uncertainLeases.empty()) v[kUncertainLeasesField] = toJson(s.uncertainLeases, now);
  return v;
}

std::optional<PeerStatus> peerStatusFrom(const Json& v, const std::vector<ZoneId>& zones,
                                         Instant receivedAt) {
  auto member = textField(v, "member");
  auto token = countField(v, "token");
  auto leading = boolField(v, "leading");
  auto store = countField(v, "store_age_ms");
  auto workers = countField(v, "workers_age_ms");
  if (!member || !token || !leading || !store || !workers) return std::nullopt;
  auto cancelled = countField(v, "cancelled_at");
  auto wall = static_cast<std::int64_t>(countField(v, "wall_ms").value_or(0));
  const Json* zoneAcks = field(v, kZoneAcksField);
  const Json* leases = field(v, kUncertainLeasesField);
  return PeerStatus{MemberId{*member},
                    FencingToken{*token},
                    *leading,
                    Duration{static_cast<std::int64_t>(*store)},
                    Duration{static_cast<std::int64_t>(*workers)},
                    boolField(v, "ready").value_or(false),
                    boolField(v, "deaf").value_or(false),
                    boolField(v, "relays").value_or(false),
                    Duration{static_cast<std::int64_t>(
                        countField(v, "cloud_age_ms").value_or(kUnknownCloudAge.count()))},
                    wall,
                    std::nullopt,
                    cancelled ? std::optional(Revision{*cancelled}) : std::nullopt,
                    zoneAcks ? zoneAckReportFrom(*zoneAcks, zones) : std::nullopt,
                    leases ? leaseObservationsFromJson(*leases, receivedAt) : LeaseObservations{}};
}

PeerMembership::PeerMembership(Runtime& runtime, HttpClient& http, const Platform& platform)
    : runtime_(runtime), http_(http), peers_(platform.peers), zones_(platform.zones) {}

void PeerMembership::start(std::function<PeerStatus()> own, Duration every) {
  ownStatus_ = std::move(own);
  exchangeInterval_ = every;
  exchangeStatus();
}

void PeerMembership::exchangeStatus() {
  for (const auto& peer : peers_) {
    if (exchangePending_[peer.member]) continue;  // The last request is still pending.
    exchangePending_[peer.member] = true;
    sendStatus(peer, [this, member = peer.member,
                      sentAt = runtime_.now()](const std::optional<Response>& r) {
      exchangePending_[member] = false;
      onExchanged(member, sentAt, r);
    });
  }
  runtime_.after(exchangeInterval_, [this] { exchangeStatus(); });
}

void PeerMembership::announceStatus() {
  if (!ownStatus_) return;
  for (const auto& peer : peers_) {
    sendStatus(peer, [](const std::optional<Response>&) {});
  }
}

void PeerMembership::sendStatus(const Peer& peer, OnReply done) {
  http_.send(peer.address, {"POST", kStatusPath, encodeBody(toJson(ownStatus_(), runtime_.now()))},
             kStatusTimeout, std::move(done));
}

void PeerMembership::onExchanged(const MemberId& peer, Instant sentAt,
                                 const std::optional<Response>& response) {
  // A request over a partitioned link times out. Only a refused connection fails immediately.
  Instant now = runtime_.now();
  if (!response && now - sentAt < kMaxRefusalDelay) {
    refusals_.try_emplace(peer, Refusals{now, now}).first->second.last = now;
    if (onRefused) onRefused(peer);
  }
  if (!response || response->status != 200) return;
  auto body = decodeBody(response->body, kInternalLimits);
  auto s = body ? recordStatus(*body) : std::nullopt;
  if (s && s->member == peer && onAnswer) onAnswer(*s, sentAt);
}

std::optional<PeerStatus> PeerMembership::recordStatus(const Json& body) {
  auto s = peerStatusFrom(body, zones_, runtime_.now());
  if (!s) return s;
  for (const auto& peer : peers_) {
    if (peer.member != s->member) continue;
    // Older versions do not send their time of day.
    if (s->wallMs > 0) s->wallClockOffset = s->wallMs - runtime_.now().ms;
    statuses_[s->member] = {*s, runtime_.now()};
    refusals_.erase(s->member);
    logMalformedZoneAcks(body, *s);
  }
  return s;
}

void PeerMembership::logMalformedZoneAcks(const Json& body, const PeerStatus& status) {
  if (status.zoneAcks || !field(body, kZoneAcksField)) return;
  if (!loggedMalformedZoneAcks_.insert(status.member).second) return;
  logInfo("peer status has malformed zone acknowledgements; ignoring them", "peer", status.member);
}

Response PeerMembership::onStatusRequest(const Request& request) {
  auto body = decodeBody(request.body, kInternalLimits);
  if (!body) return jsonResponse(400, {{"error", "not CBOR"}});
  auto status = recordStatus(*body);
  if (status && onAnnouncement) onAnnouncement(*status);
  return jsonResponse(200, toJson(ownStatus_(), runtime_.now()));
}

void PeerMembership::notifyLeader(const MemberId& leader) {
  for (const auto& peer : peers_) {
    if (peer.member != leader) continue;
    http_.send(peer.address, {"POST", "/mesh/nudge", encodeBody(Json::object())}, Duration{1000},
               [](const std::optional<Response>&) {});
  }
}

void PeerMembership::send(const MemberId& member, Request request, Duration timeout, OnReply done) {
  for (const auto& peer : peers_) {
    if (peer.member != member) continue;
    http_.send(peer.address, std::move(request), timeout, std::move(done));
    return;
  }
  done(std::nullopt);
}

void PeerMembership::forward(const MemberId& member, const Request& request, Duration timeout,
                             OnReply done) {
  Request passed = request;
  passed.path = "/mesh/user" + request.path;
  send(member, std::move(passed), timeout, std::move(done));
}

const PeerStatus* PeerMembership::recentStatus(const MemberId& peer, Duration within) const {
  auto it = statuses_.find(peer);
  if (it == statuses_.end() || runtime_.now() - it->second.second > within) return nullptr;
  return &it->second.first;
}

bool PeerMembership::anyReachable(Duration within) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    return recentStatus(peer.member, within) != nullptr;
  });
}

const PeerStatus* PeerMembership::newestLeader(Duration within) const {
  const PeerStatus* newest = nullptr;
  for (const auto& peer : peers_) {
    const auto* status = recentStatus(peer.member, within);
    if (!status || !status->leading) continue;
    if (!newest || status->token >= newest->token) newest = status;
  }
  return newest;
}

bool PeerMembership::mayBeAlive(const MemberId& peer) const {
  auto refused = refusals_.find(peer);
  return refused == refusals_.end() ||
         refused->second.last - refused->second.first > kMaxRestartDuration;
}

std::optional<MemberId> PeerMembership::peerReachingStore(Instant failingSince) const {
  for (const auto& peer : peers_) {
    auto it = statuses_.find(peer.member);
    if (it == statuses_.end()) continue;
    const auto& [seen, receivedAt] = it->second;
    bool current = runtime_.now() - receivedAt < Duration{1500};
    if (current && seen.ready && receivedAt - seen.storeAge > failingSince + kInFlightMargin) {
      return peer.member;
    }
  }
  return std::nullopt;
}

}  // namespace kestrelhoist
