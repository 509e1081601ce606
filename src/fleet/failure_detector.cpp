#include "fleet/failure_detector.hpp"

#include <algorithm>
#include <utility>

#include "config/worker_timing.hpp"
#include "fleet/fleet.hpp"

namespace kestrelhoist {
namespace {

// The boot timeout is the machine type's boot time multiplied by this factor.
constexpr double kBootTimeoutFactor = 2.5;

TerminationVerdict lost(std::string reason) {
  return {MachineLoss::lost, std::move(reason), std::nullopt};
}

TerminationVerdict lostBySilence(const SilenceEvidence& evidence) {
  return {MachineLoss::lost, "silent for " + std::to_string(evidence.silence.count()) + " ms",
          evidence};
}

TerminationVerdict terminated(std::string reason) {
  return {MachineLoss::none, std::move(reason), std::nullopt};
}

}  // namespace

const char* toString(SignOfLifeSource source) {
  switch (source) {
    case SignOfLifeSource::ownReport:
      return "own_report";
    case SignOfLifeSource::peerAcknowledgement:
      return "peer_acknowledgement";
    case SignOfLifeSource::zoneAcknowledgements:
      return "zone_acknowledgements";
    case SignOfLifeSource::record:
      return "record";
    case SignOfLifeSource::leaderStart:
      return "leader_start";
  }
  return "";
}

const char* toString(SilenceLimit limit) {
  switch (limit) {
    case SilenceLimit::failover:
      return "failover";
    case SilenceLimit::cutOffZone:
      return "cut_off_zone";
    case SilenceLimit::isolatedLeader:
      return "blind_leader";
    case SilenceLimit::failedProbes:
      return "failed_probes";
  }
  return "";
}

bool ReachabilityCounts::isLeaderIsolated() const {
  constexpr int kMinExpectedMachines = 4;  // machines
  constexpr int kMaxMachinesPerReport = 10;
  return expected >= kMinExpectedMachines && reporting * kMaxMachinesPerReport < expected;
}

FailureDetector::FailureDetector(const Fleet& fleet, const Platform& platform,
                                 const Replica& replica, Instant leaderSince)
    : fleet_(fleet),
      platform_(platform),
      replica_(replica),
      renewal_(platform),
      leaderSince_(leaderSince) {}

void FailureDetector::beginPass(Instant now, const Catalogue* catalogue,
                                std::function<bool(const ZoneId&)> mayHaveActingLeader) {
  now_ = now;
  catalogue_ = catalogue;
  mayHaveActingLeader_ = std::move(mayHaveActingLeader);
  counts_ = countReachability();
  updateUnreachableZones();
  drainingWithTasks_ = countDrainingWithTasks();
}

ReachabilityCounts FailureDetector::countReachability() const {
  ReachabilityCounts counts;
  for (const auto& [id, machine] : fleet_.machines()) {
    if (!machine.hasReported()) {
      const auto* record = replica_.machine(id);
      if (!record || record->tasks.empty()) continue;
    }
    // For a machine that has not reported, the time counts from shortly after the election, because
    // its worker does not know the new leader at first.
    Instant last = machine.hasReported() ? machine.session.lastReportAt
                                         : std::max(fleet_.lastSignOfLife(machine),
                                                    leaderSince_ + failoverTime() / 2);
    // A machine counts as on time until its report is due, not until the longer silence timeout. If
    // hardly any machine is on time, this leader's link to all of them has failed, and their
    // workers have to try all controllers before one of their reports arrives again.
    const bool onTime = now_ - last <= fleet_.reportDue();
    ++(onTime ? counts.zones[machine.zone].onTime : counts.zones[machine.zone].overdue);
    ++counts.expected;
    if (onTime) ++counts.reporting;
    if (machine.notReportingSince) ++counts.notReporting;
  }
  return counts;
}

// Counts the machines with tasks whose termination an earlier leader requested and whose reports
// are on time.
std::size_t FailureDetector::countDrainingWithTasks() const {
  const auto& terminating = fleet_.terminating();
  return static_cast<std::size_t>(
      std::count_if(terminating.begin(), terminating.end(), [&](const MachineId& id) {
        const auto* record = replica_.machine(id);
        const Machine* machine = fleet_.find(id);
        return record && !record->tasks.empty() && machine && fleet_.isOnTime(*machine, now_);
      }));
}

void FailureDetector::updateUnreachableZones() {
  unreachableZones_.clear();
  for (const auto& [zone, count] : counts_.zones) {
    if (count.overdue > 1 && count.overdue > count.onTime) {
      unreachableZones_.insert(zone);
      zoneLastUnreachableAt_[zone] = now_;
    }
  }
}

std::optional<TerminationVerdict> FailureDetector::inspect(const Machine& machine) {
  const auto* record = replica_.machine(machine.id);
  const bool hasTasks = record && !record->tasks.empty();
  if (record && record->draining) return resumeTermination(machine, hasTasks);
  if (auto verdict = inspectRemoval(machine, hasTasks)) return verdict;
  if (!machine.hasReported() && !hasTasks) return inspectUnregistered(machine);
  if (auto verdict = inspectUnreportedZone(machine)) return verdict;
  return inspectSilence(machine);
}

// Terminates machines whose termination an earlier leader requested. Machines that still run tasks
// are terminated in small numbers at a time.
std::optional<TerminationVerdict> FailureDetector::resumeTermination(const Machine& machine,
                                                                     bool hasTasks) {
  const std::size_t limit = std::max<std::size_t>(4, fleet_.machines().size() / 20);
  if (hasTasks && fleet_.isOnTime(machine, now_) && ++drainingWithTasks_ > limit) {
    return std::nullopt;
  }
  return terminated("release was begun");
}

// Checks the reasons for termination other than silence alone.
std::optional<TerminationVerdict> FailureDetector::inspectRemoval(const Machine& machine,
                                                                  bool hasTasks) const {
  if (machine.listed == ListedState::failed) return lost("the cloud lists it as failed");
  const Duration silence = now_ - fleet_.lastSignOfLife(machine);
  if (machine.consecutiveListsMissing >= 2 && silence > 2 * platform_.reportEvery) {
    return lost("no longer listed and silent");
  }
  if (hasTasks) return std::nullopt;
  if (machine.terminationNoticeEnds) return terminated("notice, and nothing left on it");
  if (fleet_.isFaulty(machine)) return terminated("tasks of several sound jobs failed on it");
  // The machine is replaced only if most machines do report; otherwise a replacement's heartbeats
  // would probably not be answered either.
  if (machine.notReportingSince && 2 * counts_.notReporting <= counts_.expected &&
      now_ - *machine.notReportingSince > platform_.workerLease) {
    return lost("answers but does not report");
  }
  return std::nullopt;
}

std::optional<TerminationVerdict> FailureDetector::inspectUnregistered(
    const Machine& machine) const {
  const MachineType* type = catalogue_ ? catalogue_->find(machine.type) : nullptr;
  const double bootTimeoutS = type ? kBootTimeoutFactor * toSeconds(type->boot) + 5 : 0;
  if (type && machine.listed != ListedState::running &&
      toSeconds(now_ - machine.rentedAt) > bootTimeoutS && now_ - leaderSince_ > failoverTime()) {
    return TerminationVerdict{MachineLoss::neverBooted, "did not boot", std::nullopt};
  }
  // The time counts from when the machine was first listed as running: a list may arrive before the
  // machine's first report, and a booting machine sends no reports.
  if (machine.listed == ListedState::running && machine.runningSince &&
      now_ - std::max(fleet_.lastSignOfLife(machine), *machine.runningSince) >
          platform_.workerLease) {
    return terminated("runs but never reported");
  }
  return std::nullopt;
}

// Checks a machine in a zone from which no controller acknowledged a heartbeat since before this
// leadership: once the machine's lease has expired, its tasks have ended. This check can only
// succeed before inspectSilence(), which counts from the start of this leadership.
std::optional<TerminationVerdict> FailureDetector::inspectUnreportedZone(
    const Machine& machine) const {
  if (machine.hasReported() || machine.firstSeen > leaderSince_) return std::nullopt;
  // Within this time reports arrive from a zone that has just become reachable again.
  if (now_ - leaderSince_ < fleet_.reportDue()) return std::nullopt;
  auto acknowledged = fleet_.lastAckBeforeLeadership(machine.zone);
  if (!acknowledged) return std::nullopt;
  const Duration silence = now_ - *acknowledged;
  const Duration timeout = cutOffTimeout(machine);
  if (silence <= timeout) return std::nullopt;
  return lostBySilence({{*acknowledged, SignOfLifeSource::zoneAcknowledgements},
                        silence,
                        timeout,
                        SilenceLimit::cutOffZone});
}

// Checks whether the machine has been silent for too long. A silent machine is dead or unreachable;
// while other machines of its zone report, it is most likely dead.
std::optional<TerminationVerdict> FailureDetector::inspectSilence(const Machine& machine) const {
  const SignOfLife newest = fleet_.signOfLife(machine);
  Timeout timeout = silenceTimeout(machine);
  // The machine's sign of life may be unknown because this leader is new and the worker is still
  // trying other controllers.
  const bool unknown = !machine.hasReported() && newest.at >= leaderSince_;
  if (unknown) timeout.duration += failoverTime() / 2;
  if (!machine.hasReported() && !unknown && now_ - leaderSince_ < failoverTime()) {
    return std::nullopt;
  }
  const Duration silence = silenceOf(machine);
  if (silence <= timeout.duration) return std::nullopt;
  return lostBySilence({newest, silence, timeout.duration, timeout.limit});
}

bool FailureDetector::mayBeCutOff(const Machine& machine) const {
  return unreachableZones_.contains(machine.zone) || counts_.reporting == 0 ||
         counts_.isLeaderIsolated();
}

Duration FailureDetector::silenceOf(const Machine& machine) const {
  const Duration silence = now_ - fleet_.lastSignOfLife(machine);
  auto zone = zoneLastUnreachableAt_.find(machine.zone);
  if (mayBeCutOff(machine) || zone == zoneLastUnreachableAt_.end()) return silence;
  // The zone has just become reachable again, and its workers find the leader one after the other.
  return std::min(silence, now_ - zone->second);
}

FailureDetector::Timeout FailureDetector::silenceTimeout(const Machine& machine) const {
  Timeout timeout{failoverTime(), SilenceLimit::failover};
  if (!workersReachable_ && platform_.controllerCount() > 2) {
    timeout.duration +=
        static_cast<int>(platform_.controllerCount() - 2) * kWorkerRetryAfterLostAnswer;
  }
  if (mayBeCutOff(machine) && cutOffTimeout(machine) > timeout.duration) {
    timeout = {cutOffTimeout(machine), counts_.isLeaderIsolated() ? SilenceLimit::isolatedLeader
                                                                  : SilenceLimit::cutOffZone};
  }
  // A running worker answers a direct probe, whichever controller receives its heartbeats.
  constexpr int kMinFailedProbes = 2;
  if (machine.hasReported() && fleet_.isOverdue(machine, now_) &&
      !unreachableZones_.contains(machine.zone) && counts_.reporting > 0 &&
      machine.failedProbes >= kMinFailedProbes && fleet_.reportDue() < timeout.duration) {
    timeout = {fleet_.reportDue(), SilenceLimit::failedProbes};
  }
  return timeout;
}

// Returns whether another controller may be answering workers of the zone without this leader's
// knowledge. If this leader receives no reports at all, that controller may be in any zone, because
// this leader's own link to all workers may have failed.
bool FailureDetector::mayBeAnswered(const ZoneId& zone) const {
  if (mayHaveActingLeader_(zone)) return true;
  return counts_.reporting == 0 && peerUnreachable_;
}

// Returns the silence timeout for a machine that may be cut off from this leader. Its tasks keep
// running until its lease expires, and a controller inside a cut-off zone can renew the lease until
// the limit that bounds the effect of unknown cancellations (LeaseRenewal).
Duration FailureDetector::cutOffTimeout(const Machine& machine) const {
  constexpr Duration kClockMargin{1000};
  Duration timeout = platform_.workerLease + kClockMargin;
  if (mayBeAnswered(machine.zone)) timeout += renewal_.maxRecordAge();
  if (counts_.isLeaderIsolated())
    timeout = 2 * platform_.workerLease + renewal_.maxRecordAge() + kClockMargin;
  return timeout;
}

// Returns the longest time that a worker takes to report to the next controller after its
// controller has failed.
Duration FailureDetector::failoverTime() const {
  return 2 * platform_.reportEvery + kWorkerAnswerTimeout + 2 * kWorkerNextControllerDelay;
}

}  // namespace kestrelhoist
