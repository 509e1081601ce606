#include "fleet/fleet.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "config/worker_timing.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTerminatedRetention{15 * 60 * 1000};
// Within this time a peer whose process has ended has refused a connection or has restarted.
constexpr Duration kPeerEndDetectionTime{2000};
// The leader receives a heartbeat that a peer forwards within this time or not at all.
constexpr Duration kMaxForwardingTime{2000};

// The limit bounds the size of the status messages to peers, which contain these leases.
constexpr std::size_t kMaxUncertainLeases = 64;

// Returns whether the worker is in a session from which no heartbeat has arrived at this leader.
bool hasNoHeartbeatInSession(const WorkerSession& session) {
  return session.lastHeartbeatAt && session.lastReport->workerEpoch > session.lastHeartbeatEpoch;
}

// Returns whether the worker may still be waiting for a lost answer, so that its next heartbeat is
// not overdue. The newest heartbeat may have gone to any controller, also before this leadership.
bool mayStillRetry(const Machine& machine, Instant now) {
  const auto observation = machine.lease.observation();
  const auto newest = std::max(machine.session.lastHeartbeatAt,
                               observation ? std::optional(observation->newest.at) : std::nullopt);
  return newest && now - *newest <= kWorkerRetryAfterLostAnswer + kHeartbeatLateMargin;
}
}  // namespace

Fleet::Fleet(const Platform& platform, const Replica& replica, FencingToken token, Instant now)
    : platform_(platform),
      replica_(replica),
      leaseTerms_(leaseTermsOf(platform)),
      tokens_{token, token},
      leaderSince_(now),
      newestReportAt_(now),
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
    logDebug("worker started a new session", "machine", machine.id, "worker_epoch",
             report.workerEpoch, "heartbeat", isHeartbeat);
  }
  if (isHeartbeat) {
    machine.notReportingSince.reset();
  } else if (!machine.notReportingSince &&
             (leaseEnded || hasNoHeartbeatInSession(machine.session)) &&
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
  newestReportAt_ = now;
  if (first) {
    ++reportingCount_;
    logRegistration(machine);
  }
  reportReappeared(machine);
  applyNotice(machine, now);
  updateImageCache(machine);
  updateFirstSeenRunning(machine, now);
  return true;
}

void Fleet::reportReappeared(Machine& machine) const {
  const Report& report = *machine.session.lastReport;
  for (const auto& attempt : machine.session.clearedAttempts.onReport(report)) {
    logError("worker reports an attempt again that it had cleared", "task", attempt.str(),
             "machine", machine.id, "token", tokens_.newest, "worker_token", report.token,
             "worker_epoch", report.workerEpoch, "report_sequence", report.sequence);
    if (onClearedAttemptReported) onClearedAttemptReported();
  }
}

std::size_t Fleet::mostRetainedAttempts() const {
  std::size_t most = 0;
  for (const auto& [id, machine] : machines_) {
    // A worker that has not seen the present token yet can forget attempts without another raise.
    if (!machine.hasReported() || machine.session.lastReport->token < tokens_.newest) continue;
    most = std::max(most, machine.session.retainedAttempts);
  }
  return most;
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

// Updates the lease estimate from a heartbeat. A delayed or duplicate heartbeat gives no
// information about which answers arrived, so it is only logged once.
void Fleet::updateLease(const Report& report, const MemberId& receivedBy, Instant now) {
  Machine& machine = machines_[report.machine];
  const HeartbeatArrival arrival{report.workerEpoch, report.sequence, receivedBy, now};
  if (machine.lease.onHeartbeat(arrival, leaseTerms_)) return;
  if (std::exchange(loggedLateHeartbeat_, true)) return;
  logInfo("heartbeat is a duplicate or arrived late; later cases are not logged", "machine",
          report.machine, "worker_epoch", report.workerEpoch, "sequence", report.sequence);
}

std::vector<WorkerCommand> Fleet::onReport(const Report& report, const MemberId& receivedBy,
                                           Instant now, bool mayLaunch) {
  applyReport(report, now, true);
  updateLease(report, receivedBy, now);
  return commandsFor(machines_.at(report.machine), now, mayLaunch);
}

std::vector<WorkerCommand> Fleet::commandsFor(Machine& machine, Instant now, bool mayLaunch) {
  const auto* record = replica_.machine(machine.id);
  // The outcomes and requests of attempts that the record no longer contains are obsolete.
  auto isOffRecord = [&](const auto& entry) { return !record || !record->find(entry.first); };
  std::erase_if(machine.session.outcomes, isOffRecord);
  std::erase_if(machine.session.stopRequests, isOffRecord);
  std::erase_if(machine.session.launchSequences, isOffRecord);
  bool launch = mayLaunch && !(record && record->draining);
  return reconcile(machine.session, record, tokens_, launch,
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
      // The previous leader may have been the only one that received a report of this task running.
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

void Fleet::onTerminated(const MachineId& id, Instant now) {
  if (auto it = machines_.find(id); it != machines_.end()) {
    if (it->second.hasReported()) --reportingCount_;
    machines_.erase(it);
  }
  terminating_.erase(id);
  failureAttribution_.forgetMachine(id);
  unrecorded_.erase(id);
  terminated_[id] = now;
  std::erase_if(terminated_, [&](const auto& r) { return now - r.second > kTerminatedRetention; });
}

bool Fleet::usable(const Machine& machine, Instant now) const {
  if (!machine.hasReported() || machine.terminationRequested || machine.terminationNoticeEnds ||
      machine.notReportingSince || isFaulty(machine))
    return false;
  if (!tokens_.contains(machine.session.lastReport->token)) return false;
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
  if (machine.hasReported() || machine.terminationRequested ||
      machine.listed != ListedState::running)
    return false;
  const auto* record = replica_.machine(machine.id);
  return record && !record->tasks.empty() && now - leaderSince_ > reportDue();
}

void Fleet::adoptRecords(Instant now, std::int64_t wallMs) {
  for (const auto& [id, record] : replica_.machines()) {
    if (terminated_.contains(id)) continue;
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
    if (terminated_.contains(id)) continue;
    seen.insert(id);
    auto [it, isNew] = machines_.try_emplace(id, entry);
    Machine& machine = it->second;
    if (isNew) {
      machine.firstSeen = now;
      if (!replica_.machine(id)) logInfo("cloud lists a machine without a record", "machine", id);
    }
    machine.listed = entry.listed;
    if (entry.listed == ListedState::running && !machine.runningSince) machine.runningSince = now;
    machine.rentedAt = entry.rentedAt;
    if (!machine.hasReported()) machine.address = entry.address;
    machine.consecutiveListsMissing = 0;
  }
  for (auto& [id, machine] : machines_) {
    if (seen.contains(id)) continue;
    // A list may be out of date by up to twice `listLag`, and may be older than the previous list.
    if (now - machine.rentedAt > 3 * listLag && now - machine.firstSeen > 3 * listLag)
      ++machine.consecutiveListsMissing;
  }
}

void Fleet::noteAckByPeer(const MachineId& id, Instant at) {
  Machine* machine = find(id);
  if (!machine) return;
  machine->ackedByPeerAt = std::max(machine->ackedByPeerAt.value_or(at), at);
  machine->lease.noteEarlierAcknowledgement(at);
}

void Fleet::adoptLeases(const LeaseObservations& observations) {
  for (const auto& [id, observation] : observations) {
    if (Machine* machine = find(id)) machine->lease.adopt(observation, leaseTerms_);
  }
}

void Fleet::setZoneAckBounds(std::map<ZoneId, Instant> bounds, Instant now) {
  zoneAckBounds_ = std::move(bounds);
  std::erase_if(ackedBeforeLeadership_,
                [&](const auto& entry) { return !zoneAckBounds_.contains(entry.first); });
  for (const auto& [zone, bound] : zoneAckBounds_) updateAckedBeforeLeadership(zone, bound, now);
}

// Updates the time of the last acknowledgement before this leadership for one zone. Heartbeats of
// other machines in the zone that this leader received give no information about machines that have
// not reported to it. A heartbeat that another controller acknowledged and this leader did not
// receive may have come from any of those machines, so the zone's entry is removed.
void Fleet::updateAckedBeforeLeadership(const ZoneId& zone, Instant bound, Instant now) {
  if (bound < leaderSince_) {
    // After this time every ended peer is detected, and the bound includes the acknowledgements
    // that it may have sent.
    if (now - leaderSince_ >= kPeerEndDetectionTime) ackedBeforeLeadership_[zone] = bound;
    return;
  }
  if (!ackedBeforeLeadership_.contains(zone)) return;
  const bool receivedHere = std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& machine = entry.second;
    return machine.zone == zone && machine.hasReported() &&
           machine.session.lastReportAt + kMaxForwardingTime >= bound;
  });
  if (!receivedHere) ackedBeforeLeadership_.erase(zone);
}

std::optional<Instant> Fleet::lastAckBeforeLeadership(const ZoneId& zone) const {
  auto found = ackedBeforeLeadership_.find(zone);
  return found == ackedBeforeLeadership_.end() ? std::nullopt : std::optional(found->second);
}

// Returns the time since which no machine of the zone has reported, for a zone without any report
// to this leader; empty if that time is unknown.
std::optional<Instant> Fleet::silentSinceBeforeLeadership(const ZoneId& zone) const {
  if (auto bound = lastAckBeforeLeadership(zone)) return bound;
  auto recorded = suspectedSince_.find(zone);
  return recorded == suspectedSince_.end() ? std::nullopt : std::optional(recorded->second);
}

std::map<ZoneId, Instant> Fleet::suspectedZones(Instant now) const {
  struct ZoneSignsOfLife {
    std::optional<Instant> newest;
    int machines = 0;
    bool hasUnreportedTasks = false;
  };
  std::map<ZoneId, ZoneSignsOfLife> zones;
  for (const auto& [id, machine] : machines_) {
    if (machine.terminationRequested) continue;
    ZoneSignsOfLife& zone = zones[machine.zone];
    if (!machine.hasReported() && !machine.ackedByPeerAt) {
      const auto* record = replica_.machine(id);
      zone.hasUnreportedTasks = zone.hasUnreportedTasks || (record && !record->tasks.empty());
      continue;
    }
    const Instant at = lastSignOfLife(machine);
    zone.newest = std::max(zone.newest.value_or(at), at);
    ++zone.machines;
  }
  std::map<ZoneId, Instant> out;
  for (const auto& [id, zone] : zones) {
    if (!zone.newest) {
      auto since = silentSinceBeforeLeadership(id);
      if (since && zone.hasUnreportedTasks) out[id] = *since;
    } else if (now - *zone.newest > zoneSilenceTimeout(zone.machines)) {
      out[id] = *zone.newest;
    }
  }
  return out;
}

// Returns the time without any report after which a zone is suspected. The reports of n machines
// arrive every reportEvery / n on average, so the failure of a zone with many machines is detected
// before each machine is overdue.
Duration Fleet::zoneSilenceTimeout(int machines) const {
  constexpr int kMaxMissedReports = 4;
  return std::min(reportDue(),
                  kMaxMissedReports * platform_.reportEvery / machines + kHeartbeatLateMargin);
}

// Returns the machine's newest sign of life. For a machine that has not reported to this leader,
// that is a peer's acknowledgement, otherwise the time that an earlier leader recorded for its
// zone, otherwise the start of this leadership.
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
      applyVerdict(machine, *verdict);
    }
  }
  lastSuspectedZones_ = suspectedZones(now);
  updateUncertainLeases(now);
}

void Fleet::applyVerdict(Machine& machine, const TerminationVerdict& verdict) {
  countLoss(verdict.loss);
  if (verdict.silence) {
    const SilenceEvidence& evidence = *verdict.silence;
    logInfo("machine declared lost; no sign of life within the timeout", "machine", machine.id,
            "zone", machine.zone, "silence_ms", evidence.silence, "timeout_ms", evidence.timeout,
            "limit", toString(evidence.limit), "source", toString(evidence.newest.source));
    if (onLostBySilence) onLostBySilence(evidence.silence);
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
    const auto expiry = earliestLeaseExpiry(machine);
    if (!expiry || !machine.lease.isUncertain(leaseTerms_, now) || !machine.lease.observation())
      continue;
    const auto* record = replica_.machine(id);
    if (record && !record->tasks.empty()) uncertain.emplace_back(*expiry, id);
  }
  const std::size_t count = std::min(uncertain.size(), kMaxUncertainLeases);
  std::partial_sort(uncertain.begin(), uncertain.begin() + static_cast<std::ptrdiff_t>(count),
                    uncertain.end());
  uncertainLeases_.clear();
  for (std::size_t i = 0; i < count; ++i) {
    const MachineId& id = uncertain[i].second;
    uncertainLeases_.emplace(id, *machines_.at(id).lease.observation());
  }
}

void Fleet::countLoss(MachineLoss loss) {
  if (loss == MachineLoss::lost) ++lostCount_;
  if (loss == MachineLoss::neverBooted) ++neverBootedCount_;
}

}  // namespace kestrelhoist
