/// \file
/// Which machines to empty at the window's turn: services that ended leave machines half empty,
/// and a machine can only be given back whole. Pure.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "placement/planner.hpp"

namespace kestrelhoist {

struct MovableTask {
  AttemptId id;
  std::shared_ptr<const JobSpec> spec;
  std::uint32_t image{};
  Duration age{};  ///< since it was seen to run
};

struct ConsolidationCandidate {
  MachineId id;
  TypeId type;
  std::uint32_t zone{};
  Resources capacity, free;
  std::vector<PlanImage> images;
  std::vector<MovableTask> services;  ///< others run out by themselves
};

struct ConsolidationInput {
  std::vector<ConsolidationCandidate> machines;         ///< ordinary ones that may get work
  std::map<JobId, std::vector<std::uint32_t>> perZone;  ///< replicas of the services, by zone
  std::size_t surplus{};                                ///< how many machines fewer would do
  std::size_t maxMoves{};  ///< replicas to be moved at once: each is down for a moment
};

struct ConsolidationDecision {
  std::vector<MachineId> machines;                     ///< get no more work
  std::vector<std::pair<MachineId, AttemptId>> moves;  ///< to be stopped and started elsewhere
};

/// Only replicas that find room now where their image is held: anything else costs a fetch.
ConsolidationDecision chooseDrainCandidates(ConsolidationInput in);

}  // namespace kestrelhoist
