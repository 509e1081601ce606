#include "dependencies/projected_demand.hpp"

#include <algorithm>
#include <unordered_map>

namespace kestrelhoist {
namespace {

// Computes how long from now unfinished jobs are expected to take until they end. The result is
// cached per job.
class ExpectedEnds {
 public:
  explicit ExpectedEnds(const Replica& replica) : replica_(replica) {}

  Duration of(const JobId& id) {
    if (auto cached = ends_.find(id); cached != ends_.end()) return cached->second;
    const auto* job = replica_.job(id);
    if (!job) return kUnknownEnd;
    // This entry ends the recursion if malformed records form a dependency cycle.
    ends_[id] = kUnknownEnd;
    Duration end =
        readyIn(replica_.dependencies().unfinishedDependencies(id)) + job->record.spec->estimate;
    ends_[id] = end;
    return end;
  }
  Duration readyIn(const std::vector<JobId>& dependencies) {
    Duration last{0};
    for (const auto& id : dependencies) last = std::max(last, of(id));
    return last;
  }

 private:
  static constexpr Duration kUnknownEnd{std::int64_t{1} << 40};
  const Replica& replica_;
  std::unordered_map<JobId, Duration> ends_;
};

ProjectedDemand demandOf(const JobState& job, std::uint32_t tasks) {
  return {job.record.spec->perTask, tasks, job.record.spec->spotAllowed};
}

}  // namespace

std::vector<ProjectedDemand> demandOfJobsReadyWithin(const Replica& replica, Duration horizon) {
  std::vector<ProjectedDemand> projected;
  ExpectedEnds ends(replica);
  replica.dependencies().forEachBlocked(
      [&](const JobId& id, const std::vector<JobId>& dependencies) {
        const auto* job = replica.job(id);
        if (!job || ends.readyIn(dependencies) > horizon) return;
        projected.push_back(demandOf(*job, job->tasks));
      });
  return projected;
}

std::vector<ProjectedDemand> demandOfDependenciesEndingWithin(const Replica& replica,
                                                              Duration horizon) {
  std::vector<ProjectedDemand> projected;
  std::set<JobId> counted;
  replica.dependencies().forEachBlocked([&](const JobId&, const std::vector<JobId>& dependencies) {
    for (const auto& id : dependencies) {
      const auto* job = replica.job(id);
      if (!job || job->placed.empty() || job->record.spec->estimate > horizon) continue;
      if (!counted.insert(id).second) continue;
      projected.push_back(demandOf(*job, static_cast<std::uint32_t>(job->placed.size())));
    }
  });
  return projected;
}

}  // namespace kestrelhoist
