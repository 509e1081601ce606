/// \file
/// Decides which machines a leader terminates because they are dead, failed, never booted,
/// reclaimed by the cloud or faulty.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "fleet/lease_renewal.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {

class Fleet;
struct Machine;

/// Says how a terminated machine is counted in the statistics of lost machines.
enum class MachineLoss { none, lost, neverBooted };

/// Names the source from which a leader knows a machine's newest sign of life.
enum class SignOfLifeSource {
  ownReport,
  peerAcknowledgement,
  zoneAcknowledgements,
  record,
  leaderStart
};
const char* toString(SignOfLifeSource source);

/// Holds a machine's newest sign of life, as a leader knows it. A sign of life is a report or an
/// acknowledged heartbeat.
struct SignOfLife {
  Instant at;
  SignOfLifeSource source = SignOfLifeSource::leaderStart;
};

/// Names the rule that limits how long a machine may be silent. A machine is silent while no sign
/// of life of it arrives.
enum class SilenceLimit { failover, cutOffZone, isolatedLeader, failedProbes };
const char* toString(SilenceLimit limit);

/// Holds the evidence by which a silent machine was declared lost.
struct SilenceEvidence {
  SignOfLife newest;
  Duration silence{};
  Duration timeout{};
  SilenceLimit limit = SilenceLimit::failover;
};

/// Holds the decision to terminate one machine.
struct TerminationVerdict {
  MachineLoss loss = MachineLoss::none;
  std::string reason;
  /// Is set if the machine's silence is the only reason.
  std::optional<SilenceEvidence> silence = std::nullopt;
};

/// Counts, among the machines that should report, those whose reports arrive on time.
struct ReachabilityCounts {
  struct Zone {
    int onTime = 0;
    int overdue = 0;
  };
  std::map<ZoneId, Zone> zones;
  int expected = 0;
  int reporting = 0;
  /// Counts the machines that answer direct commands but send no heartbeats.
  int notReporting = 0;

  /// Returns whether fewer than a tenth of at least four expected machines report. The likely cause
  /// is a failed link of this leader, and its peers may still receive the reports, so silence is no
  /// evidence of a loss.
  bool isLeaderIsolated() const;
};

/// Detects failed machines during one leadership. It only decides; the Fleet requests the
/// terminations. It runs on the controller's event loop and must not outlive the Fleet that owns
/// it.
class FailureDetector {
 public:
  FailureDetector(const Fleet& fleet, const Platform& platform, const Replica& replica,
                  Instant leaderSince);

  /// Starts a pass: counts the machines that report and finds the unreachable zones. `catalogue`
  /// may be null. `mayHaveActingLeader` returns whether a controller in the zone may be answering
  /// the zone's workers without this leader's knowledge.
  void beginPass(Instant now, const Catalogue* catalogue,
                 std::function<bool(const ZoneId&)> mayHaveActingLeader);
  /// Returns a verdict if the machine is to be terminated in this pass, otherwise nothing. It must
  /// be called once for each machine.
  [[nodiscard]] std::optional<TerminationVerdict> inspect(const Machine& machine);

  /// Returns the zones in which at least two machines are overdue and more are overdue than on
  /// time.
  const std::set<ZoneId>& unreachableZones() const { return unreachableZones_; }
  /// Sets whether this controller is known to reach workers. If not, a silent worker may be trying
  /// several controllers that accept its connection and never answer, one after the other.
  void setWorkersReachable(bool reachable) { workersReachable_ = reachable; }
  /// Sets whether this controller can't reach a peer that may be running. Such a peer may be
  /// answering the workers.
  void setPeerUnreachable(bool unheard) { peerUnreachable_ = unheard; }

 private:
  ReachabilityCounts countReachability() const;
  std::size_t countDrainingWithTasks() const;
  void updateUnreachableZones();
  std::optional<TerminationVerdict> resumeTermination(const Machine& machine, bool hasTasks);
  std::optional<TerminationVerdict> inspectRemoval(const Machine& machine, bool hasTasks) const;
  std::optional<TerminationVerdict> inspectUnregistered(const Machine& machine) const;
  std::optional<TerminationVerdict> inspectUnreportedZone(const Machine& machine) const;
  std::optional<TerminationVerdict> inspectSilence(const Machine& machine) const;
  bool mayBeCutOff(const Machine& machine) const;
  bool mayBeAnswered(const ZoneId& zone) const;
  Duration silenceOf(const Machine& machine) const;
  struct Timeout {
    Duration duration{};
    SilenceLimit limit = SilenceLimit::failover;
  };
  Timeout silenceTimeout(const Machine& machine) const;
  Duration cutOffTimeout(const Machine& machine) const;
  Duration failoverTime() const;

  const Fleet& fleet_;
  const Platform& platform_;
  const Replica& replica_;
  const LeaseRenewal renewal_;
  const Instant leaderSince_;
  bool workersReachable_ = true;
  bool peerUnreachable_ = false;
  std::set<ZoneId> unreachableZones_;
  std::map<ZoneId, Instant> zoneLastUnreachableAt_;

  /// These members hold the state of the current pass.
  Instant now_{};
  const Catalogue* catalogue_ = nullptr;
  std::function<bool(const ZoneId&)> mayHaveActingLeader_;
  ReachabilityCounts counts_;
  std::size_t drainingWithTasks_ = 0;
};

}  // namespace kestrelhoist
