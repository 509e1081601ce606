/// \file
/// The leader's inventory of the machines: what their workers report, what the cloud lists, which
/// images they hold, and which are to be terminated. It lives as long as one leadership.
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

/// What the cloud's list of machines says of one.
enum class Listed { never, booting, running, failed, missing };

/// What the leader knows of one machine.
struct Machine {
  MachineId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  WorkerSession session;
  LeaseEstimate lease;
  std::optional<Instant> terminationNoticeEnds;  ///< About when the cloud reclaims it.
  Listed listed = Listed::never;
  int missedLists{};
  Instant rentedAt{};  ///< As far as known.
  Instant firstSeen{};
  /// When another controller last acknowledged a report of it, before this leader received one.
  std::optional<Instant> ackedByPeerAt;
  std::optional<Instant> runningSince;  ///< When the cloud first listed it as running.
  std::string address;                  ///< As last reported or listed.
  Instant probedAt{};                   ///< When it was last probed directly.
  int failedProbes{};                   ///< Probes in a row without an answer.
  Instant newestFailedProbe{};          ///< When the newest of them was sent.
  /// Since when it is known to answer probes although its lease ended and it reports nothing: no
  /// controller answers its reports, so whatever runs on it ends with its lease.
  std::optional<Instant> notReportingSince;
  bool terminationRequested{};
  std::string terminationReason;
  ImageCache images;
  std::map<AttemptId, Instant> firstSeenRunning;  ///< For the ages of its tasks.

  /// Whether this leader has received a report of it.
  bool hasReported() const { return session.lastReport.has_value(); }
};

/// All machines of one leadership. Everything runs on the controller's event loop.
class Fleet {
 public:
  Fleet(const Platform& platform, const Replica& replica, FencingToken token, Instant now);
  Fleet(const Fleet&) = delete;  ///< The failure detector refers to it.
  Fleet& operator=(const Fleet&) = delete;

  /// Applies a worker's heartbeat and returns the commands that answer it. `receivedBy`: the
  /// controller to which the worker sent it. `mayLaunch`: the leader is sure of its leadership.
  std::vector<WorkerCommand> onReport(const Report& report, const MemberId& receivedBy, Instant now,
                                      bool mayLaunch);
  /// Returns the commands for a machine at any other moment, from its newest report.
  std::vector<WorkerCommand> commandsFor(Machine& machine, Instant now, bool mayLaunch);
  /// Applies a report; false if it was not newer. `isHeartbeat`: the worker sent it of its own
  /// accord, not as the answer to a direct command.
  bool applyReport(const Report& report, Instant now, bool isHeartbeat = false);

  /// Zones whose machines are all overdue, or have all been silent for longer than their number
  /// explains, with the newest sign of life of any of them. Zones that this leader never heard are
  /// included if their silence is known from before.
  std::map<ZoneId, Instant> suspectedZones(Instant now) const;
  /// The same as of the last detectFailures().
  const std::map<ZoneId, Instant>& lastSuspectedZones() const { return lastSuspectedZones_; }
  /// An earlier leader found all machines of a zone silent since `at`.
  void restoreSuspectedZone(const ZoneId& zone, Instant at) { suspectedSince_[zone] = at; }
  /// Sets the instants after which no controller acknowledged a heartbeat of a zone; see
  /// ZoneAckLog.
  void setZoneAckBounds(std::map<ZoneId, Instant> bounds, Instant now);
  /// Until when any controller may have acknowledged a heartbeat of a machine in this zone that has
  /// not reported to this leader, if that was before this leadership; empty if it is not known.
  std::optional<Instant> lastAckBeforeLeadership(const ZoneId& zone) const;
  /// A peer last acknowledged a report of the machine at `at`.
  void noteAckByPeer(const MachineId& id, Instant at);
  /// Takes in what a controller knows of workers' leases.
  void adoptLeases(const LeaseSightings& sightings);
  /// What is known of the leases that were uncertain at the last detectFailures(), of machines with
  /// tasks: a few dozen at most, those that end first.
  const LeaseSightings& uncertainLeases() const { return uncertainLeases_; }
  /// An earlier leader knew that the machine holds this image, from tasks that are long over.
  void noteCachedImage(const MachineId& id, std::uint32_t image, double gb);
  /// Applies the cloud's list of machines, which lags by up to `listLag`.
  void onList(const std::vector<std::pair<MachineId, Machine>>& listed, Instant now,
              Duration listLag);
  /// Adds an entry for each machine on record that has none.
  void adoptRecords(Instant now, std::int64_t wallMs);

  /// Null if the machine is not known.
  Machine* find(const MachineId& id);
  const Machine* find(const MachineId& id) const;
  std::map<MachineId, Machine>& machines() { return machines_; }
  const std::map<MachineId, Machine>& machines() const { return machines_; }
  /// Number of machines that were given up because they were dead or out of reach.
  std::uint32_t lost() const { return lost_; }
  /// Number of machines that were given up because they never came up.
  std::uint32_t neverBooted() const { return neverBooted_; }
  std::size_t reportingCount() const { return reportingCount_; }
  /// Machines to be terminated, until the cloud has confirmed it.
  const std::set<MachineId>& terminating() const { return terminating_; }
  /// Machines that get no more work, to be terminated once they are empty.
  std::set<MachineId>& cordoned() { return cordoned_; }
  /// Machines that report although they are on no rental's record, found by detectFailures().
  const std::set<MachineId>& unrecorded() const { return unrecorded_; }

  /// Reports come every reportEvery, give or take a quarter; they are late after this long.
  Duration reportDue() const;
  /// Whether the machine has reported and its next report is not due yet.
  bool isOnTime(const Machine& machine, Instant now) const;
  /// Whether a machine that should have reported by now is worth a direct probe.
  bool isOverdue(const Machine& machine, Instant now) const;
  /// Whether a machine that this leader has no report of may have tasks: its worker may report to
  /// a controller that can do nothing for it, so that it is worth a direct probe, too.
  bool hasUnconfirmedTasks(const Machine& machine, Instant now) const;
  /// The earliest end of the worker's present lease; empty if nothing is known of it.
  std::optional<Instant> earliestLeaseEnd(const Machine& machine) const {
    return machine.lease.earliestEnd(leaseTerms_);
  }
  /// Whether the worker's lease ends within seconds unless an answer arrives; see LeaseEstimate.
  bool isLeaseAtRisk(const Machine& machine, Instant now) const {
    return machine.lease.isAtRisk(leaseTerms_, now);
  }
  /// The newest sign of life that is known of a machine, and from where.
  SignOfLife signOfLife(const Machine& machine) const;
  Instant lastSignOfLife(const Machine& machine) const { return signOfLife(machine).at; }
  /// Logs, for each zone, the newest sign of life of its machines and from where it is known. Call
  /// it once a new leader's initial heartbeat round is complete.
  void logSignsOfLife(Instant now) const;
  /// Called with the silence of each machine that is given up for it.
  std::function<void(Duration silence)> onGivenUpForSilence;
  /// When the newest report of any worker arrived.
  Instant lastReportOfAny() const { return lastReportOfAny_; }
  /// Whether new work may be placed on the machine.
  bool usable(const Machine& machine, Instant now) const;

  void requestStop(const AttemptId& id, const MachineId& machine, Duration grace);
  void requestTermination(Machine& machine, const std::string& why);
  /// The cloud has confirmed the termination: whatever still names the machine is out of date.
  void onReleased(const MachineId& id, Instant now);
  bool isReleased(const MachineId& id) const { return released_.contains(id); }

  /// Requests the termination of all machines that the failure detector gives up. `catalogue` may
  /// be null and must outlive its replacement at the next call; see FailureDetector::beginPass()
  /// for `mayHaveActingLeader`.
  void detectFailures(Instant now, const Catalogue* catalogue,
                      const std::function<bool(const ZoneId&)>& mayHaveActingLeader);
  /// See FailureDetector::setWorkersReachable().
  void setWorkersReachable(bool reachable) { failureDetector_.setWorkersReachable(reachable); }
  /// See FailureDetector::setPeerUnheard().
  void setPeerUnheard(bool unheard) { failureDetector_.setPeerUnheard(unheard); }
  /// Zones from which hardly any machine reports that should.
  const std::set<ZoneId>& unreachableZones() const { return failureDetector_.unreachableZones(); }
  bool inUnreachableZone(const Machine& machine) const {
    return unreachableZones().contains(machine.zone);
  }

  /// What speaks against jobs and machines whose tasks end in error.
  FailureAttribution& failureAttribution() { return failureAttribution_; }
  const FailureAttribution& failureAttribution() const { return failureAttribution_; }
  bool faulty(const Machine& machine) const { return failureAttribution_.isFaulty(machine.id); }

 private:
  DesiredState desiredStateOf(const Machine& machine, const AttemptId& id, Instant now) const;
  DesiredState desiredStateUnderNotice(const Machine& machine, const AttemptId& id,
                                       const JobSpec& spec, Instant now) const;
  void updateLease(const Report& report, const MemberId& receivedBy, Instant now);
  void logRegistration(const Machine& machine) const;
  void applyNotice(Machine& machine, Instant now) const;
  void updateFirstSeenRunning(Machine& machine, Instant now) const;
  void updateImageCache(Machine& machine) const;
  bool isUnrecorded(const Machine& machine) const;
  void updateUncertainLeases(Instant now);
  void updateAckedBeforeLeadership(const ZoneId& zone, Instant bound, Instant now);
  std::optional<Instant> silentBeforeLeadership(const ZoneId& zone) const;
  Duration zoneSilence(int machines) const;
  void giveUp(Machine& machine, const TerminationVerdict& verdict);
  void countLoss(MachineLoss loss);

  const Platform& platform_;
  const Replica& replica_;
  const LeaseTerms leaseTerms_;
  FencingToken token_;
  Instant leaderSince_;
  Instant lastReportOfAny_{};
  std::map<MachineId, Machine> machines_;
  std::map<MachineId, Instant> released_;
  std::set<MachineId> terminating_;
  std::set<MachineId> unrecorded_;
  LeaseSightings uncertainLeases_;
  std::set<MachineId> cordoned_;
  std::map<ZoneId, Instant> suspectedSince_;  ///< as an earlier leader recorded it
  std::map<ZoneId, Instant> lastSuspectedZones_;
  std::map<ZoneId, Instant> zoneAckBounds_;
  std::map<ZoneId, Instant> ackedBeforeLeadership_;
  FailureAttribution failureAttribution_;
  std::uint32_t lost_ = 0;
  std::uint32_t neverBooted_ = 0;
  std::size_t reportingCount_ = 0;
  bool loggedLateHeartbeat_ = false;
  const Catalogue* catalogue_ = nullptr;
  FailureDetector failureDetector_;
};

}  // namespace kestrelhoist
