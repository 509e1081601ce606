/// \file
/// Whether protected services survive what may come: for the loss of any one zone, or of the
/// machines that hold most of them, room elsewhere that only lower ranks use, with the image held.
/// Pure.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "base/types.hpp"

namespace kestrelhoist {

struct CoverageMachine {
  std::uint32_t zone{};
  double spare = 0;                ///< of a machine: free, or used by what may be stopped
  std::set<std::uint32_t> images;  ///< held
};

/// Replicas that need the same: so many of them on one machine.
struct CoverageReplicas {
  std::uint32_t image{};
  double share{};         ///< of a machine, each
  std::size_t machine{};  ///< where they are
  std::uint32_t count{};
};

struct FailoverCoverage {
  std::uint32_t moving{}, placed{};  ///< of the worst loss
  double share() const { return moving == 0 ? 1.0 : static_cast<double>(placed) / moving; }
};

/// How many of the replicas on `lost` machines find a place on the others.
FailoverCoverage coverageFor(const std::vector<CoverageMachine>& machines,
                             const std::vector<CoverageReplicas>& replicas,
                             const std::set<std::size_t>& lost);
/// The worst of: any one zone; the `atOnce` machines with most replicas.
FailoverCoverage worstCoverage(const std::vector<CoverageMachine>& machines,
                               const std::vector<CoverageReplicas>& replicas, std::size_t atOnce);

}  // namespace kestrelhoist
