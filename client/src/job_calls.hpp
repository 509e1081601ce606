/// \file
/// The calls of the public client: jobs, idempotent submissions, identities and keys. A call may
/// send several requests. All calls run on one event loop: the public client runs the loop on its
/// own thread, and tests run it in virtual time.
#pragma once

#include "client/src/caller.hpp"
#include "kestrelhoist/job.hpp"
#include "members/records.hpp"

namespace kestrelhoist::client {

/// A call that sends one or more requests in sequence and that can be cancelled.
class PendingCall {
 public:
  /// Sets the request that stop() cancels. Cancels it at once if the call is already stopped.
  void setCurrent(const Caller::Handle& handle) {
    current_ = handle;
    if (stopped_ && current_) current_();
  }
  void stop() {
    stopped_ = true;
    if (current_) current_();
  }
  bool stopped() const { return stopped_; }

 private:
  Caller::Handle current_;
  bool stopped_ = false;
};
using PendingCallPtr = std::shared_ptr<PendingCall>;

/// Implements the calls of the public client on top of a Caller.
class JobCalls {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  /// `team` is the default team of jobs if no member key determines the team.
  JobCalls(Caller& caller, std::string team, bool hasKey)
      : caller_(caller), team_(std::move(team)), hasKey_(hasKey) {}

  /// Submits a job. `key` is the idempotency key, and `id` is a job id that the caller has chosen.
  /// If both are empty, the job gets a random id.
  PendingCallPtr submit(Job job, const std::string& key, const std::string& id, Duration timeout,
                        Done<JobState> done);
  PendingCallPtr get(const std::string& id, Duration timeout, Done<JobState> done);
  PendingCallPtr cancel(const std::string& id, Duration timeout, Done<JobState> done);
  /// Requests a page of jobs. The service may delay an empty response by `wait`.
  PendingCallPtr list(const JobQuery& query, Duration wait, Duration timeout, Done<JobPage> done);
  PendingCallPtr whoAmI(Duration timeout, Done<Identity> done);
  PendingCallPtr idFor(const std::string& key, Duration timeout, Done<std::string> done);

  PendingCallPtr makeKey(const std::string& team, const std::string& member,
                         const std::string& rights, const std::string& note, Duration timeout,
                         Done<KeyInfo> done);
  PendingCallPtr keys(const std::string& team, const std::string& member, Duration timeout,
                      Done<std::vector<KeyInfo>> done);
  PendingCallPtr revokeKey(const std::string& id, Duration after, Duration timeout,
                           Done<KeyInfo> done);
  PendingCallPtr rotateKey(const std::string& id, Duration grace, Duration timeout,
                           Done<KeyInfo> done);

  /// Returns whether this client has a key and the service has members. Lists and watch requests
  /// need both.
  bool hasMembers() const { return hasKey_ && !noMembers_; }
  Caller& caller() { return caller_; }

 private:
  struct SubmissionState;
  /// Determines the team and the member of this client. The service returns them once for the key;
  /// if it has no members, they come from the settings.
  void identity(const PendingCallPtr& pending, Duration timeout, Done<Identity> done);
  void send(const std::shared_ptr<SubmissionState>& s);
  void onAccepted(const std::shared_ptr<SubmissionState>& s, const Answer& answer,
                  const JobState& state);
  PendingCallPtr sendJobRequest(Request request, const std::string& operation, bool changes,
                                Duration timeout, Done<JobState> done);
  void keyPage(const PendingCallPtr& pending, const std::string& team, const std::string& member,
               std::shared_ptr<std::vector<KeyInfo>> found, Instant deadline,
               Done<std::vector<KeyInfo>> done);
  Duration remaining(Instant deadline) {
    return std::max(Duration{1}, deadline - caller_.runtime().now());
  }

  Caller& caller_;
  std::string team_;
  bool hasKey_;
  bool noMembers_ = false;
  std::optional<Identity> identity_;
};

}  // namespace kestrelhoist::client
