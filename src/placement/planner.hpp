/// \file
/// Plans which waiting tasks go to which machines, and what is stopped to make room. Pure: works on
/// a compact copy of the records; its cost follows the machines with room and the tasks that wait.
/// Its parts: plan_turns (whose turn it is), job_placement (where a job may go), machine_score (the
/// best place), preemption (room that others leave) and reservations (room that is gathered).
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/types.hpp"
#include "config/platform.hpp"
#include "jobs/spec.hpp"
#include "placement/job_queue.hpp"

namespace kestrelhoist {

/// A running task that may be stopped.
struct PlanTask {
  AttemptId id;
  std::shared_ptr<const JobSpec> spec;
  std::uint32_t team{};
  Duration age{};  ///< since it was seen to run, as far as known
};

/// An image on a machine, or on its way there.
struct PlanImage {
  std::uint32_t id{};
  double gb{};
  bool cached{};  ///< needs no fetch any more
};

/// Room that comes free as a task ends, by its owner's estimate.
struct PlanEnd {
  double inS{};
  Resources capacity;
};

/// A machine as the planner sees it.
struct PlanMachine {
  MachineId id;
  TypeId type;
  std::uint32_t zone{};
  bool spot{};
  bool usable{};                    ///< may get new work now
  bool keptForImage{};              ///< kept for the image that it holds
  bool leaseAtRisk{};               ///< its worker may lose its tasks within seconds
  double protectedShare{};          ///< share of it that protected services take
  Resources capacity;               ///< of the whole machine
  Resources free;                   ///< now
  Resources soon;                   ///< once everything that is stopping has gone
  std::vector<PlanImage> images;    ///< cached, being fetched or needed by what is placed there
  std::vector<PlanTask> stoppable;  ///< if something that waits may stop others
  std::vector<PlanEnd> ends;        ///< if room may have to be gathered
  double fetchGbPerS{};
};

/// A job with waiting tasks.
struct PlanJob {
  std::shared_ptr<const JobSpec> spec;
  std::int64_t acceptedAtMs{};
  double remainingS{};  ///< estimated run time of all its tasks that are not done, together
  std::uint32_t waiting{};
  std::uint32_t placed{};  ///< tasks that are on machines
  bool begun{};            ///< some of its tasks are done
  bool protectedService{};
  int priorityAdjustment{};
  std::optional<std::uint32_t>
      maxTasks;  ///< that it may have placed at once (calendar, pools); empty: no bound
  std::uint32_t image{};
  std::uint32_t team{};
  std::optional<std::uint32_t> zone;              ///< the only allowed one
  std::vector<std::uint32_t> perZone;             ///< tasks that may be on machines
  std::map<std::size_t, std::uint32_t> siblings;  ///< of a service: tasks by machine
  Revision modRevision;
  bool suspect{};                              ///< fails wherever it goes: nobody is stopped for it
  std::set<std::size_t> failedOn;              ///< machines: others tell more
  std::optional<std::size_t> excludedMachine;  ///< see FailureAttribution::excludedMachine()
};

/// All that a plan depends on.
struct PlanInput {
  std::vector<PlanMachine> machines;
  std::vector<PlanJob> jobs;
  std::vector<Team> teams;  ///< guarantee and limit, by number; those of unknown teams are zero
  std::vector<bool> teamKnown;
  std::vector<Resources> used;  ///< by team
  std::size_t zones{};
  std::int64_t nowMs{};  ///< time of day
  QueueSettings queue;
  std::size_t
      maxJobs{};  ///< of how many jobs tasks may be placed: the rest waits for the next plan
};

/// A task of a job goes to a machine.
struct Placement {
  std::size_t job{};      ///< index in the input
  std::size_t machine{};  ///< index in the input
};

/// A running task is stopped to make room.
struct Stop {
  AttemptId id;
  MachineId machine;
  Duration grace{};
};

/// What to do now, and what is left for later.
struct Plan {
  std::vector<Placement> placements;  ///< one for each task, the most important first
  std::vector<Stop> stops;
  std::vector<std::uint32_t> unplaced;  ///< per job of the input: tasks that found no room
  std::vector<std::uint32_t> clearing;  ///< per job: tasks for which room is being made
  std::vector<std::uint32_t> later;     ///< per job: tasks with room, for a later plan
  std::vector<std::uint32_t> withheld;  ///< per job: tasks that may not begin now (policy)
  std::vector<MachineId>
      reservedMachines;         ///< machines whose room is kept for work that waited long
  std::vector<bool> overLimit;  ///< per job: its team's limit left tasks unplaced
  bool deferred{};              ///< there was room for more jobs than maxJobs
};

/// The same input gives the same plan.
Plan makePlan(const PlanInput& input);

/// Time to save that a stopped task is given.
Duration graceFor(const JobSpec& spec);

}  // namespace kestrelhoist
