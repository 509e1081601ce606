#include "fleet/failure_detector.hpp"

#include <algorithm>
#include <utility>

#include "config/worker_timing.hpp"
#include "fleet/fleet.hpp"

namespace kestrelhoist {
namespace {

constexpr double kBootTimeoutFactor = 2.5;  // times the type's boot time

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
    case SilenceLimit::blindLeader:
      return "blind_leader";
    case SilenceLimit::failedProbes:
      return "failed_probes";
  }
  return "";
}

bool ReachabilityCounts::blind() const {
  constexpr int kFewestToJudgeBy = 4;         // machines
  constexpr int kMachinesForEachReport = 10;  // that should report
  return expected >= kFewestToJudgeBy && reporting * kMachinesForEachReport < expected;
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
    // The workers do not know a new leader yet.
    Instant last = machine.hasReported() ? machine.session.lastReportAt
                                         : std::max(fleet_.lastSignOfLife(machine),
                                                    leaderSince_ + failoverTime() / 2);
    // What counts is the time at which a report is due, not the longer timeout of silence: where
    // hardly any machine is on time, the way to all of them is what fails, and their workers have
    // to try all nodes before a report of theirs arrives again.
    const bool onTime = now_ - last <= fleet_.reportDue();
    ++(onTime ? counts.zones[machine.zone].onTime : counts.zones[machine.zone].overdue);
    ++counts.expected;
    if (onTime) ++counts.reporting;
    if (machine.notReportingSince) ++counts.notReporting;
  }
  return counts;
}

// Counts releases which an earlier leader began, of machines that work as ever.
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
  if (auto verdict = inspectUnheardZone(machine)) return verdict;
  return inspectSilence(machine);
}

// Machines whose release an earlier leader began are released in small numbers at a time while they
// still work.
std::optional<TerminationVerdict> FailureDetector::resumeTermination(const Machine& machine,
                                                                     bool hasTasks) {
  const std::size_t limit = std::max<std::size_t>(4, fleet_.machines().size() / 20);
  if (hasTasks && fleet_.isOnTime(machine, now_) && ++drainingWithTasks_ > limit) {
    return std::nullopt;
  }
  return terminated("release was begun");
}

// Reasons that do not depend on how long the machine has been silent alone.
std::optional<TerminationVerdict> FailureDetector::inspectRemoval(const Machine& machine,
                                                                  bool hasTasks) const {
  if (machine.listed == Listed::failed) return lost("the cloud lists it as failed");
  const Duration silence = now_ - fleet_.lastSignOfLife(machine);
  if (machine.missedLists >= 2 && silence > 2 * platform_.reportEvery) {
    return lost("no longer listed and silent");
  }
  if (hasTasks) return std::nullopt;
  if (machine.terminationNoticeEnds) return terminated("notice, and nothing left on it");
  if (fleet_.faulty(machine)) return terminated("tasks of several sound jobs failed on it");
  // A replacement can be used. Where most machines are like this, replacements would be, too.
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
  if (type && machine.listed != Listed::running &&
      toSeconds(now_ - machine.rentedAt) > bootTimeoutS && now_ - leaderSince_ > failoverTime()) {
    return TerminationVerdict{MachineLoss::neverBooted, "did not boot", std::nullopt};
  }
  // The time counts from when the machine was known to run: a list may come before the first
  // report, and the silence of a machine that boots is no sign of anything.
  if (machine.listed == Listed::running && machine.runningSince &&
      now_ - std::max(fleet_.lastSignOfLife(machine), *machine.runningSince) >
          platform_.workerLease) {
    return terminated("runs but never reported");
  }
  return std::nullopt;
}

// A machine of a zone from which no controller acknowledged a heartbeat since before this
// leadership: once its lease is over, whatever ran on it has ended. This can only be earlier than
// inspectSilence(), which counts from the beginning of this leadership.
std::optional<TerminationVerdict> FailureDetector::inspectUnheardZone(
    const Machine& machine) const {
  if (machine.hasReported() || machine.firstSeen > leaderSince_) return std::nullopt;
  // A zone that has just come back is heard by then.
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

// A silent machine is dead or out of reach. While others of its zone report it is most likely dead.
std::optional<TerminationVerdict> FailureDetector::inspectSilence(const Machine& machine) const {
  const SignOfLife newest = fleet_.signOfLife(machine);
  Timeout timeout = silenceTimeout(machine);
  // Nothing may be known of it because this leader is new and its worker still looks for a node.
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
  return unreachableZones_.contains(machine.zone) || counts_.reporting == 0 || counts_.blind();
}

Duration FailureDetector::silenceOf(const Machine& machine) const {
  const Duration silence = now_ - fleet_.lastSignOfLife(machine);
  auto zone = zoneLastUnreachableAt_.find(machine.zone);
  if (mayBeCutOff(machine) || zone == zoneLastUnreachableAt_.end()) return silence;
  // The zone has just come back: its workers find the leader one after the other.
  return std::min(silence, now_ - zone->second);
}

FailureDetector::Timeout FailureDetector::silenceTimeout(const Machine& machine) const {
  Timeout timeout{failoverTime(), SilenceLimit::failover};
  if (!workersReachable_ && platform_.controllerCount() > 2) {
    timeout.duration +=
        static_cast<int>(platform_.controllerCount() - 2) * kWorkerRetryAfterLostAnswer;
  }
  if (mayBeCutOff(machine) && cutOffTimeout(machine) > timeout.duration) {
    timeout = {cutOffTimeout(machine),
               counts_.blind() ? SilenceLimit::blindLeader : SilenceLimit::cutOffZone};
  }
  // A worker that lives answers a direct probe, whichever node it reports to.
  constexpr int kFailedProbesForProof = 2;
  if (machine.hasReported() && fleet_.isOverdue(machine, now_) &&
      !unreachableZones_.contains(machine.zone) && counts_.reporting > 0 &&
      machine.failedProbes >= kFailedProbesForProof && fleet_.reportDue() < timeout.duration) {
    timeout = {fleet_.reportDue(), SilenceLimit::failedProbes};
  }
  return timeout;
}

// Whether another controller may be answering workers of the zone without this leader's knowledge.
// Where no worker at all is heard it need not be in the zone: what is cut may be this leader's own
// link to all workers.
bool FailureDetector::mayBeAnswered(const ZoneId& zone) const {
  if (mayHaveActingLeader_(zone)) return true;
  return counts_.reporting == 0 && peerUnheard_;
}

// A zone that is silent is most likely cut off and goes on working inside: its tasks run for as
// long as their leases, which a controller there can keep up until the bound for unknown
// cancellations.
Duration FailureDetector::cutOffTimeout(const Machine& machine) const {
  constexpr Duration kClockMargin{1000};
  Duration timeout = platform_.workerLease + kClockMargin;
  if (mayBeAnswered(machine.zone)) timeout += renewal_.longest();
  if (counts_.blind()) timeout = 2 * platform_.workerLease + renewal_.longest() + kClockMargin;
  return timeout;
}

// A worker whose node went away reports to the next one after this long at worst.
Duration FailureDetector::failoverTime() const {
  return 2 * platform_.reportEvery + kWorkerAnswerTimeout + 2 * kWorkerNextControllerDelay;
}

}  // namespace kestrelhoist
