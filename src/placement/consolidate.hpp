/// \file
/// Chooses machines to drain at the end of a forecast interval. Services that ended leave machines
/// partly used, and a machine can only be terminated as a whole. The functions here have no side
/// effects.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "placement/planner.hpp"

namespace kestrelhoist {

/// Describes a service replica that may move to another machine.
struct MovableTask {
  AttemptId id;
  std::shared_ptr<const JobSpec> spec;
  std::uint32_t image{};
  Duration age{};  ///< This is the time since the replica was first seen running.
};

/// Describes a machine that may be drained or may receive replicas.
struct ConsolidationCandidate {
  MachineId id;
  TypeId type;
  std::uint32_t zone{};
  Resources capacity, free;
  std::vector<PlanImage> images;
  std::vector<MovableTask> services;  ///< Excludes batch tasks, because they end by themselves.
};

/// Contains all data that a consolidation depends on.
struct ConsolidationInput {
  /// Holds the usable on-demand machines of one type that are neither cordoned nor kept warm.
  std::vector<ConsolidationCandidate> machines;
  std::map<JobId, std::vector<std::uint32_t>> perZone;  ///< Counts each service's replicas by zone.
  std::size_t surplus{};                                ///< This many machines are not needed.
  /// Limits how many replicas are moved at once, because each is down for a moment.
  std::size_t maxMoves{};
};

/// Lists the machines to drain and the replicas to move off them.
struct ConsolidationDecision {
  std::vector<MachineId> machines;                     ///< These machines get no new tasks.
  std::vector<std::pair<MachineId, AttemptId>> moves;  ///< These replicas are stopped to move them.
};

/// Chooses the machines to drain, the least used first. A machine is drained only if all of its
/// replicas fit into resources that are free now on machines that have their images, because any
/// other move would cost an image fetch.
ConsolidationDecision chooseDrainCandidates(ConsolidationInput in);

}  // namespace kestrelhoist
