/// \file
/// Decides when ready instances are made into jobs. Writes to the state service are the scarce
/// resource, so instances are collected into large job arrays while other tasks of the flow are
/// queued or running. The module does no I/O.
#pragma once

#include "base/types.hpp"

namespace kestrelhoist {

/// The input of the decision for one flow.
struct BatchingInput {
  std::size_t ready{};        ///< number of instances that could be made into jobs now
  std::size_t maxJobTasks{};  ///< maximum number of instances in one job array
  Duration oldestReadyAge{};  ///< time since the first instance became ready
  std::size_t queued{};       ///< number of tasks of this flow that wait for a machine
  std::size_t running{};      ///< number of tasks of this flow that may be on machines
  std::size_t ended{};        ///< number of instances that are done
  std::size_t
      changes{};  ///< number of state service changes that this leader has written for the flow
};

/// Returns true if the ready instances are to be made into jobs now.
inline bool shouldCreateJobs(const BatchingInput& v) {
  constexpr Duration kMinReadyAge{700};    // collects the results of one round of worker heartbeats
  constexpr Duration kMaxReadyAge{20000};  // limit of the delay, whatever the number of changes
  constexpr double kChangesPerInstance = 0.05;
  constexpr double kFreeChanges =
      60;  // changes without a delay, so that small flows are not delayed
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
