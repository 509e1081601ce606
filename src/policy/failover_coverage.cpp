#include "policy/failover_coverage.hpp"

#include <algorithm>
#include <map>

namespace kestrelhoist {
namespace {

// A share may exceed the spare capacity by this rounding error.
constexpr double kRoundingTolerance = 1e-6;

// Assigns replicas to machines that hold their image. Replicas with the same image and share are
// one kind. If no machine has enough capacity for a replica, an already assigned replica of another
// kind is reassigned to a different machine.
class Matching {
 public:
  using Kind =
      std::pair<std::uint32_t, std::int64_t>;  // image, and share in millionths of a machine

  explicit Matching(const std::vector<CoverageMachine>& machines, const std::set<std::size_t>& lost)
      : machines_(machines), lost_(lost), assigned_(machines.size()) {
    for (const auto& m : machines) spare_.push_back(m.spare);
  }

  // Assigns up to `count` replicas of the kind and returns how many were assigned.
  std::uint32_t place(const Kind& kind, std::uint32_t count) {
    std::uint32_t n = 0;
    while (n < count) {
      std::set<Kind> tried;
      if (!placeOne(kind, tried)) break;  // the next replica of the same kind fails as well
      ++n;
    }
    return n;
  }

 private:
  static double shareOf(const Kind& k) { return static_cast<double>(k.second) / 1e6; }

  bool placeOne(const Kind& kind, std::set<Kind>& tried) {
    tried.insert(kind);
    // Machines before this index have no capacity for the kind unless a replica is reassigned.
    std::size_t& from = firstCandidate_[kind];
    for (; from < machines_.size(); ++from) {
      if (fits(kind, from)) return put(kind, from);
    }
    for (std::size_t m = 0; m < machines_.size(); ++m) {
      if (lost_.contains(m) || !machines_[m].images.contains(kind.first)) continue;
      auto others = assigned_[m];
      for (const auto& [other, n] : others) {
        if (n == 0 || tried.contains(other) || other.second < kind.second) continue;
        // The replica of the other kind moves to a different machine and frees its share here.
        if (!placeOne(other, tried)) continue;
        --assigned_[m][other];
        spare_[m] += shareOf(other);
        return put(kind, m);
      }
    }
    return false;
  }

  bool fits(const Kind& kind, std::size_t m) const {
    return !lost_.contains(m) && machines_[m].images.contains(kind.first) &&
           spare_[m] + kRoundingTolerance >= shareOf(kind);
  }
  bool put(const Kind& kind, std::size_t m) {
    spare_[m] -= shareOf(kind);
    ++assigned_[m][kind];
    return true;
  }

  const std::vector<CoverageMachine>& machines_;
  const std::set<std::size_t>& lost_;
  std::vector<double> spare_;
  std::vector<std::map<Kind, std::uint32_t>> assigned_;
  std::map<Kind, std::size_t> firstCandidate_;
};

}  // namespace

FailoverCoverage coverageFor(const std::vector<CoverageMachine>& machines,
                             const std::vector<CoverageReplicas>& replicas,
                             const std::set<std::size_t>& lost) {
  std::map<Matching::Kind, std::uint32_t> moving;
  for (const auto& r : replicas) {
    if (!lost.contains(r.machine)) continue;
    moving[{r.image, static_cast<std::int64_t>(r.share * 1e6 + 0.5)}] += r.count;
  }
  // The largest replicas are placed first; small ones fit into the capacity that is left.
  std::vector<std::pair<Matching::Kind, std::uint32_t>> kinds(moving.begin(), moving.end());
  std::stable_sort(kinds.begin(), kinds.end(),
                   [](const auto& a, const auto& b) { return a.first.second > b.first.second; });
  Matching matching(machines, lost);
  FailoverCoverage out;
  for (const auto& [kind, count] : kinds) {
    out.displaced += count;
    out.placed += matching.place(kind, count);
  }
  return out;
}

FailoverCoverage worstCoverage(const std::vector<CoverageMachine>& machines,
                               const std::vector<CoverageReplicas>& replicas,
                               std::size_t lostMachines) {
  FailoverCoverage worst;
  auto consider = [&](const std::set<std::size_t>& lost) {
    FailoverCoverage c = coverageFor(machines, replicas, lost);
    if (c.share() < worst.share() || worst.displaced == 0) worst = c;
  };
  std::map<std::uint32_t, std::set<std::size_t>> zones;
  for (std::size_t m = 0; m < machines.size(); ++m) zones[machines[m].zone].insert(m);
  for (const auto& [zone, members] : zones) consider(members);
  if (lostMachines == 0) return worst;
  std::map<std::size_t, std::uint32_t> count;
  for (const auto& r : replicas) count[r.machine] += r.count;
  std::vector<std::pair<std::uint32_t, std::size_t>> most;
  for (const auto& [m, n] : count) most.emplace_back(n, m);
  std::sort(most.rbegin(), most.rend());
  std::set<std::size_t> lost;
  for (std::size_t i = 0; i < std::min(lostMachines, most.size()); ++i) lost.insert(most[i].second);
  consider(lost);
  return worst;
}

}  // namespace kestrelhoist
