/// \file
/// Decides when ready instances are made into jobs. Writes to the state service are the scarce
/// resource, so instances are collected into large job arrays while other tasks of the flow are
/// queued or running. The module does no I/O.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// Contains the input of the batching decision for one flow.
struct BatchingInput {
  std::size_t ready{};        ///< Counts the instances that could be made into jobs now.
  std::size_t maxJobTasks{};  ///< Limits the number of instances in one job array.
  Duration oldestReadyAge{};  ///< Measures the time since the first instance became ready.
  std::size_t queued{};       ///< Counts the tasks of this flow that wait for a machine.
  std::size_t running{};      ///< Counts the tasks of this flow that may be on machines.
  std::size_t ended{};        ///< Counts the instances that are done.
  /// Counts the changes in the state service that this leader has written for the flow.
  std::size_t changes{};
};

/// Returns true if the ready instances are to be made into jobs now.
inline bool shouldCreateJobs(const BatchingInput& v) {
  // The delay collects the results of one round of worker heartbeats into one job array.
  constexpr Duration kMinReadyAge{700};
  // At this age, jobs are created regardless of the number of changes.
  constexpr Duration kMaxReadyAge{20000};
  constexpr double kChangesPerInstance = 0.05;
  // The first changes cause no delay, so that small flows are not delayed.
  constexpr double kFreeChanges = 60;
  if (v.ready == 0) return false;
  if (v.ready >= v.maxJobTasks || v.oldestReadyAge >= kMaxReadyAge) return true;
  // The flow has no other tasks, so any delay would leave it idle.
  if (v.queued == 0 && v.running == 0) return true;
  if (v.oldestReadyAge < kMinReadyAge) return false;
  if (static_cast<double>(v.changes) <=
      kFreeChanges + kChangesPerInstance * static_cast<double>(v.ended)) {
    return true;
  }
  // No tasks wait and few are running, so machines may become idle soon.
  return v.queued == 0 && v.ready * 4 >= v.running;
}

}  // namespace kestrelhoist
