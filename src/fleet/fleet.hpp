/// \file
/// Keeps the leader's inventory of the machines: the reports of their workers, their states in the
/// cloud's list, the images that they hold and the machines to terminate. The inventory exists only
/// for one leadership.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "failures/failure_attribution.hpp"
#include "fleet/failure_detector.hpp"
#include "fleet/image_cache.hpp"
#include "fleet/lease_log.hpp"
#include "fleet/reconcile.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

/// Is a machine's state in the cloud's list of machines.
enum class ListedState { never, booting, running, failed, missing };

/// Holds the leader's state of one machine.
struct Machine {
  MachineId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  WorkerSession session;
  LeaseEstimate lease;
  /// Is the approximate time at which the cloud reclaims the machine.
  std::optional<Instant> terminationNoticeEnds;
  ListedState listed = ListedState::never;
  int consecutiveListsMissing{};
  /// Is the time at which the machine was rented, or the best estimate of that time.
  Instant rentedAt{};
  Instant firstSeen{};
  /// Is the time at which another controller last acknowledged a heartbeat of this machine, before
  /// this leader received a report of it.
  std::optional<Instant> ackedByPeerAt;
  /// Is the time at which the cloud first listed the machine as running.
  std::optional<Instant> runningSince;
  std::string address;  ///< Is the newest address that the worker reported or the cloud listed.
  Instant probedAt{};   ///< Is the time of the newest direct probe.
  int failedProbes{};   ///< Counts the consecutive probes without an answer.
  Instant newestFailedProbe{};  ///< Is the time at which the newest failed probe was sent.
  /// Is the time since which the worker answers probes although its lease has expired and it sends
  /// no heartbeats. No controller answers its heartbeats, so its tasks end when its lease expires.
  std::optional<Instant> notReportingSince;
  bool terminationRequested{};
  std::string terminationReason;
  ImageCache images;
  /// Holds the start times from which the tasks' ages are computed.
  std::map<AttemptId, Instant> firstSeenRunning;

  /// Returns whether this leader has received a report of the machine.
  bool hasReported() const { return session.lastReport.has_value(); }
};

/// Holds all machines that one leader manages. All calls are made on the controller's event loop.
class Fleet {
 public:
  Fleet(const Platform& platform, const Replica& replica, FencingToken token, Instant now);
  Fleet(const Fleet&) = delete;  ///< The failure detector holds a reference to the fleet.
  Fleet& operator=(const Fleet&) = delete;

  /// Applies a worker's heartbeat and returns the commands that answer it. `receivedBy` is the
  /// controller to which the worker sent it. `mayLaunch` is true if this controller is certain to
  /// be the leader.
  std::vector<WorkerCommand> onReport(const Report& report, const MemberId& receivedBy, Instant now,
                                      bool mayLaunch);
  /// Returns the commands for a machine between two heartbeats, derived from its newest report.
  std::vector<WorkerCommand> commandsFor(Machine& machine, Instant now, bool mayLaunch);
  /// Applies a report. Returns false if the report is not newer than the last one. `isHeartbeat` is
  /// false if the report answers a direct command.
  bool applyReport(const Report& report, Instant now, bool isHeartbeat = false);

  /// Uses this token of the same leader for new commands.
  void adoptToken(FencingToken token) { tokens_.newest = token; }
  /// Returns the highest number of ended attempts that a worker must remember until it has seen a
  /// newer token than the present one.
  std::size_t mostRetainedAttempts() const;

  /// Returns the zones from which no machine reports any more, each with the time of the newest
  /// sign of life of its machines. A zone is included if all its machines are overdue, or if none
  /// has reported for longer than the number of its machines makes likely. A zone without any
  /// report to this leader is included if an earlier leader recorded it, or if the acknowledgement
  /// bounds show it.
  std::map<ZoneId, Instant> suspectedZones(Instant now) const;
  /// Returns the suspected zones that the last call of detectFailures() found.
  const std::map<ZoneId, Instant>& lastSuspectedZones() const { return lastSuspectedZones_; }
  /// Records that an earlier leader found that no machine of the zone has reported since `at`.
  void restoreSuspectedZone(const ZoneId& zone, Instant at) { suspectedSince_[zone] = at; }
  /// Sets, for each zone, the time after which no controller acknowledged a heartbeat from the
  /// zone; see ZoneAckLog.
  void setZoneAckBounds(std::map<ZoneId, Instant> bounds, Instant now);
  /// Returns the time until which any controller may have acknowledged a heartbeat of a machine in
  /// this zone that has not reported to this leader. Empty if that time is unknown or lies within
  /// this leadership.
  std::optional<Instant> lastAckBeforeLeadership(const ZoneId& zone) const;
  /// Records that a peer last acknowledged a heartbeat of the machine at `at`.
  void noteAckByPeer(const MachineId& id, Instant at);
  /// Merges a controller's observations of worker leases into the leader's estimates.
  void adoptLeases(const LeaseObservations& observations);
  /// Returns the observations of the leases that were uncertain at the last call of
  /// detectFailures(), for machines with tasks. The number is limited; the leases that expire first
  /// are kept.
  const LeaseObservations& uncertainLeases() const { return uncertainLeases_; }
  /// Records that, according to an earlier leader, the machine holds this image because of tasks
  /// that ended long ago.
  void noteCachedImage(const MachineId& id, std::uint32_t image, double gb);
  /// Applies the cloud's list of machines, which may be out of date by up to `listLag`.
  void onList(const std::vector<std::pair<MachineId, Machine>>& listed, Instant now,
              Duration listLag);
  /// Adds an entry for each recorded machine that has none.
  void adoptRecords(Instant now, std::int64_t wallMs);

  /// Returns the machine, or null if it is unknown.
  Machine* find(const MachineId& id);
  const Machine* find(const MachineId& id) const;
  std::map<MachineId, Machine>& machines() { return machines_; }
  const std::map<MachineId, Machine>& machines() const { return machines_; }
  /// Returns how many machines were terminated because they were dead or unreachable.
  std::uint32_t lostCount() const { return lostCount_; }
  /// Returns how many machines were terminated because they never booted.
  std::uint32_t neverBootedCount() const { return neverBootedCount_; }
  std::size_t reportingCount() const { return reportingCount_; }
  /// Returns the machines whose termination is requested and not yet confirmed by the cloud.
  const std::set<MachineId>& terminating() const { return terminating_; }
  /// Returns the cordoned machines: they get no new tasks and are terminated once they are empty.
  std::set<MachineId>& cordoned() { return cordoned_; }
  /// Returns the machines that report but belong to no recorded rental, as found by
  /// detectFailures().
  const std::set<MachineId>& unrecorded() const { return unrecorded_; }

  /// Returns how long after a report the next one is overdue. Workers report every `reportEvery`,
  /// plus or minus a quarter of it.
  Duration reportDue() const;
  /// Returns whether the machine has reported and its next report is not overdue.
  bool isOnTime(const Machine& machine, Instant now) const;
  /// Returns whether the machine's report is overdue, so that a direct probe is useful.
  bool isOverdue(const Machine& machine, Instant now) const;
  /// Returns whether the machine has recorded tasks but has not reported to this leader, so that a
  /// direct probe is useful. Its worker may be reporting to a controller that can't forward the
  /// reports.
  bool hasUnconfirmedTasks(const Machine& machine, Instant now) const;
  /// Returns the earliest time at which the worker's current lease can expire; empty if nothing is
  /// known about the lease.
  std::optional<Instant> earliestLeaseExpiry(const Machine& machine) const {
    return machine.lease.earliestExpiry(leaseTerms_);
  }
  /// Returns whether the worker's lease expires within seconds unless an answer arrives; see
  /// LeaseEstimate.
  bool isLeaseAtRisk(const Machine& machine, Instant now) const {
    return machine.lease.isAtRisk(leaseTerms_, now);
  }
  /// Returns the machine's newest known sign of life and its source.
  SignOfLife signOfLife(const Machine& machine) const;
  Instant lastSignOfLife(const Machine& machine) const { return signOfLife(machine).at; }
  /// Logs, for each zone, the newest sign of life of its machines and its source. It is called once
  /// a new leader's initial heartbeat round is complete.
  void logSignsOfLife(Instant now) const;
  /// This callback receives, for each machine that is terminated because it no longer reports, the
  /// time since its newest sign of life.
  std::function<void(Duration silence)> onLostBySilence;
  /// This callback runs for each attempt that a worker reports again after it was cleared; it may
  /// be null.
  std::function<void()> onClearedAttemptReported;
  /// Returns the time at which the newest report of any worker arrived.
  Instant newestReportAt() const { return newestReportAt_; }
  /// Returns whether new tasks may be placed on the machine.
  bool usable(const Machine& machine, Instant now) const;

  void requestStop(const AttemptId& id, const MachineId& machine, Duration grace);
  void requestTermination(Machine& machine, const std::string& why);
  /// Removes a machine whose termination the cloud has confirmed. Lists and records that still
  /// contain the machine are out of date and are ignored.
  void onTerminated(const MachineId& id, Instant now);
  bool isTerminated(const MachineId& id) const { return terminated_.contains(id); }

  /// Requests the termination of all machines that the failure detector finds lost, faulty or
  /// reclaimed. `catalogue` may be null and must stay valid until the next call.
  /// FailureDetector::beginPass() describes `mayHaveActingLeader`.
  void detectFailures(Instant now, const Catalogue* catalogue,
                      const std::function<bool(const ZoneId&)>& mayHaveActingLeader);
  /// See FailureDetector::setWorkersReachable().
  void setWorkersReachable(bool reachable) { failureDetector_.setWorkersReachable(reachable); }
  /// See FailureDetector::setPeerUnreachable().
  void setPeerUnreachable(bool unheard) { failureDetector_.setPeerUnreachable(unheard); }
  /// Returns the zones in which most machines are overdue.
  const std::set<ZoneId>& unreachableZones() const { return failureDetector_.unreachableZones(); }
  bool inUnreachableZone(const Machine& machine) const {
    return unreachableZones().contains(machine.zone);
  }

  /// Returns the evidence that attributes failed tasks to a job or to a machine.
  FailureAttribution& failureAttribution() { return failureAttribution_; }
  const FailureAttribution& failureAttribution() const { return failureAttribution_; }
  bool isFaulty(const Machine& machine) const { return failureAttribution_.isFaulty(machine.id); }

 private:
  DesiredState desiredStateOf(const Machine& machine, const AttemptId& id, Instant now) const;
  DesiredState desiredStateUnderNotice(const Machine& machine, const AttemptId& id,
                                       const JobSpec& spec, Instant now) const;
  void updateLease(const Report& report, const MemberId& receivedBy, Instant now);
  /// Logs and counts the attempts that were started again after they were cleared.
  void reportReappeared(Machine& machine) const;
  void logRegistration(const Machine& machine) const;
  void applyNotice(Machine& machine, Instant now) const;
  void updateFirstSeenRunning(Machine& machine, Instant now) const;
  void updateImageCache(Machine& machine) const;
  bool isUnrecorded(const Machine& machine) const;
  void updateUncertainLeases(Instant now);
  void updateAckedBeforeLeadership(const ZoneId& zone, Instant bound, Instant now);
  std::optional<Instant> silentSinceBeforeLeadership(const ZoneId& zone) const;
  Duration zoneSilenceTimeout(int machines) const;
  void applyVerdict(Machine& machine, const TerminationVerdict& verdict);
  void countLoss(MachineLoss loss);

  const Platform& platform_;
  const Replica& replica_;
  const LeaseTerms leaseTerms_;
  TokenRange tokens_;
  Instant leaderSince_;
  Instant newestReportAt_{};
  std::map<MachineId, Machine> machines_;
  std::map<MachineId, Instant> terminated_;
  std::set<MachineId> terminating_;
  std::set<MachineId> unrecorded_;
  LeaseObservations uncertainLeases_;
  std::set<MachineId> cordoned_;
  /// Holds the suspected zones that an earlier leader recorded.
  std::map<ZoneId, Instant> suspectedSince_;
  std::map<ZoneId, Instant> lastSuspectedZones_;
  std::map<ZoneId, Instant> zoneAckBounds_;
  std::map<ZoneId, Instant> ackedBeforeLeadership_;
  FailureAttribution failureAttribution_;
  std::uint32_t lostCount_ = 0;
  std::uint32_t neverBootedCount_ = 0;
  std::size_t reportingCount_ = 0;
  bool loggedLateHeartbeat_ = false;
  const Catalogue* catalogue_ = nullptr;
  FailureDetector failureDetector_;
};

}  // namespace kestrelhoist
