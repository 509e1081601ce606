/// Admission of jobs: whether a well-formed job can ever run, and the records that it becomes.
///
/// Pure functions: they send nothing and read no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "jobs/spec.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// A job that may be accepted, as it will be on record.
struct Submission {
  JobRecord record;
  /// Its dependencies where the list does not fit into its own record: one record for each part.
  std::vector<std::vector<JobId>> dependencyParts;
  std::string requestId;

  /// Returns all jobs that it depends on, wherever they are recorded.
  std::vector<JobId> dependencies() const;
};

/// Returns why a well-formed job can never run; nothing if it can.
[[nodiscard]] std::optional<Invalid> neverRuns(const JobSpec& spec, const Catalogue& catalogue,
                                               const Platform& platform);

/// Makes the records of a job. `owner` is null for a user without a key, `acceptedAtMs` is the time
/// of day. Returns nothing if the job does not fit into records of `valueBytes`.
[[nodiscard]] std::optional<Submission> prepareSubmission(JobSpec spec,
                                                          std::shared_ptr<const JobOwner> owner,
                                                          const std::string& requestId,
                                                          std::int64_t acceptedAtMs,
                                                          std::size_t valueBytes);

}  // namespace kestrelhoist
