/// \file
/// Implements the HTTP interface for jobs: submissions, polls and cancellations.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "jobs/admission.hpp"
#include "store/change_watcher.hpp"
#include "versions/versions.hpp"

namespace kestrelhoist {

/// Answers users' requests about jobs on any controller. Runs on the controller's event loop; the
/// objects that are passed to the constructor must outlive the service.
class JobService {
 public:
  JobService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
             const Platform& platform, const ControllerVersions& versions);

  /// Answers requests to /v2/runs and the paths below it; returns false for any other path.
  /// `member` is the member that sends the request and whose namespace the job ids belong to; it is
  /// null for a user without a key.
  bool handle(const Request& request, const Respond& respond, const Owner* member = nullptr);

  /// Runs after this controller has committed the acceptance or cancellation of a job; may be null.
  std::function<void()> onCommitted;
  /// Returns the machine types from the catalogue record in the replica; null if the replica holds
  /// no valid catalogue record.
  const Catalogue* catalogue() const;
  /// Returns the JSON form of a job's state for users. The digest is a hash of the job's
  /// description; it is not computed for whole lists of jobs.
  static Json view(const JobId& id, const JobState& job, bool withDigest = true);

 private:
  /// Limits the user requests in progress; requests above the limit get status 429 at once.
  static constexpr std::size_t kMaxRequestsInProgress = 256;
  static constexpr Duration kCommitTimeout{1500};
  /// Delays the retry after the state service has refused a transaction.
  static constexpr Duration kRetryDelay{150};

  static JobId jobIdOf(const std::string& ref, const Owner* member);
  static Response stateResponse(const JobId& id, const JobState& job, int status);
  const JobState* findJob(const JobId& id) const;
  bool hasAllJobs(const std::vector<JobId>& jobs) const;
  /// Starts a linearizable read. Responds with the job's state if the replica holds the job after
  /// the read; calls `otherwise` if it does not.
  void answerAfterRead(const JobId& id, const Respond& respond, std::function<void()> otherwise);
  /// Calls `next` as soon as the write rate limit permits another write; responds with status 429
  /// after `triesLeft` waits without success.
  void withWriteSlot(const Respond& respond, std::function<void()> next, int triesLeft = 10);

  void poll(const JobId& id, const Respond& respond);

  void cancel(const JobId& id, int triesLeft, const Request& request, const Respond& respond);
  void commitCancellation(const JobId& id, const JobState& job, int triesLeft,
                          const Request& request, const Respond& respond);
  void cancelled(const JobId& id, const Transaction& transaction, Revision revision,
                 const Respond& respond);

  /// Handles a submission. This function and the following steps, declared in the order of their
  /// execution, are implemented in submission.cpp.
  void submit(const Request& request, const Owner* member, const Respond& respond);
  std::optional<Response> checkSubmission(const std::variant<JobSpec, Invalid>& parsed,
                                          const Owner* member) const;
  /// Returns the error response for dependencies that must not be accepted according to the
  /// replica; nullopt if the replica holds no reason against them.
  std::optional<Response> checkDependencies(const std::vector<JobId>& dependsOn) const;
  void accept(std::shared_ptr<const Submission> submission, const Respond& respond);
  void createDependencyParts(std::shared_ptr<const Submission> submission, std::uint32_t from,
                             const Respond& respond);
  void create(std::shared_ptr<const Submission> submission, int triesLeft, const Respond& respond);
  void accepted(const Submission& submission, const Respond& respond);

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  const Platform& platform_;
  const ControllerVersions& versions_;
  TokenBucket userWriteRate_;
  std::size_t requestsInProgress_ = 0;
  mutable std::optional<Catalogue> catalogue_;
  mutable Revision catalogueRevision_;
};

}  // namespace kestrelhoist
