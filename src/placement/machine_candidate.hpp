/// \file
/// Orders the machines on which a task may run, the best first.
#pragma once

#include <cstddef>
#include <queue>

namespace kestrelhoist {

/// Pairs a machine with its value for a task. Among machines of equal value, the first machine of
/// the input is preferred.
struct MachineCandidate {
  double value{};         ///< A higher value is better.
  std::size_t machine{};  ///< Is an index into PlanInput::machines.

  bool operator<(const MachineCandidate& other) const {
    return value != other.value ? value < other.value : machine > other.machine;
  }
};

/// Returns the best candidate first.
using CandidateQueue = std::priority_queue<MachineCandidate>;

}  // namespace kestrelhoist
