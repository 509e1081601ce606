#include "jobs/admission.hpp"

#include <algorithm>

#include "store/transaction.hpp"

namespace kestrelhoist {
namespace {

// A sum of resources may exceed a limit by this rounding error.
constexpr double kRoundingTolerance = 1e-6;
// These bytes of a value are reserved for its key and for the fields that are added when the job
// ends.
constexpr std::size_t kOverheadBytes = 256;
// The quotes and the comma of a list entry take 3 bytes.
constexpr std::size_t kListSyntaxBytes = 3;

bool fits(const Json& value, std::size_t valueBytes) {
  return jsonBytes(value) + kOverheadBytes <= valueBytes;
}

// Splits a dependency list into parts that each fit into a record of `valueBytes`.
std::vector<std::vector<JobId>> splitDependencies(const std::vector<JobId>& dependsOn,
                                                  std::size_t valueBytes) {
  std::vector<std::vector<JobId>> parts;
  std::size_t bytes = 0;
  for (const auto& dependency : dependsOn) {
    std::size_t entryBytes = dependency.value.size() + kListSyntaxBytes;
    if (parts.empty() || bytes + entryBytes + kOverheadBytes > valueBytes) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += entryBytes;
    parts.back().push_back(dependency);
  }
  return parts;
}

}  // namespace

std::vector<JobId> Submission::dependencies() const {
  std::vector<JobId> all = record.spec->dependsOn;
  for (const auto& part : dependencyParts) all.insert(all.end(), part.begin(), part.end());
  return all;
}

std::optional<Invalid> neverRuns(const JobSpec& spec, const Catalogue& catalogue,
                                 const Platform& platform) {
  auto team = platform.teams.find(spec.team);
  if (team == platform.teams.end()) return Invalid{"unknown team"};
  bool fits = false;
  for (const auto& type : catalogue.types) {
    if (!spec.allowsType(type.id) || !spec.perTask.fitsIn(type.capacity)) continue;
    fits = fits || !spec.zone ||
           std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end();
  }
  if (!fits) return Invalid{"no allowed machine type can hold a task"};
  double tasks = spec.kind == JobKind::array ? 1 : spec.tasks;
  const Resources& limit = team->second.limit;
  if ((limit.cpus > 0 && spec.perTask.cpus * tasks > limit.cpus + kRoundingTolerance) ||
      (limit.gpus > 0 && spec.perTask.gpus * tasks > limit.gpus + kRoundingTolerance)) {
    return Invalid{"over the team's limit"};
  }
  return std::nullopt;
}

std::optional<Submission> prepareSubmission(JobSpec spec, std::shared_ptr<const JobOwner> owner,
                                            const std::string& requestId, std::int64_t acceptedAtMs,
                                            std::size_t valueBytes) {
  Submission submission;
  submission.requestId = requestId;
  JobRecord& record = submission.record;
  record.spec = std::make_shared<const JobSpec>(spec);
  record.acceptedAtMs = acceptedAtMs;
  record.chunkSize = chunkSizeFor(valueBytes);
  record.owner = std::move(owner);
  if (fits(toJson(record), valueBytes)) return submission;
  if (spec.dependsOn.empty()) return std::nullopt;
  submission.dependencyParts = splitDependencies(spec.dependsOn, valueBytes);
  spec.dependsOn.clear();
  record.spec = std::make_shared<const JobSpec>(std::move(spec));
  record.dependencyParts = static_cast<std::uint32_t>(submission.dependencyParts.size());
  if (!fits(toJson(record), valueBytes)) return std::nullopt;
  return submission;
}

}  // namespace kestrelhoist
