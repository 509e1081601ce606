/// \file
/// Plans which waiting tasks are placed on which machines, and which running tasks are stopped to
/// free resources for them. The planner has no side effects: it reads a compact copy of the
/// records, and its running time grows with the number of machines that have free resources and
/// with the number of waiting tasks. plan_queue orders the jobs, job_placement checks where the
/// tasks of a job may run, machine_score rates the machines, preemption chooses tasks to stop, and
/// reservations keeps resources for jobs that have waited long.
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

/// Describes a running task that may be stopped.
struct PlanTask {
  AttemptId id;
  std::shared_ptr<const JobSpec> spec;
  std::uint32_t team{};
  Duration age{};  ///< This is the time since the task was first seen running, or 0 if it was not.
};

/// Describes an image that a machine has in its cache, or that its tasks need.
struct PlanImage {
  std::uint32_t id{};
  double gb{};
  bool cached{};  ///< The image is on the machine and needs no fetch.
};

/// Describes the resources that become free when a running task ends. The time of the end follows
/// from the estimate of the task's owner.
struct ExpectedTaskEnd {
  double inSeconds{};  ///< This is the estimated number of seconds until the task ends.
  Resources capacity;  ///< These are the resources of the task.
};

/// Describes a machine as the planner sees it.
struct PlanMachine {
  MachineId id;
  TypeId type;
  std::uint32_t zone{};
  bool spot{};
  bool usable{};        ///< New tasks may be placed on the machine now.
  bool keptForImage{};  ///< The policy keeps the machine because of an image in its cache.
  bool leaseAtRisk{};   ///< The worker's lease may expire within seconds, which kills its tasks.
  double protectedShare{};        ///< This is the share of the machine that protected services use.
  Resources capacity;             ///< This is the capacity of the whole machine.
  Resources free;                 ///< These resources are free now.
  Resources freeAfterStops;       ///< These resources are free once all stopping tasks have ended.
  std::vector<PlanImage> images;  ///< Holds the cached images and those that placed tasks need.
  std::vector<PlanTask> stoppable;  ///< Holds the running tasks that a waiting task may preempt.
  /// Is filled only if the planner may have to make reservations.
  std::vector<ExpectedTaskEnd> expectedEnds;
  double fetchGbPerS{};
};

/// Describes a job with waiting tasks.
struct PlanJob {
  std::shared_ptr<const JobSpec> spec;
  std::int64_t acceptedAtMs{};
  double remainingS{};      ///< This is the estimated run time of all unfinished tasks together.
  std::uint32_t waiting{};  ///< This is the number of waiting tasks.
  std::uint32_t placed{};   ///< This is the number of tasks that are on machines.
  bool hasFinishedTasks{};  ///< Some tasks of the job are done.
  bool protectedService{};
  int priorityAdjustment{};
  /// Limits how many tasks of the job may be on machines at once. The policy's calendar and pools
  /// set it; the job has no such limit if it is empty.
  std::optional<std::uint32_t> maxTasks;
  std::uint32_t image{};
  std::uint32_t team{};
  std::optional<std::uint32_t> zone;  ///< All tasks must run in this zone, if it is set.
  /// Holds the number of placed tasks by zone. It is counted only for services and for jobs with a
  /// constraint on zones.
  std::vector<std::uint32_t> perZone;
  std::map<std::size_t, std::uint32_t> siblings;  ///< Counts a service's placed tasks by machine.
  Revision modRevision;
  bool suspect{};  ///< The job fails on every machine, so no task is preempted for it.
  /// Holds the machines on which the job has failed. Other machines are preferred, because a result
  /// from them says more about whether the job or the machine is at fault.
  std::set<std::size_t> failedOn;
  std::optional<std::size_t>
      excludedMachine;  ///< FailureAttribution::excludedMachine() explains it.
};

/// Contains all data that a plan depends on.
struct PlanInput {
  std::vector<PlanMachine> machines;
  std::vector<PlanJob> jobs;
  /// Holds guarantee and limit of each team by team number; both are zero for an unknown team.
  std::vector<Team> teams;
  std::vector<bool> teamKnown;  ///< The team with this number is configured.
  std::vector<Resources> used;  ///< Holds the resources that each team uses, by team number.
  std::size_t zones{};
  std::int64_t nowMs{};  ///< This is the time of day.
  QueueSettings queue;
  /// Limits the number of jobs whose tasks one plan may place. The tasks of further jobs are placed
  /// by the next plan.
  std::size_t maxJobs{};
};

/// Places one task of a job on a machine.
struct Placement {
  std::size_t job{};      ///< Is an index into PlanInput::jobs.
  std::size_t machine{};  ///< Is an index into PlanInput::machines.
};

/// Stops a running task to free its resources.
struct Stop {
  AttemptId id;
  MachineId machine;
  Duration grace{};  ///< The task gets this time to save its state.
};

/// Contains the decisions of one planner run. Vectors described as "by job" have an entry for each
/// job of PlanInput::jobs.
struct Plan {
  std::vector<Placement> placements;    ///< Has one entry per task, in the order of the job queue.
  std::vector<Stop> stops;              ///< Holds the tasks to preempt.
  std::vector<std::uint32_t> unplaced;  ///< Counts, by job, the tasks that found no resources.
  /// Counts, by job, the tasks that wait for stopping tasks.
  std::vector<std::uint32_t> awaitingStops;
  /// Counts, by job, the tasks that found resources but are placed by a later plan.
  std::vector<std::uint32_t> laterTasks;
  std::vector<std::uint32_t> withheld;      ///< Counts, by job, the tasks that the policy delays.
  std::vector<MachineId> reservedMachines;  ///< These are reserved for jobs that have waited long.
  std::vector<bool> overLimit;  ///< Is set, by job, if the team's limit left tasks unplaced.
  bool hasLaterTasks{};         ///< Resources were free for tasks of more than maxJobs jobs.
};

/// Makes a plan. The same input always gives the same plan.
Plan makePlan(const PlanInput& input);

/// Returns the time that a preempted task gets to save its state.
Duration graceFor(const JobSpec& spec);

}  // namespace kestrelhoist
