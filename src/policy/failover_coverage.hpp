/// \file
/// Computes the failover coverage of protected services: how many of their replicas fit on other
/// machines after the loss of a zone or of the machines with the most replicas. A replica fits on a
/// machine that holds its image and has enough spare capacity. The functions are pure.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

/// Describes a machine that may take over protected replicas.
struct CoverageMachine {
  std::uint32_t zone{};
  double spare = 0;                ///< is the share that is free or used by preemptible tasks
  std::set<std::uint32_t> images;  ///< the machine holds these images
};

/// Describes `count` protected replicas on one machine that have the same image and resource needs.
struct CoverageReplicas {
  std::uint32_t image{};
  double share{};         ///< each replica takes this share of a machine
  std::size_t machine{};  ///< is the index of the machine that runs them
  std::uint32_t count{};
};

/// Counts the replicas on the lost machines, and those of them that fit on other machines.
struct FailoverCoverage {
  std::uint32_t displaced{}, placed{};
  double share() const { return displaced == 0 ? 1.0 : static_cast<double>(placed) / displaced; }
};

/// Computes how many of the replicas on the `lost` machines fit on the other machines.
FailoverCoverage coverageFor(const std::vector<CoverageMachine>& machines,
                             const std::vector<CoverageReplicas>& replicas,
                             const std::set<std::size_t>& lost);
/// Returns the lowest coverage among the loss of each single zone and the loss of the
/// `lostMachines` machines with the most replicas.
FailoverCoverage worstCoverage(const std::vector<CoverageMachine>& machines,
                               const std::vector<CoverageReplicas>& replicas,
                               std::size_t lostMachines);

}  // namespace kestrelhoist
