/// \file
/// Decides whether a well-formed job can ever run, and creates the records of an accepted job. All
/// functions are pure: they send no requests and read no clock.
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

/// Holds the records of a job that is ready to be committed.
struct Submission {
  JobRecord record;
  /// Holds the job's dependencies if the list does not fit into the job record; each part becomes a
  /// record of its own. The vector is empty if the job record holds the list.
  std::vector<std::vector<JobId>> dependencyParts;
  std::string requestId;

  /// Returns all dependencies of the job, from the job record and from the parts.
  std::vector<JobId> dependencies() const;
};

/// Returns the reason why a well-formed job can never run; nullopt if the job can run.
[[nodiscard]] std::optional<Invalid> neverRuns(const JobSpec& spec, const Catalogue& catalogue,
                                               const Platform& platform);

/// Creates the records of a job. `owner` is null for a user without a key; `acceptedAtMs` is a time
/// of day. Returns nullopt if the job does not fit into records of `valueBytes` each.
[[nodiscard]] std::optional<Submission> prepareSubmission(JobSpec spec,
                                                          std::shared_ptr<const JobOwner> owner,
                                                          const std::string& requestId,
                                                          std::int64_t acceptedAtMs,
                                                          std::size_t valueBytes);

}  // namespace kestrelhoist
