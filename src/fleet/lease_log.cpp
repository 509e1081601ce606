#include "fleet/lease_log.hpp"

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr const char* kWorkerEpochField = "worker_epoch";
constexpr const char* kSequenceField = "sequence";
constexpr const char* kReceivedByField = "received_by";
constexpr const char* kReceivedField = "received_ms_ago";
constexpr const char* kRenewedField = "renewed_ms_ago";
constexpr Duration kLongestAge{10 * 60 * 1000};

std::optional<Instant> instantFrom(const Json& v, const char* name, Instant receivedAt) {
  auto age = countField(v, name);
  if (!age || *age > static_cast<std::uint64_t>(kLongestAge.count())) return std::nullopt;
  return receivedAt - Duration{static_cast<std::int64_t>(*age)};
}

std::optional<LeaseSighting> sightingFrom(const Json& v, Instant receivedAt) {
  if (!v.is_object()) return std::nullopt;
  auto workerEpoch = countField(v, kWorkerEpochField);
  auto sequence = countField(v, kSequenceField);
  auto receivedBy = textField(v, kReceivedByField);
  auto at = instantFrom(v, kReceivedField, receivedAt);
  if (!workerEpoch || *workerEpoch == 0 || !sequence || !receivedBy || !at) return std::nullopt;
  auto renewedAt = instantFrom(v, kRenewedField, receivedAt);
  if (renewedAt && *renewedAt > *at) return std::nullopt;
  return LeaseSighting{
      {WorkerEpoch{*workerEpoch}, ReportSequence{*sequence}, MemberId{*receivedBy}, *at},
      renewedAt};
}

}  // namespace

LeaseTerms leaseTermsOf(const Platform& platform) {
  return {platform.workerLease, platform.reportEvery, platform.controllerCount()};
}

LeaseLog::LeaseLog(const Platform& platform)
    : self_(platform.member), terms_(leaseTermsOf(platform)) {}

void LeaseLog::onHeartbeat(const Report& report, Instant now) {
  leases_[report.machine].onHeartbeat({report.workerEpoch, report.sequence, self_, now}, terms_);
}

void LeaseLog::adopt(const LeaseSightings& sightings) {
  for (const auto& [machine, sighting] : sightings) leases_[machine].adopt(sighting, terms_);
}

// A lease runs from the newest heartbeat at the latest, and its end shows in the next one at worst.
bool LeaseLog::mayMatter(const LeaseSighting& sighting, Instant now) const {
  return now - sighting.newest.at <= terms_.lease + kWorkerRetryAfterLostAnswer;
}

void LeaseLog::expire(Instant now) {
  std::erase_if(leases_, [&](const auto& entry) {
    auto sighting = entry.second.sighting();
    return !sighting || !mayMatter(*sighting, now);
  });
}

LeaseSightings LeaseLog::sightings(Instant now) const {
  LeaseSightings out;
  for (const auto& [machine, lease] : leases_) {
    auto sighting = lease.sighting();
    if (sighting && mayMatter(*sighting, now)) out.emplace(machine, *sighting);
  }
  return out;
}

Json toJson(const LeaseSightings& sightings, Instant now) {
  Json out = Json::object();
  for (const auto& [machine, sighting] : sightings) {
    const HeartbeatArrival& newest = sighting.newest;
    Json entry = {{kWorkerEpochField, newest.workerEpoch.value},
                  {kSequenceField, newest.sequence.value},
                  {kReceivedByField, newest.receivedBy.value},
                  {kReceivedField, (now - newest.at).count()}};
    if (sighting.renewedAt) entry[kRenewedField] = (now - *sighting.renewedAt).count();
    out[machine.value] = std::move(entry);
  }
  return out;
}

LeaseSightings leaseSightingsFrom(const Json& v, Instant receivedAt) {
  LeaseSightings out;
  if (!v.is_object()) return out;
  for (const auto& [machine, entry] : v.items()) {
    if (auto sighting = sightingFrom(entry, receivedAt)) {
      out.emplace(MachineId{machine}, *sighting);
    }
  }
  return out;
}

}  // namespace kestrelhoist
