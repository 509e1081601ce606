// The leader's picture of the machines: what their workers report, what the cloud lists, which
// images they hold, which are suspected dead. Lives as long as one leadership.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "failures/failure_attribution.hpp"
#include "fleet/lease_renewal.hpp"
#include "fleet/reconcile.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

enum class Listed { never, booting, running, failed, missing };

struct Machine {
  MachineId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  WorkerSession session;
  std::optional<Instant> terminationNoticeEnds;  // the cloud takes it away about then
  Listed listed = Listed::never;
  int missedLists{};
  Instant rentedAt{};  // as far as known
  Instant firstSeen{};
  std::optional<Instant> ackedByPeerAt;  // by another controller, before this leader heard it
  std::optional<Instant> runningSince;   // first listed as running
  std::string address;                   // as last reported or listed
  Instant probedAt{};                    // last asked directly
  int failedProbes{};                    // direct questions in a row without an answer
  // Since when it is known to answer questions while its lease ended, and to report nothing: no
  // controller answers its reports, so that whatever runs on it ends with its lease.
  std::optional<Instant> notReportingSince;
  bool terminationRequested{};
  std::string terminationReason;
  struct Image {
    std::uint32_t id{};  // its number in the replica
    double gb{};
    bool cached{};  // a task has run with it; otherwise it is being fetched
  };
  std::deque<Image> images;                       // newest first
  std::map<AttemptId, Instant> firstSeenRunning;  // since when, for ages

  bool hasReported() const { return session.lastReport.has_value(); }
};

class Fleet {
 public:
  Fleet(const Platform& platform, const Replica& replica, FencingToken token, Instant now);

  // Takes a worker's report; returns the orders. `mayLaunch`: the leader is sure of its leadership.
  std::vector<WorkerCommand> onReport(const Report& report, Instant now, bool mayLaunch);
  // The same for machines that have something to be told now, outside a report.
  std::vector<WorkerCommand> commandsFor(Machine& m, Instant now, bool mayLaunch);
  // A report that came as the answer to a direct command. False if it was not newer.
  bool applyReport(const Report& report, Instant now, bool isHeartbeat = false);
  // Zones of which nothing has come for longer than the number of their machines explains, with the
  // newest sign of any of them.
  std::map<ZoneId, Instant> suspectedZones(Instant now) const;
  // What others tell of a machine that this leader has not heard: when it was last answered.
  void noteAckByPeer(const MachineId& id, Instant at);
  // The same of all machines of a zone that an earlier leader found silent since then.
  void restoreSuspectedZone(const ZoneId& zone, Instant at) { suspectedSince_[zone] = at; }

  // An earlier leader knew that it holds this image, from tasks that are long over.
  void noteCachedImage(const MachineId& id, std::uint32_t image, double gb);
  void onList(const std::vector<std::pair<MachineId, Machine>>& listed, Instant now,
              Duration listLag);
  // Machines on record that were never seen yet get an entry.
  void adoptRecords(Instant now, std::int64_t wallMs);

  Machine* find(const MachineId& id);
  std::map<MachineId, Machine>& machines() { return machines_; }
  // Machines that were given up because they were dead or out of reach, and that never came up.
  std::uint32_t lost() const { return lost_; }
  std::uint32_t neverBooted() const { return neverBooted_; }
  std::size_t reportingCount() const { return reportingCount_; }
  // Machines to be released, until they are.
  const std::set<MachineId>& terminating() const { return terminating_; }
  // Machines that get no more work, to be given back once they are empty.
  std::set<MachineId>& cordoned() { return cordoned_; }
  // Whether a machine that should have reported by now is worth a direct question.
  bool isOverdue(const Machine& m, Instant now) const;
  bool inUnreachableZone(const Machine& m) const { return unreachableZones_.contains(m.zone); }
  // The same of one that this leader has not heard although tasks may be on it: its worker may
  // report to a controller that can do nothing for it.
  bool hasUnconfirmedTasks(const Machine& m, Instant now) const;
  // Zones from which hardly any machine reports that should.
  const std::set<ZoneId>& unreachableZones() const { return unreachableZones_; }
  // Machines that report although they are on no rental's record, found by judge().
  const std::set<MachineId>& unrecorded() const { return unrecorded_; }
  void requestStop(const AttemptId& id, const MachineId& machine, Duration grace);
  void requestTermination(Machine& m, const std::string& why);
  // The cloud has confirmed the release: whatever its name still appears in is old.
  void onReleased(const MachineId& id, Instant now);
  bool isReleased(const MachineId& id) const { return released_.contains(id); }

  // Whether new work may be placed on it.
  bool usable(const Machine& m, Instant now) const;
  // Machines to give up: dead, failed, never booted, taken, faulty.
  // `mayHaveActingLeader` tells whether a controller in that zone may be answering its workers
  // unseen.
  void detectFailures(Instant now, const Catalogue* catalogue,
                      const std::function<bool(const ZoneId&)>& mayHaveActingLeader);
  // Whether this controller's own way to the workers is known to work. Where it is not, a silent
  // worker may be on a tour of several nodes that hang.
  void setWorkersReachable(bool reached) { workersReachable_ = reached; }
  // Whether its report is not yet due.
  bool isOnTime(const Machine& m, Instant now) const {
    return m.hasReported() && now - m.session.lastReportAt <= reportDue();
  }
  // The newest sign of any worker.
  Instant lastReportOfAny() const { return lastReportOfAny_; }
  // What speaks against jobs and machines whose tasks end in error.
  FailureAttribution& failureAttribution() { return failureAttribution_; }
  const FailureAttribution& failureAttribution() const { return failureAttribution_; }
  bool faulty(const Machine& m) const { return failureAttribution_.faulty(m.id); }

 private:
  // The newest sign of life that is known of a machine.
  Instant lastSignOfLife(const Machine& m) const;
  DesiredState desiredStateOf(const Machine& m, const AttemptId& id, Instant now) const;
  void updateImageCache(Machine& m);
  Duration failoverTime() const;
  Duration reportDue() const;

  const Platform& platform_;
  const LeaseRenewal renewal_;
  const Replica& replica_;
  FencingToken token_;
  Instant since_;
  Instant lastReportOfAny_{};
  std::map<MachineId, Machine> machines_;
  std::map<MachineId, Instant> released_;
  std::set<MachineId> terminating_;
  std::set<MachineId> unrecorded_;
  std::set<MachineId> cordoned_;
  std::set<ZoneId> unreachableZones_;
  std::map<ZoneId, Instant> zoneUnreachableAt_;  // when last
  std::map<ZoneId, Instant> suspectedSince_;     // since when, as an earlier leader recorded it
  FailureAttribution failureAttribution_;
  std::uint32_t lost_ = 0, neverBooted_ = 0;
  bool workersReachable_ = true;
  std::size_t reportingCount_ = 0;
  const Catalogue* catalogue_ = nullptr;
};

}  // namespace kestrelhoist
