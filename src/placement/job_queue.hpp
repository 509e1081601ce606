/// \file
/// Orders the waiting jobs, and limits how many tasks of each job are served at a time. The same
/// order is used for placing tasks, preempting others, reserving resources and renting machines.
/// The functions here have no side effects. docs/order.md compares the alternatives.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jobs/spec.hpp"

namespace kestrelhoist {

/// Controls how the job queue keeps long-waiting jobs from starving.
struct QueueSettings {
  /// Once a large batch job has waited this long, newer jobs may overtake it only after it has got
  /// a share of the machines.
  Duration agingThreshold{60000};
  /// A batch job that has waited this long without starting a task gets one task before the other
  /// jobs of its priority, so that all jobs start within four minutes. With a shorter time, fewer
  /// jobs finish under a lasting load.
  Duration firstTaskThreshold{180000};
  /// A job overtakes an older one only if it was accepted at least this much later.
  Duration acceptanceTolerance{30000};
  /// The overtaken jobs together first get this share of the machines that they may use, the oldest
  /// job first. Then all jobs are served by least remaining work.
  double overtakenShare = 0.25;
  /// A job counts as large if its remaining work is at least this many times the median of the
  /// waiting jobs. Only large jobs starve under least remaining work; if smaller jobs were served
  /// by age as well, fewer jobs would finish in time.
  double largeJobFactor = 3;
};

/// Describes a waiting job as the queue sees it.
struct QueuedJob {
  std::shared_ptr<const JobSpec> spec;
  std::int64_t acceptedAtMs{};  ///< This is the time of day from the job's record.
  double remainingS{};          ///< This is the estimated run time of all unfinished tasks.
  std::uint32_t waiting{};      ///< This is the number of waiting tasks.
  /// Counts the job's tasks that are on machines. The order depends on it and on `acceptedAtMs`,
  /// and both are on record, so a new leader continues with the same order.
  std::uint32_t placed{};
  bool hasFinishedTasks{};  ///< Some tasks of the job are done.
  bool protectedService{};  ///< The policy serves the job before all others, whatever its priority.
  int priorityAdjustment{};  ///< Within a priority, the calendar puts 1 first and -1 last.
  /// Limits how many tasks of the job may be on machines at once. The policy's calendar and pools
  /// set it; the job has no such limit if it is empty.
  std::optional<std::uint32_t> maxTasks;
};

/// Allows a job to place up to `maxTasks` tasks. A job may have two entries in the queue.
struct QueueEntry {
  std::size_t job{};  ///< Is an index into the jobs that orderQueue() was called with.
  std::uint32_t maxTasks{};
  bool overdue{};  ///< Resources are reserved for the job if none are free.
};

/// Returns the queue entries of all jobs in the order in which they are served. `machinesFor` holds
/// by job how many machines the job may use, and `shareOf` which share of a machine one of its
/// tasks takes.
std::vector<QueueEntry> orderQueue(const std::vector<QueuedJob>& jobs, std::int64_t nowMs,
                                   const std::vector<double>& machinesFor,
                                   const std::vector<double>& shareOf,
                                   const QueueSettings& settings = {});

}  // namespace kestrelhoist
