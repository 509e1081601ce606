/// \file
/// Checks on which machines the tasks of one job may run, by its team's quota, its constraints and
/// its image.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "placement/plan_state.hpp"
#include "placement/reservations.hpp"

namespace kestrelhoist {

/// Comparisons of summed resources allow this rounding error.
inline constexpr double kResourceTolerance = 1e-6;

/// Counts a job's placed tasks by zone and, for a service, also by machine.
struct TaskSpread {
  std::vector<std::uint32_t> perZone;
  std::map<std::size_t, std::uint32_t> siblings;  ///< Counts a service's tasks by machine.
};

/// Checks and books machines for the tasks of one job. A machine is identified by its index in
/// PlanInput::machines.
class JobPlacement {
 public:
  JobPlacement(const PlanInput& input, PlanState& state, const Reservations& reservations,
               const PlanJob& job, TaskSpread spread);

  const PlanJob& job() const { return job_; }
  const JobSpec& spec() const { return *job_.spec; }
  const TaskSpread& spread() const { return spread_; }

  /// Returns whether one more task stays within the limit of the job's team.
  bool withinLimit() const;
  /// Returns whether one more task stays within the guaranteed resources of the job's team.
  bool withinGuarantee() const;
  /// Returns whether the job's constraints, its other tasks and the reservations allow a task on
  /// this machine. Free resources are not checked; fits() checks them.
  bool allowed(std::size_t machine) const;
  /// Returns whether a task fits into the free resources of the machine.
  bool fits(std::size_t machine) const;

  /// Returns whether the job's image is in the cache of the machine.
  bool holdsImage(std::size_t machine) const;
  /// Returns how long a fetch of the job's image to the machine takes if no other fetch runs there.
  double fetchSeconds(std::size_t machine) const;
  /// Returns how long a task would wait for its image on the machine. Concurrent fetches of several
  /// images share the machine's fetch rate.
  double startDelaySeconds(std::size_t machine) const;

  /// Books free resources of the machine for a task.
  void book(std::size_t machine);

 private:
  bool endsBeforeReservation(std::size_t machine) const;
  bool inOneZone(std::uint32_t zone) const;

  const PlanInput& input_;
  PlanState& state_;
  const Reservations& reservations_;
  const PlanJob& job_;
  TaskSpread spread_;
};

/// Returns whether a team uses more resources than it is guaranteed.
bool exceedsGuarantee(const Resources& used, const Resources& guaranteed);

}  // namespace kestrelhoist
