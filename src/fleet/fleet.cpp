#include "fleet/fleet.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "config/worker_timing.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kReleasedMemory{15 * 60 * 1000};
// Until a peer that ended has refused a connection, or is back.
constexpr Duration kEndedPeersNoticed{2000};
// A heartbeat that a peer forwards is received by the leader within this time, or not at all.
constexpr Duration kForwardedWithin{2000};

constexpr std::size_t kMostUncertainLeases = 64;  // each status carries them

// Whether the worker is in a session of which no heartbeat came here.
bool beginsUnheard(const WorkerSession& session) {
  return session.lastHeartbeatAt && session.lastReport->workerEpoch > session.lastHeartbeatEpoch;
}

// Whether the worker may be waiting for an answer that is lost: its next heartbeat is not due. The
// newest one may have come to any controller, also before this leadership.
bool mayStillRetry(const Machine& machine, Instant now) {
  const auto sighting = machine.lease.sighting();
  const auto newest = std::max(machine.session.lastHeartbeatAt,
                               sighting ? std::optional(sighting->newest.at) : std::nullopt);
  return newest && now - *newest <= kWorkerRetryAfterLostAnswer + kHeartbeatLateMargin;
}
}  // namespace

Fleet::Fleet(const Platform& platform, const Replica& replica, FencingToken token, Instant now)
    : platform_(platform),
      replica_(replica),
      leaseTerms_(leaseTermsOf(platform)),
      token_(token),
      leaderSince_(now),
      lastReportOfAny_(now),
      failureDetector_(*this, platform, replica, now) {}

Machine* Fleet::find(const MachineId& id) {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* Fleet::find(const MachineId& id) const {
  auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

bool Fleet::applyReport(const Report& report, Instant now, bool isHeartbeat) {
  auto [entry, isNew] = machines_.try_emplace(report.machine);
  Machine& machine = entry->second;
  if (isNew) {
    machine.id = report.machine;
    machine.firstSeen = machine.rentedAt = now;
  }
  const bool first = !machine.hasReported();
  const bool leaseEnded = !first && report.workerEpoch > machine.session.lastReport->workerEpoch;
  if (!updateSession(machine.session, report, now, isHeartbeat)) return false;
  if (!isHeartbeat) machine.lease.onDirectAnswer(report.workerEpoch, now, leaseTerms_);
  if (leaseEnded) {
    logDebug("worker session is new", "machine", machine.id, "worker_epoch", report.workerEpoch,
             "heartbeat", isHeartbeat);
  }
  if (isHeartbeat) {
    machine.notReportingSince.reset();
  } else if (!machine.notReportingSince && (leaseEnded || beginsUnheard(machine.session)) &&
             !mayStillRetry(machine, now)) {
    machine.notReportingSince = now;
    logInfo("worker answers probes but sends no heartbeats", "machine", machine.id, "worker_epoch",
            report.workerEpoch);
  }
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
  machine.address = report.address;
  machine.failedProbes = 0;
  lastReportOfAny_ = now;
  if (first) {
    ++reportingCount_;
    logRegistration(machine);
  }
  applyNotice(machine, now);
  updateImageCache(machine);
  updateFirstSeenRunning(machine, now);
  return true;
}

void Fleet::logRegistration(const Machine& machine) const {
  const Report& report = *machine.session.lastReport;
  logInfo("worker registered", "machine", machine.id, "zone", machine.zone, "spot", machine.spot,
          "worker_epoch", report.workerEpoch, "tasks", report.tasks.size());
}

void Fleet::applyNotice(Machine& machine, Instant now) const {
  const auto& notice = machine.session.lastReport->notice;
  if (!notice) return;
  if (!machine.terminationNoticeEnds) {
    logInfo("spot termination notice received", "machine", machine.id, "ends_in_ms", *notice);
  }
  machine.terminationNoticeEnds = now + *notice;
}

void Fleet::updateFirstSeenRunning(Machine& machine, Instant now) const {
  const Report& report = *machine.session.lastReport;
  std::erase_if(machine.firstSeenRunning,
                [&](const auto& entry) { return !report.find(entry.first); });
  for (const auto& task : report.tasks) {
    if (task.state != TaskState::running) continue;
    if (machine.firstSeenRunning.try_emplace(task.id, now).second) {
      logDebug("task is running", "task", task.id.str(), "machine", machine.id);
    }
  }
}

// A heartbeat that comes late, or as a copy, says nothing of which answers arrived.
void Fleet::updateLease(const Report& report, const MemberId& receivedBy, Instant now) {
  Machine& machine = machines_[report.machine];
  const HeartbeatArrival arrival{report.workerEpoch, report.sequence, receivedBy, now};
  if (machine.lease.onHeartbeat(arrival, leaseTerms_)) return;
  if (std::exchange(loggedLateHeartbeat_, true)) return;
  logInfo("first heartbeat that is older than one before it", "machine", report.machine,
          "worker_epoch", report.workerEpoch, "sequence", report.sequence);
}

std::vector<WorkerCommand> Fleet::onReport(const Report& report, const MemberId& receivedBy,
                                           Instant now, bool mayLaunch) {
  applyReport(report, now, true);
  updateLease(report, receivedBy, now);
  return commandsFor(machines_.at(report.machine), now, mayLaunch);
}

std::vector<WorkerCommand> Fleet::commandsFor(Machine& machine, Instant now, bool mayLaunch) {
  const auto* record = replica_.machine(machine.id);
  // What is known of attempts that are off the record by now is settled.
  auto settled = [&](const auto& entry) { return !record || !record->find(entry.first); };
  std::erase_if(machine.session.outcomes, settled);
  std::erase_if(machine.session.stopRequests, settled);
  std::erase_if(machine.session.launchSequences, settled);
  bool launch = mayLaunch && !(record && record->draining);
  return reconcile(machine.session, record, token_, launch,
                   [&](const AttemptId& id) { return desiredStateOf(machine, id, now); });
}

DesiredState Fleet::desiredStateOf(const Machine& machine, const AttemptId& id, Instant now) const {
  const auto* job = replica_.job(id.task.job);
  if (!job || !job->active() || job->isDropped(id.task.index)) return {true, Duration{0}};
  const auto* record = replica_.machine(machine.id);
  if (record && record->draining && machine.terminationRequested) return {true, Duration{0}};
  if (auto stop = machine.session.stopRequests.find(id);
      stop != machine.session.stopRequests.end()) {
    return {true, stop->second};
  }
  if (machine.terminationNoticeEnds && job->record.spec) {
    return desiredStateUnderNotice(machine, id, *job->record.spec, now);
  }
  return {};
}

DesiredState Fleet::desiredStateUnderNotice(const Machine& machine, const AttemptId& id,
                                            const JobSpec& spec, Instant now) const {
  const Duration left = *machine.terminationNoticeEnds - now;
  if (spec.checkpoints()) {
    constexpr Duration kSaveMargin{4000};
    const bool mustSave = left < spec.saveTime + 2 * platform_.reportEvery + kSaveMargin;
    return mustSave ? DesiredState{true, graceFor(spec)} : DesiredState{};
  }
  // The notice is rough: the time left is half of it at worst, which the worker's report already
  // counts down. A task that can't end in time starts again elsewhere now.
  auto seen = machine.firstSeenRunning.find(id);
  const Duration age = seen == machine.firstSeenRunning.end() ? Duration{0} : now - seen->second;
  const bool endsInTime = spec.kind != JobKind::service && spec.estimate - age <= left * 3 / 2;
  return endsInTime ? DesiredState{} : DesiredState{true, Duration{0}};
}

void Fleet::updateImageCache(Machine& machine) const {
  for (const auto& task : machine.session.lastReport->tasks) {
    const auto* job = replica_.job(task.id.task.job);
    if (!job || !job->record.spec) continue;
    if (task.state == TaskState::ended) {
      // The leader before may have been the only one that saw it run.
      const bool ran = task.cause == EndCause::done;
      if (ran) machine.images.addOldest({job->image, job->record.spec->imageGb, true});
      continue;
    }
    machine.images.recordUse(
        {job->image, job->record.spec->imageGb, task.state != TaskState::fetching});
  }
  const MachineType* type = catalogue_ ? catalogue_->find(machine.type) : nullptr;
  machine.images.evictBeyond(type ? type->cacheGb : 0);
}

void Fleet::noteCachedImage(const MachineId& id, std::uint32_t image, double gb) {
  if (Machine* machine = find(id)) machine->images.addOldest({image, gb, true});
}

void Fleet::requestStop(const AttemptId& id, const MachineId& machine, Duration grace) {
  if (auto* known = find(machine)) known->session.stopRequests.insert_or_assign(id, grace);
}

void Fleet::requestTermination(Machine& machine, const std::string& why) {
  if (machine.terminationRequested) return;
  machine.terminationRequested = true;
  terminating_.insert(machine.id);
  machine.terminationReason = why;
  logInfo("machine termination requested", "machine", machine.id, "why", why);
}

void Fleet::onReleased(const MachineId& id, Instant now) {
  if (auto it = machines_.find(id); it != machines_.end()) {
    if (it->second.hasReported()) --reportingCount_;
    machines_.erase(it);
  }
  terminating_.erase(id);
  failureAttribution_.forgetMachine(id);
  unrecorded_.erase(id);
  released_[id] = now;
  std::erase_if(released_, [&](const auto& r) { return now - r.second > kReleasedMemory; });
}

bool Fleet::usable(const Machine& machine, Instant now) const {
  if (!machine.hasReported() || machine.terminationRequested || machine.terminationNoticeEnds ||
      machine.notReportingSince || faulty(machine))
    return false;
  if (machine.session.lastReport->token != token_) return false;
  if (now - machine.session.lastReportAt > 2 * platform_.reportEvery + Duration{1000}) return false;
  const auto* record = replica_.machine(machine.id);
  return record && !record->draining;
}

Duration Fleet::reportDue() const { return heartbeatDueAfter(platform_.reportEvery); }

bool Fleet::isOnTime(const Machine& machine, Instant now) const {
  return machine.hasReported() && now - machine.session.lastReportAt <= reportDue();
}

bool Fleet::isOverdue(const Machine& machine, Instant now) const {
  return machine.hasReported() && !machine.terminationRequested &&
         now - machine.session.lastReportAt > reportDue();
}

bool Fleet::hasUnconfirmedTasks(const Machine& machine, Instant now) const {
  if (machine.hasReported() || machine.terminationRequested || machine.listed != Listed::running)
    return false;
  const auto* record = replica_.machine(machine.id);
  return record && !record->tasks.empty() && now - leaderSince_ > reportDue();
}

void Fleet::adoptRecords(Instant now, std::int64_t wallMs) {
  for (const auto& [id, record] : replica_.machines()) {
    if (released_.contains(id)) continue;
    auto [it, isNew] = machines_.try_emplace(id);
    if (!isNew) continue;
    Machine& machine = it->second;
    machine.id = id;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.firstSeen = now;
    auto age = record.rentedAtMs > 0 ? wallMs - record.rentedAtMs : 0;
    machine.rentedAt = now - Duration{std::clamp<std::int64_t>(age, 0, 24LL * 3600 * 1000)};
  }
}

void Fleet::onList(const std::vector<std::pair<MachineId, Machine>>& listed, Instant now,
                   Duration listLag) {
  std::set<MachineId> seen;
  for (const auto& [id, entry] : listed) {
    if (released_.contains(id)) continue;
    seen.insert(id);
    auto [it, isNew] = machines_.try_emplace(id, entry);
    Machine& machine = it->second;
    if (isNew) {
      machine.firstSeen = now;
      if (!replica_.machine(id)) logInfo("machine is listed but on no record", "machine", id);
    }
    machine.listed = entry.listed;
    if (entry.listed == Listed::running && !machine.runningSince) machine.runningSince = now;
    machine.rentedAt = entry.rentedAt;
    if (!machine.hasReported()) machine.address = entry.address;
    machine.missedLists = 0;
  }
  for (auto& [id, machine] : machines_) {
    if (seen.contains(id)) continue;
    // Lists lag by up to twice the bound, and one may be older than the one before.
    if (now - machine.rentedAt > 3 * listLag && now - machine.firstSeen > 3 * listLag)
      ++machine.missedLists;
  }
}

void Fleet::noteAckByPeer(const MachineId& id, Instant at) {
  Machine* machine = find(id);
  if (!machine) return;
  machine->ackedByPeerAt = std::max(machine->ackedByPeerAt.value_or(at), at);
  machine->lease.noteEarlierAcknowledgement(at);
}

void Fleet::adoptLeases(const LeaseSightings& sightings) {
  for (const auto& [id, sighting] : sightings) {
    if (Machine* machine = find(id)) machine->lease.adopt(sighting, leaseTerms_);
  }
}

void Fleet::setZoneAckBounds(std::map<ZoneId, Instant> bounds, Instant now) {
  zoneAckBounds_ = std::move(bounds);
  std::erase_if(ackedBeforeLeadership_,
                [&](const auto& entry) { return !zoneAckBounds_.contains(entry.first); });
  for (const auto& [zone, bound] : zoneAckBounds_) updateAckedBeforeLeadership(zone, bound, now);
}

// Heartbeats of other machines of the zone that this leader received since say nothing of those
// that it did not. One that another controller acknowledged and this leader did not receive may
// have come from any of them.
void Fleet::updateAckedBeforeLeadership(const ZoneId& zone, Instant bound, Instant now) {
  if (bound < leaderSince_) {
    // By then the peers' ends are noticed, and what they may have acknowledged until then counts.
    if (now - leaderSince_ >= kEndedPeersNoticed) ackedBeforeLeadership_[zone] = bound;
    return;
  }
  if (!ackedBeforeLeadership_.contains(zone)) return;
  const bool receivedHere = std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    return machine.zone == zone && machine.hasReported() &&
           machine.session.lastReportAt + kForwardedWithin >= bound;
  });
  if (!receivedHere) ackedBeforeLeadership_.erase(zone);
}

std::optional<Instant> Fleet::lastAckBeforeLeadership(const ZoneId& zone) const {
  auto found = ackedBeforeLeadership_.find(zone);
  return found == ackedBeforeLeadership_.end() ? std::nullopt : std::optional(found->second);
}

// Since when a zone is silent of which this leader has had no report, as far as that is known.
std::optional<Instant> Fleet::silentBeforeLeadership(const ZoneId& zone) const {
  if (auto bound = lastAckBeforeLeadership(zone)) return bound;
  auto recorded = suspectedSince_.find(zone);
  return recorded == suspectedSince_.end() ? std::nullopt : std::optional(recorded->second);
}

std::map<ZoneId, Instant> Fleet::suspectedZones(Instant now) const {
  struct ZoneSigns {
    std::optional<Instant> newest;
    int working = 0;
    bool hasUnheardTasks = false;
  };
  std::map<ZoneId, ZoneSigns> zones;
  for (const auto& [id, machine] : machines_) {
    if (machine.terminationRequested) continue;
    ZoneSigns& zone = zones[machine.zone];
    if (!machine.hasReported() && !machine.ackedByPeerAt) {
      const auto* record = replica_.machine(id);
      zone.hasUnheardTasks = zone.hasUnheardTasks || (record && !record->tasks.empty());
      continue;
    }
    const Instant at = lastSignOfLife(machine);
    zone.newest = std::max(zone.newest.value_or(at), at);
    ++zone.working;
  }
  std::map<ZoneId, Instant> out;
  for (const auto& [id, zone] : zones) {
    if (!zone.newest) {
      auto since = silentBeforeLeadership(id);
      if (since && zone.hasUnheardTasks) out[id] = *since;
    } else if (now - *zone.newest > zoneSilence(zone.working)) {
      out[id] = *zone.newest;
    }
  }
  return out;
}

// Reports of n machines come every reportEvery / n on average, so many machines are known to be
// silent before each of them is overdue.
Duration Fleet::zoneSilence(int machines) const {
  constexpr int kReports = 4;
  return std::min(reportDue(), kReports * platform_.reportEvery / machines + kHeartbeatLateMargin);
}

// For a machine that this leader has no report of, the acknowledgement of a peer counts, else what
// an earlier leader recorded of its zone; else nothing is known before this leadership.
SignOfLife Fleet::signOfLife(const Machine& machine) const {
  if (machine.hasReported()) return {machine.session.lastReportAt, SignOfLifeSource::ownReport};
  if (machine.ackedByPeerAt) {
    return {*machine.ackedByPeerAt, SignOfLifeSource::peerAcknowledgement};
  }
  if (auto zone = suspectedSince_.find(machine.zone); zone != suspectedSince_.end()) {
    return {zone->second, SignOfLifeSource::record};
  }
  return {std::max(leaderSince_, machine.firstSeen), SignOfLifeSource::leaderStart};
}

void Fleet::logSignsOfLife(Instant now) const {
  struct ZoneSummary {
    SignOfLife newest;
    int machines = 0;
    int reporting = 0;
  };
  std::map<ZoneId, ZoneSummary> zones;
  for (const auto& [id, machine] : machines_) {
    if (machine.terminationRequested) continue;
    const SignOfLife sign = signOfLife(machine);
    ZoneSummary& zone = zones[machine.zone];
    if (zone.machines++ == 0 || sign.at > zone.newest.at) zone.newest = sign;
    if (machine.hasReported()) ++zone.reporting;
  }
  for (const auto& [id, zone] : zones) {
    auto bound = zoneAckBounds_.find(id);
    const std::string acknowledged =
        bound == zoneAckBounds_.end() ? "unknown" : std::to_string((now - bound->second).count());
    logInfo("newest sign of life of zone", "zone", id, "age_ms", now - zone.newest.at, "source",
            toString(zone.newest.source), "acknowledged_ms", acknowledged, "machines",
            zone.machines, "reporting", zone.reporting);
  }
}

void Fleet::detectFailures(Instant now, const Catalogue* catalogue,
                           const std::function<bool(const ZoneId&)>& mayHaveActingLeader) {
  catalogue_ = catalogue;
  failureAttribution_.forgetFinishedJobs([&](const JobId& id) {
    const auto* job = replica_.job(id);
    return job && job->active();
  });
  failureDetector_.beginPass(now, catalogue, mayHaveActingLeader);
  unrecorded_.clear();
  for (auto& [id, machine] : machines_) {
    if (machine.terminationRequested) continue;
    if (isUnrecorded(machine)) unrecorded_.insert(id);
    if (auto verdict = failureDetector_.inspect(machine)) {
      giveUp(machine, *verdict);
    }
  }
  lastSuspectedZones_ = suspectedZones(now);
  updateUncertainLeases(now);
}

void Fleet::giveUp(Machine& machine, const TerminationVerdict& verdict) {
  countLoss(verdict.loss);
  if (verdict.silence) {
    const SilenceEvidence& evidence = *verdict.silence;
    logInfo("machine given up", "machine", machine.id, "zone", machine.zone, "silence_ms",
            evidence.silence, "timeout_ms", evidence.timeout, "limit", toString(evidence.limit),
            "source", toString(evidence.newest.source));
    if (onGivenUpForSilence) onGivenUpForSilence(evidence.silence);
  }
  requestTermination(machine, verdict.reason);
}

bool Fleet::isUnrecorded(const Machine& machine) const {
  const auto* record = replica_.machine(machine.id);
  return machine.hasReported() && (!record || record->rental.empty());
}

void Fleet::updateUncertainLeases(Instant now) {
  std::vector<std::pair<Instant, MachineId>> uncertain;
  for (const auto& [id, machine] : machines_) {
    const auto end = earliestLeaseEnd(machine);
    if (!end || !machine.lease.isUncertain(leaseTerms_, now) || !machine.lease.sighting()) continue;
    const auto* record = replica_.machine(id);
    if (record && !record->tasks.empty()) uncertain.emplace_back(*end, id);
  }
  const std::size_t kept = std::min(uncertain.size(), kMostUncertainLeases);
  std::partial_sort(uncertain.begin(), uncertain.begin() + static_cast<std::ptrdiff_t>(kept),
                    uncertain.end());
  uncertainLeases_.clear();
  for (std::size_t i = 0; i < kept; ++i) {
    const MachineId& id = uncertain[i].second;
    uncertainLeases_.emplace(id, *machines_.at(id).lease.sighting());
  }
}

void Fleet::countLoss(MachineLoss loss) {
  if (loss == MachineLoss::lost) ++lost_;
  if (loss == MachineLoss::neverBooted) ++neverBooted_;
}

}  // namespace kestrelhoist
