/// \file
/// In which order waiting work is served, and how much of it at a time: one decision for placing,
/// stopping others, gathering room and renting. Pure; the ways weighed: docs/order.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jobs/spec.hpp"

namespace kestrelhoist {

struct QueueSettings {
  /// A job that has waited so long is no longer passed by newer ones without getting its share.
  Duration agingThreshold{60000};
  /// One that has waited so long without a beginning gets its first task before others of its rank:
  /// all begin within four minutes. Not sooner: under a load that lasts it ends fewer jobs.
  Duration beginWithin{180000};
  /// Jobs that came within this time of each other don't pass one another.
  Duration cohort{30000};
  /// Of the machines that a job may use, what those that were passed get together, the oldest
  /// first, before the rest goes by least remaining work.
  double share = 0.25;
  /// Large is what is left of a job that has so many times as much left as the middle one that
  /// waits: the rest is not starved by least remaining work, and serving the oldest first ends
  /// fewer in time.
  double large = 3;
};

struct QueuedJob {
  std::shared_ptr<const JobSpec> spec;
  std::int64_t acceptedAtMs{};  ///< time of day, as on record
  double remainingS{};          ///< estimated run time of what is not done
  std::uint32_t waiting{};
  std::uint32_t
      placed{};  ///< tasks that are on machines: with `acceptedAtMs`, its place in the order
  bool begun{};  ///< some of its tasks are done
  bool protectedService{};   ///< above all batch work, whatever its rank (policy)
  int priorityAdjustment{};  ///< within its rank: 1 goes first, -1 yields (calendar)
  std::optional<std::uint32_t>
      maxTasks;  ///< that it may have placed at once (calendar, pools); empty: no bound
};

/// A turn: up to `maxTasks` tasks of this job. A job may have two.
struct QueueEntry {
  std::size_t job{};  ///< index in the input
  std::uint32_t maxTasks{};
  bool overdue{};  ///< room is gathered for it if there is none
};

/// `machinesFor`: how many machines the job may use; `shareOf`: of one machine that a task takes.
std::vector<QueueEntry> orderQueue(const std::vector<QueuedJob>& jobs, std::int64_t nowMs,
                                   const std::vector<double>& machinesFor,
                                   const std::vector<double>& shareOf,
                                   const QueueSettings& settings = {});

}  // namespace kestrelhoist
