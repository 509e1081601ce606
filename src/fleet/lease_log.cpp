#include "fleet/lease_log.hpp"

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr const char* kWorkerEpochField = "worker_epoch";
constexpr const char* kSequenceField = "sequence";
constexpr const char* kReceivedByField = "received_by";
constexpr const char* kReceivedField = "received_ms_ago";
constexpr const char* kRenewedField = "renewed_ms_ago";
constexpr Duration kMaxAge{10 * 60 * 1000};

std::optional<Instant> instantFrom(const Json& v, const char* name, Instant receivedAt) {
  auto age = countField(v, name);
  if (!age || *age > static_cast<std::uint64_t>(kMaxAge.count())) return std::nullopt;
  return receivedAt - Duration{static_cast<std::int64_t>(*age)};
}

std::optional<LeaseObservation> observationFromJson(const Json& v, Instant receivedAt) {
  if (!v.is_object()) return std::nullopt;
  auto workerEpoch = countField(v, kWorkerEpochField);
  auto sequence = countField(v, kSequenceField);
  auto receivedBy = textField(v, kReceivedByField);
  auto at = instantFrom(v, kReceivedField, receivedAt);
  if (!workerEpoch || *workerEpoch == 0 || !sequence || !receivedBy || !at) return std::nullopt;
  auto renewedAt = instantFrom(v, kRenewedField, receivedAt);
  if (renewedAt && *renewedAt > *at) return std::nullopt;
  return LeaseObservation{
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

void LeaseLog::adopt(const LeaseObservations& observations) {
  for (const auto& [machine, observation] : observations)
    leases_[machine].adopt(observation, terms_);
}

// Returns whether the observation may still matter. A lease counts from the newest heartbeat at the
// latest, and the next heartbeat, which may be a retry after a lost answer, shows whether the lease
// expired.
bool LeaseLog::mayBeUnexpired(const LeaseObservation& observation, Instant now) const {
  return now - observation.newest.at <= terms_.lease + kWorkerRetryAfterLostAnswer;
}

void LeaseLog::expire(Instant now) {
  std::erase_if(leases_, [&](const auto& entry) {
    auto observation = entry.second.observation();
    return !observation || !mayBeUnexpired(*observation, now);
  });
}

LeaseObservations LeaseLog::observations(Instant now) const {
  LeaseObservations out;
  for (const auto& [machine, lease] : leases_) {
    auto observation = lease.observation();
    if (observation && mayBeUnexpired(*observation, now)) out.emplace(machine, *observation);
  }
  return out;
}

Json toJson(const LeaseObservations& observations, Instant now) {
  Json out = Json::object();
  for (const auto& [machine, observation] : observations) {
    const HeartbeatArrival& newest = observation.newest;
    Json entry = {{kWorkerEpochField, newest.workerEpoch.value},
                  {kSequenceField, newest.sequence.value},
                  {kReceivedByField, newest.receivedBy.value},
                  {kReceivedField, (now - newest.at).count()}};
    if (observation.renewedAt) entry[kRenewedField] = (now - *observation.renewedAt).count();
    out[machine.value] = std::move(entry);
  }
  return out;
}

LeaseObservations leaseObservationsFromJson(const Json& v, Instant receivedAt) {
  LeaseObservations out;
  if (!v.is_object()) return out;
  for (const auto& [machine, entry] : v.items()) {
    if (auto observation = observationFromJson(entry, receivedAt)) {
      out.emplace(MachineId{machine}, *observation);
    }
  }
  return out;
}

}  // namespace kestrelhoist
