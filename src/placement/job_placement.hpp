/// \file
/// Where the tasks of one job may go: its team's quota, its constraints and the images that it
/// needs.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "placement/plan_state.hpp"
#include "placement/reservations.hpp"

namespace kestrelhoist {

/// Slack in comparisons of sums of rooms.
inline constexpr double kRoomTolerance = 1e-6;

/// How many of a job's tasks each zone and, of a service, each machine has.
struct TaskSpread {
  std::vector<std::uint32_t> perZone;
  std::map<std::size_t, std::uint32_t> siblings;  ///< by machine
};

/// The job whose tasks are being placed. Machines go by their index in PlanInput::machines.
class JobPlacement {
 public:
  JobPlacement(const PlanInput& input, PlanState& state, const Reservations& reservations,
               const PlanJob& job, TaskSpread spread);

  const PlanJob& job() const { return job_; }
  const JobSpec& spec() const { return *job_.spec; }
  const TaskSpread& spread() const { return spread_; }

  /// Whether one more task stays within the limit of the job's team.
  bool withinLimit() const;
  /// Whether one more task stays within what the job's team is guaranteed.
  bool withinGuarantee() const;
  /// Whether a task may be on this machine at all, given the job's other tasks.
  bool allowed(std::size_t machine) const;
  /// Whether the machine has free room for a task.
  bool fits(std::size_t machine) const;

  bool holdsImage(std::size_t machine) const;
  /// How long fetching the job's image there takes by itself.
  double fetchSeconds(std::size_t machine) const;
  /// How long a task would wait for its image there; fetches of several images share the rate.
  double startDelaySeconds(std::size_t machine) const;

  /// Books free room for a task.
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

/// Whether a team uses more than it is guaranteed.
bool exceedsGuarantee(const Resources& used, const Resources& guaranteed);

}  // namespace kestrelhoist
