/// The users' interface to jobs: submissions, polls and cancellations.
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

/// Answers users' requests about jobs on any node. Runs on the node's event loop; everything that
/// it is constructed with must outlive it.
class JobService {
 public:
  JobService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
             const Platform& platform, const MemberVersions& versions);

  /// Answers /v2/runs and below; returns false if the path is not one of these. `member` is the
  /// member that asks, within its own space of names; null for a user without a key.
  bool handle(const Request& request, const Respond& respond, const Owner* member = nullptr);

  std::function<void()> onCommitted;  ///< a job was accepted or cancelled here; may be null
  /// Returns the machine types of the fleet, refreshed from the record; null if not known.
  const Catalogue* catalogue() const;
  /// Returns what users are shown of a job. The digest is a hash over its description: not for
  /// whole lists.
  static Json view(const JobId& id, const JobState& job, bool withDigest = true);

 private:
  static constexpr std::size_t kMaxInProgress = 256;  ///< user requests; above it: 429 at once
  static constexpr Duration kCommitTimeout{1500};
  static constexpr Duration kRetryDelay{150};  ///< after the state service refused a transaction

  static JobId jobIdOf(const std::string& ref, const Owner* member);
  static Response stateResponse(const JobId& id, const JobState& job, int status);
  const JobState* known(const JobId& id) const;
  bool knowsAll(const std::vector<JobId>& jobs) const;
  /// Answers with the job's state if it is known after a read that begins now, else as `otherwise`.
  void answerAfterRead(const JobId& id, const Respond& respond, std::function<void()> otherwise);
  /// Calls `next` once a slot of the write rate is free; refuses when that takes too long.
  void withWriteSlot(const Respond& respond, std::function<void()> next, int triesLeft = 10);

  void poll(const JobId& id, const Respond& respond);

  void cancel(const JobId& id, int triesLeft, const Request& request, const Respond& respond);
  void commitCancellation(const JobId& id, const JobState& job, int triesLeft,
                          const Request& request, const Respond& respond);
  void cancelled(const JobId& id, const Transaction& transaction, Revision revision,
                 const Respond& respond);

  /// Submission, in submission.cpp; the steps in their order.
  void submit(const Request& request, const Owner* member, const Respond& respond);
  std::optional<Response> refusalOf(const std::variant<JobSpec, Invalid>& parsed,
                                    const Owner* member) const;
  /// Why a job with these dependencies must not be accepted, as far as the replica knows.
  std::optional<Response> refusalOfDependencies(const std::vector<JobId>& dependsOn) const;
  void accept(std::shared_ptr<const Submission> submission, const Respond& respond);
  void createParts(std::shared_ptr<const Submission> submission, std::uint32_t from,
                   const Respond& respond);
  void create(std::shared_ptr<const Submission> submission, int triesLeft, const Respond& respond);
  void accepted(const Submission& submission, const Respond& respond);

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  const Platform& platform_;
  const MemberVersions& versions_;
  TokenBucket writes_;
  std::size_t inProgress_ = 0;
  mutable std::optional<Catalogue> catalogue_;
  mutable Revision catalogueRevision_;
};

}  // namespace kestrelhoist
