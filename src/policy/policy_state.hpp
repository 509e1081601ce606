/// \file
/// What of the policy is in force, since when: decided by the leader once a window or at a
/// boundary, and on record before anything follows from it. Pure: every leader comes to the same
/// from the same record.
#pragma once

#include <map>
#include <set>

#include "forecast/forecast.hpp"
#include "policy/calendar.hpp"

namespace kestrelhoist {

struct MassFailure {
  std::int64_t sinceMs{};
  std::uint32_t lost{};     ///< machines, so far
  std::uint32_t waves{};    ///< windows that brought more losses
  std::uint32_t calm{};     ///< windows in a row in which nothing more was lost or repaired
  std::uint32_t missing{};  ///< replicas of protected services that were not up in the last window
};

/// One image of a pool: how many machines shall hold it, and which do.
struct WarmImage {
  std::uint32_t wanted{};
  std::set<MachineId> machines;
  double gb{};
  Forecast starts;  ///< in a window
};

struct PolicyState {
  std::uint64_t policy{};  ///< the version it was decided under; 0: none
  std::int64_t actedMs{};  ///< boundaries up to here were acted on; never goes back
  std::string open;        ///< the period, if one is open
  std::int64_t openedAtMs{}, closesMs{};
  std::uint64_t opened{}, closed{};
  double peak{};                       ///< machines that the period's first took at most, so far
  std::map<std::string, double> last;  ///< the same of each period's last opening
  Forecast day{6};                     ///< of the machines that those who go first take
  Prediction expected;                 ///< of it, at the horizon
  std::optional<MassFailure> massFailure;
  std::map<ImageId, WarmImage> pools;
  double covered =
      1;  ///< share of the protected replicas that the loss of a zone leaves a place for
  std::uint32_t uncovered{};
  Json others = Json::object();  ///< fields of a newer version, kept
};

Json toJson(const PolicyState& s);
PolicyState policyStateFrom(const Json& v);

/// What was seen in the window that ends.
struct PolicyObservation {
  std::int64_t nowMs{};          ///< time of day, as the controllers agree on it
  double prioritizedMachines{};  ///< taken or waited for by those who go first in the open period
  bool windowEnds{};
  std::uint32_t machines{}, lost{}, notices{}, unreachableZones{}, lateBoots{}, missing{};
  std::map<ImageId, double> starts;
};

/// The next standing. `policy` null: none is set.
PolicyState decidePolicyState(const Policy* policy, std::uint64_t version,
                              const PolicyState& before, const PolicyObservation& seen,
                              double spreadMultiple, std::mt19937_64& random);

/// Of jobs that yield and together may hold so many machines: how many tasks each may hold. Each
/// may begin; what is over goes evenly.
struct YieldingJob {
  double share{};  ///< of a machine that a task takes
  std::uint32_t waiting{}, held{};
};
std::vector<std::uint32_t> shareAmong(const std::vector<YieldingJob>& jobs, double machines);

}  // namespace kestrelhoist
