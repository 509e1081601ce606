/// \file
/// Machines that a task may go to, the best first.
#pragma once

#include <cstddef>
#include <queue>

namespace kestrelhoist {

/// A machine with its value for a task. Of equal ones, the first machine of the input is preferred.
struct MachineCandidate {
  double value{};         ///< higher is better
  std::size_t machine{};  ///< index in PlanInput::machines

  bool operator<(const MachineCandidate& other) const {
    return value != other.value ? value < other.value : machine > other.machine;
  }
};

using CandidateQueue = std::priority_queue<MachineCandidate>;

}  // namespace kestrelhoist
