// The users' interface: submissions, polls, cancellations.
#pragma once

#include <functional>

#include "cloud/catalogue.hpp"
#include "config/platform.hpp"
#include "store/change_watcher.hpp"
#include "versions/versions.hpp"

namespace kestrelhoist {

class JobService {
 public:
  JobService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
             const Platform& platform, const MemberVersions& versions);

  // Answers /v2/runs and below; false if the path is not one of these. `who`: the member that asks,
  // within its own space of names; null: a user without a key.
  bool handle(const Request& request, const Respond& respond, const Owner* who = nullptr);

  std::function<void()> onCommitted;  // a job was accepted or cancelled here
  // Whether the fleet's types are known; refreshed from the record.
  const Catalogue* catalogue() const;
  // What users are told of a job. The digest is a hash over its description: not for whole lists.
  static Json view(const JobId& id, const JobState& job, bool withDigest = true);

 private:
  using Whose = std::shared_ptr<const JobOwner>;  // null: of a user without a key
  void submit(const Request& request, const Owner* who, const Respond& respond);
  void poll(const JobId& id, const Respond& respond);
  void abort(const JobId& id, int triesLeft, const Request& request, const Respond& respond);
  // Calls `next` once a slot of the write rate is free; refuses when that takes too long.
  void paced(const Respond& respond, std::function<void()> next, int triesLeft = 10);
  // A job that may be accepted, as it will be on record.
  struct Submission {
    JobRecord record;
    // What it awaits where that does not fit into its own record: one record each.
    std::vector<std::vector<JobId>> dependencyParts;
    std::string requestId;
  };
  // Empty: it does not fit into the records.
  std::optional<Submission> prepare(JobSpec spec, Whose whose, const std::string& requestId) const;
  // Why it must not be accepted, of what it awaits, as far as the copy tells.
  std::optional<Response> judgeDependencies(const JobSpec& spec) const;
  bool knowsAll(const std::vector<JobId>& jobs) const;
  // Answers with the job's state if it is known after a read that begins now, else as `otherwise`.
  void answerAfterRead(const JobId& id, const Respond& respond, std::function<void()> otherwise);
  void accept(std::shared_ptr<const Submission> submission, const Respond& respond);
  void createParts(std::shared_ptr<const Submission> submission, std::uint32_t from,
                   const Respond& respond);
  void create(std::shared_ptr<const Submission> submission, int triesLeft, const Respond& respond);
  std::optional<Invalid> judge(const JobSpec& spec, const Catalogue& catalogue) const;
  const JobState* known(const JobId& id) const;

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  const Platform& platform_;
  const MemberVersions& versions_;
  RateBudget writes_;
  std::size_t waiting_ = 0;
  mutable std::optional<Catalogue> catalogue_;
  mutable Revision catalogueRevision_;
};

}  // namespace kestrelhoist
