#include "connectivity/zone_ack_log.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

constexpr const char* kUptimeField = "uptime_ms";
constexpr const char* kKnownField = "known_ms";
constexpr const char* kBoundField = "bound_ms";

// A peer that responded to a status request sent this recently is assumed to be running and to
// report its acknowledgements.
constexpr Duration kMaxResponseAge{2000};
// An acknowledgement is announced immediately if it comes this long after the previous one of its
// zone, so that the peers always have the newest acknowledgement of each zone to this accuracy. The
// heartbeats of a zone with many machines never have such a gap.
constexpr Duration kAnnouncementGap{2000};
// Every responding peer notices within this time that this process is new. The bounds that peers
// report are used only after it, since earlier ones may not include all acknowledgements of this
// controller's previous process.
constexpr Duration kRestartNoticeDelay{2000};

Json agesToJson(const std::map<ZoneId, Duration>& ages) {
  Json out = Json::object();
  for (const auto& [zone, age] : ages) out[zone.value] = std::max<std::int64_t>(0, age.count());
  return out;
}

std::optional<Duration> ageFrom(const Json& v) {
  constexpr std::int64_t kMaxAgeMs = std::int64_t{1} << 53;
  if (!v.is_number_integer()) return std::nullopt;
  if (v.is_number_unsigned() && v.get<std::uint64_t>() > kMaxAgeMs) return std::nullopt;
  const auto age = v.get<std::int64_t>();
  if (age < 0) return std::nullopt;
  return Duration{age};
}

std::optional<std::map<ZoneId, Duration>> agesFrom(const Json* v,
                                                   const std::vector<ZoneId>& zones) {
  if (!v || !v->is_object() || v->size() > zones.size()) return std::nullopt;
  std::map<ZoneId, Duration> ages;
  for (const auto& [name, value] : v->items()) {
    const ZoneId zone{name};
    auto age = ageFrom(value);
    if (!age || std::find(zones.begin(), zones.end(), zone) == zones.end()) return std::nullopt;
    ages[zone] = *age;
  }
  return ages;
}

}  // namespace

Json toJson(const ZoneAckReport& report) {
  return {{kUptimeField, report.uptime.count()},
          {kKnownField, agesToJson(report.knownAges)},
          {kBoundField, agesToJson(report.boundAges)}};
}

std::optional<ZoneAckReport> zoneAckReportFrom(const Json& v, const std::vector<ZoneId>& zones) {
  const Json* uptime = field(v, kUptimeField);
  auto up = uptime ? ageFrom(*uptime) : std::nullopt;
  auto known = agesFrom(field(v, kKnownField), zones);
  auto bound = agesFrom(field(v, kBoundField), zones);
  if (!up || !known || !bound) return std::nullopt;
  return ZoneAckReport{*up, std::move(*known), std::move(*bound)};
}

ZoneAckLog::ZoneAckLog(const Platform& platform, Instant startedAt) : startedAt_(startedAt) {
  for (const auto& peer : platform.peers) {
    peers_[peer.member] = {peer.zone, std::nullopt, std::nullopt};
  }
  for (const auto& zone : platform.zones) boundBeforeStart_[zone] = startedAt;
}

void ZoneAckLog::raiseNewest(const ZoneId& zone, Instant at) {
  auto [entry, isNew] = newest_.try_emplace(zone, at);
  if (!isNew) entry->second = std::max(entry->second, at);
}

bool ZoneAckLog::onAcknowledged(const ZoneId& zone, Instant receivedAt) {
  if (!boundBeforeStart_.contains(zone))
    return false;  // The zone is not configured, so peers would reject it.
  auto before = newest_.find(zone);
  const bool wasSilent = before == newest_.end() || receivedAt - before->second > kAnnouncementGap;
  raiseNewest(zone, receivedAt);
  return wasSilent;
}

void ZoneAckLog::onPeerAnswer(const MemberId& peer, Instant requestSentAt, Instant receivedAt,
                              const std::optional<ZoneAckReport>& report) {
  auto entry = peers_.find(peer);
  if (entry == peers_.end() || !report) return;
  PeerView& view = entry->second;
  const Instant peerStartedAt = receivedAt - report->uptime;
  if (view.coveredUpTo && peerStartedAt > *view.coveredUpTo) {
    addUnreportedAcks(view, std::min(peerStartedAt, view.refusedAt.value_or(peerStartedAt)));
  }
  view.refusedAt.reset();
  view.coveredUpTo = std::max(requestSentAt, view.coveredUpTo.value_or(requestSentAt));
  onPeerAnnouncement(receivedAt, *report);
  if (requestSentAt < startedAt_ + kRestartNoticeDelay) return;
  for (const auto& [zone, age] : report->boundAges) {
    boundBeforeStart_[zone] = std::min(boundBeforeStart_[zone], receivedAt - age);
  }
}

void ZoneAckLog::onPeerAnnouncement(Instant receivedAt, const ZoneAckReport& report) {
  for (const auto& [zone, age] : report.knownAges) raiseNewest(zone, receivedAt - age);
}

void ZoneAckLog::onPeerRefused(const MemberId& peer, Instant at) {
  auto entry = peers_.find(peer);
  if (entry == peers_.end() || entry->second.refusedAt) return;
  addUnreportedAcks(entry->second, at);
  entry->second.refusedAt = at;
}

// Accounts for the heartbeats that a stopped peer may have acknowledged between its last response
// and its end. A zone without a recent acknowledgement at the last response is excluded, because
// the peer would have announced the next one immediately. If the last response is old, no zone is
// excluded.
void ZoneAckLog::addUnreportedAcks(const PeerView& view, Instant endedAt) {
  if (!view.coveredUpTo) return;
  const bool isResponseOld = endedAt - *view.coveredUpTo > kMaxResponseAge;
  for (const auto& entry : boundBeforeStart_) {
    const ZoneId& zone = entry.first;
    auto newest = newest_.find(zone);
    const bool wasRecent =
        newest != newest_.end() && *view.coveredUpTo - newest->second <= kAnnouncementGap;
    if (isResponseOld || wasRecent) raiseNewest(zone, endedAt);
  }
}

// Returns whether all acknowledgements of the peer for this zone are included. A controller in a
// partitioned zone can keep acknowledging heartbeats of that zone, so a refused connection does not
// show that a peer in the same zone has exited.
bool ZoneAckLog::coversPeer(const PeerView& view, const MemberId& peer, const ZoneId& zone,
                            Instant now,
                            const std::function<bool(const MemberId&)>& mayBeAlive) const {
  if (!view.coveredUpTo) return false;
  if (view.refusedAt) return view.zone != zone && !mayBeAlive(peer);
  return now - *view.coveredUpTo <= kMaxResponseAge;
}

bool ZoneAckLog::coversAllPeers(const ZoneId& zone, Instant now,
                                const std::function<bool(const MemberId&)>& mayBeAlive) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return coversPeer(entry.second, entry.first, zone, now, mayBeAlive);
  });
}

std::map<ZoneId, Instant> ZoneAckLog::bounds(
    Instant now, const std::function<bool(const MemberId&)>& mayBeAlive) const {
  std::map<ZoneId, Instant> out;
  for (const auto& [zone, before] : boundBeforeStart_) {
    if (!coversAllPeers(zone, now, mayBeAlive)) continue;
    auto newest = newest_.find(zone);
    out[zone] = newest == newest_.end() ? before : std::max(before, newest->second);
  }
  return out;
}

ZoneAckReport ZoneAckLog::report(Instant now,
                                 const std::function<bool(const MemberId&)>& mayBeAlive) const {
  ZoneAckReport out;
  out.uptime = now - startedAt_;
  for (const auto& [zone, at] : newest_) out.knownAges[zone] = std::max(Duration{0}, now - at);
  for (const auto& [zone, at] : bounds(now, mayBeAlive)) {
    out.boundAges[zone] = std::max(Duration{0}, now - at);
  }
  return out;
}

}  // namespace kestrelhoist
