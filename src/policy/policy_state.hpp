/// \file
/// Defines the policy state: the open calendar period, a mass failure, the warm machines. The
/// leader computes it at the end of each forecast interval and when a period opens or closes, and
/// commits it before any decision depends on it. The functions are pure, so every leader computes
/// the same state from the same record.
#pragma once

#include <map>
#include <set>

#include "forecast/forecast.hpp"
#include "policy/calendar.hpp"

namespace kestrelhoist {

/// Describes a mass failure in progress, in which many machines are lost at once.
struct MassFailure {
  std::int64_t sinceMs{};
  std::uint32_t lost{};   ///< counts the machines lost since it began
  std::uint32_t waves{};  ///< counts the forecast intervals with many losses
  /// Counts the latest consecutive forecast intervals without losses or repairs.
  std::uint32_t intervalsWithoutChange{};
  /// Counts the replicas of protected services that were not up at the end of the last interval.
  std::uint32_t missingReplicas{};
};

/// Describes one image of a warm pool: how many machines should hold it and which machines do.
struct WarmImage {
  std::uint32_t wanted{};
  std::set<MachineId> machines;
  double gb{};
  Forecast starts;  ///< forecasts how many tasks with this image start in an interval
};

/// Holds the policy state as it is stored in the state service.
struct PolicyState {
  std::uint64_t policyVersion{};  ///< is the version of the policy document applied; 0 if none
  /// Openings and closings of periods up to this time of day have been applied; it never decreases.
  std::int64_t appliedUntilMs{};
  std::string openPeriodName;  ///< names the open period; empty if no period is open
  std::int64_t openedAtMs{}, closesMs{};
  std::uint64_t openedCount{}, closedCount{};  ///< count all openings and closings so far
  /// Holds the maximum number of machines that prioritized jobs have held or waited for since the
  /// period opened.
  double peak{};
  /// Maps the name of each period to the peak of its most recent opening.
  std::map<std::string, double> lastPeaks;
  /// Forecasts the number of machines that prioritized jobs hold or wait for.
  Forecast demandForecast{6};
  /// Holds the value that `demandForecast` predicts at its horizon.
  Prediction expectedDemand;
  std::optional<MassFailure> massFailure;
  std::map<ImageId, WarmImage> pools;
  /// Holds the share of the protected replicas on lost machines that fit on other machines, for the
  /// worst loss of a zone or of as many machines as the policy names.
  double coveredShare = 1;
  /// Counts the protected replicas that fit on no other machine after this loss.
  std::uint32_t uncoveredReplicas{};
  /// Keeps the fields that a newer version of the program has written.
  Json unknownFields = Json::object();
};

Json toJson(const PolicyState& s);
PolicyState policyStateFromJson(const Json& v);

/// Holds the leader's observations of the forecast interval that ends.
struct PolicyObservation {
  std::int64_t nowMs{};  ///< is the time of day on which the controllers agree
  /// Counts the machines that prioritized jobs of the open period hold or wait for.
  double prioritizedMachines{};
  bool windowEnds{};  ///< is true at the end of a forecast interval
  std::uint32_t machines{}, lost{}, notices{}, unreachableZones{}, neverBooted{}, missingReplicas{};
  std::map<ImageId, double> starts;
};

/// Computes the next policy state from the state `before`. `policy` is null if no policy is set.
PolicyState computePolicyState(const Policy* policy, std::uint64_t version,
                               const PolicyState& before, const PolicyObservation& observation,
                               double spreadMultiple, std::mt19937_64& random);

/// Describes a yielding job for maxTasksOfYieldingJobs().
struct YieldingJob {
  double share{};                   ///< is the share of a machine that one task takes
  std::uint32_t waiting{}, held{};  ///< count the waiting tasks and the placed tasks
};
/// Returns for each yielding job how many tasks it may run if all of them may hold `machines`
/// together. Each job may run at least one task; the remaining machines are shared evenly.
std::vector<std::uint32_t> maxTasksOfYieldingJobs(const std::vector<YieldingJob>& jobs,
                                                  double machines);

}  // namespace kestrelhoist
