/// \file
/// Records why the tasks of a job are pending. The decision that leaves tasks waiting gives a
/// reason for each group of them, so that users and operators can see what a job waits for.
#pragma once

#include <map>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Names the reason why a group of tasks of a job does not run.
enum class PendingReason {
  dependencies,  ///< The jobs that the job depends on are not done.
  quota,         ///< The team has used up its limit.
  capacity,      ///< The cloud refuses machines for the job in all zones that it may use.
  boot,          ///< Machines for the job are rented but still boot.
  resources,     ///< No resources that the job may use are free, and none are rented for it yet.
  policy,        ///< The policy does not let the tasks start now.
  preemption,    ///< Less important tasks are being stopped for the job.
  writeQueue,    ///< Resources are free, but other placements use up the transaction's operations.
  errors,        ///< The job's tasks failed, and it is retried after a pause.
  refused,       ///< Workers refused to start the job's tasks, and it is retried after a pause.
  image,         ///< The task is on a machine that is fetching its image.
  start,         ///< The placement is on record, but the worker has not confirmed the start.
  unreachable    ///< The task is on a machine that sends no reports.
};
/// Returns the text that users and operators get for a reason.
const char* toString(PendingReason why);

/// Counts the tasks of a job that wait for the same reason.
struct PendingGroup {
  PendingReason why{};
  std::uint32_t tasks{};
  auto operator<=>(const PendingGroup&) const = default;
};

/// Holds the pending reasons of all jobs from the newest plan of this leader. It also logs a job
/// when the first of its reasons changes, with a limited rate of log lines.
class PendingReasons {
 public:
  /// Starts collecting the reasons of a new plan.
  void begin() { collected_.clear(); }
  /// Adds a reason for this number of tasks of the job. Does nothing if the number is 0.
  void note(const JobId& job, PendingReason why, std::uint32_t tasks);
  /// Replaces the reasons of the previous plan by those added since begin(). A job without any has
  /// no pending tasks.
  void end(Instant now);
  /// Returns the pending groups of a job; empty if it has none.
  std::vector<PendingGroup> of(const JobId& job) const;
  /// Returns since when the first reason of the job has been the same.
  Instant since(const JobId& job) const;

 private:
  struct Entry {
    std::vector<PendingGroup> groups;
    Instant since{};
    bool logged{};
  };
  void log(const JobId& job, Entry& entry, Instant now);
  /// At most this many lines are logged per kLogWindow.
  static constexpr int kMaxLinesPerWindow = 20;
  static constexpr Duration kLogWindow{10000};
  static constexpr Duration kMinWaitToLog{5000};  ///< Shorter waits are not logged.

  std::map<JobId, std::vector<PendingGroup>> collected_;
  std::map<JobId, Entry> entries_;
  Instant windowStart_{};
  int linesInWindow_ = 0;
};

}  // namespace kestrelhoist
