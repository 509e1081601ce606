/// \file
/// Decides which machines a leader gives up: dead, failed, never booted, reclaimed or faulty.
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

/// How a terminated machine enters the statistics of losses.
enum class MachineLoss { none, lost, neverBooted };

/// From where a leader knows the newest sign of life of a machine.
enum class SignOfLifeSource {
  ownReport,
  peerAcknowledgement,
  zoneAcknowledgements,
  record,
  leaderStart
};
const char* toString(SignOfLifeSource source);

/// The newest sign of life that a leader knows of a machine.
struct SignOfLife {
  Instant at;
  SignOfLifeSource source = SignOfLifeSource::leaderStart;
};

/// What sets how long a machine may be silent.
enum class SilenceLimit { failover, cutOffZone, blindLeader, failedProbes };
const char* toString(SilenceLimit limit);

/// Why silence was taken for a loss.
struct SilenceEvidence {
  SignOfLife newest;
  Duration silence{};
  Duration timeout{};
  SilenceLimit limit = SilenceLimit::failover;
};

/// The decision to terminate one machine.
struct TerminationVerdict {
  MachineLoss loss = MachineLoss::none;
  std::string reason;
  std::optional<SilenceEvidence> silence = std::nullopt;  ///< set if silence alone decided
};

/// How many machines that should report do so in time.
struct ReachabilityCounts {
  struct Zone {
    int onTime = 0;
    int overdue = 0;
  };
  std::map<ZoneId, Zone> zones;
  int expected = 0;
  int reporting = 0;
  int notReporting = 0;  ///< They answer direct commands but send no reports.

  /// Whether next to none of many machines reports. What fails then is this leader's own way to
  /// them (its peers may receive their reports all the time), so silence is no evidence.
  bool blind() const;
};

/// The failure detector of one leadership. It decides only; the Fleet carries the decisions out.
/// It runs on the controller's event loop and must not outlive the Fleet that owns it.
class FailureDetector {
 public:
  FailureDetector(const Fleet& fleet, const Platform& platform, const Replica& replica,
                  Instant leaderSince);

  /// Starts a pass: counts who reports, and finds the unreachable zones. `catalogue` may be null.
  /// `mayHaveActingLeader` tells whether a controller in a zone may be answering the workers there
  /// without this leader's knowledge.
  void beginPass(Instant now, const Catalogue* catalogue,
                 std::function<bool(const ZoneId&)> mayHaveActingLeader);
  /// Judges a machine within the pass; empty if it is kept. Call it once for each machine.
  [[nodiscard]] std::optional<TerminationVerdict> inspect(const Machine& machine);

  /// Zones of which more than one machine is overdue, and more than are on time.
  const std::set<ZoneId>& unreachableZones() const { return unreachableZones_; }
  /// Whether this controller's own way to the workers is known to work. Where it is not, a silent
  /// worker may be trying several nodes that hang, one after the other.
  void setWorkersReachable(bool reachable) { workersReachable_ = reachable; }
  /// Whether a peer that may be alive is not heard from here: it may be answering the workers.
  void setPeerUnheard(bool unheard) { peerUnheard_ = unheard; }

 private:
  ReachabilityCounts countReachability() const;
  std::size_t countDrainingWithTasks() const;
  void updateUnreachableZones();
  std::optional<TerminationVerdict> resumeTermination(const Machine& machine, bool hasTasks);
  std::optional<TerminationVerdict> inspectRemoval(const Machine& machine, bool hasTasks) const;
  std::optional<TerminationVerdict> inspectUnregistered(const Machine& machine) const;
  std::optional<TerminationVerdict> inspectUnheardZone(const Machine& machine) const;
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
  bool peerUnheard_ = false;
  std::set<ZoneId> unreachableZones_;
  std::map<ZoneId, Instant> zoneLastUnreachableAt_;

  /// The state of the present pass.
  Instant now_{};
  const Catalogue* catalogue_ = nullptr;
  std::function<bool(const ZoneId&)> mayHaveActingLeader_;
  ReachabilityCounts counts_;
  std::size_t drainingWithTasks_ = 0;
};

}  // namespace kestrelhoist
