/// \file
/// Calls of more than one request: who asks, submissions that can't become two jobs, keys. On one
/// event loop; the public client runs them on its thread, tests in virtual time.
#pragma once

#include "client/src/caller.hpp"
#include "kestrelhoist/job.hpp"
#include "members/records.hpp"

namespace kestrelhoist::client {

/// A call of several requests, one after the other, that can be given up.
class Steps {
 public:
  /// The request under way, or, once given up, none any more.
  void now(const Caller::Handle& handle) {
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
using StepsPtr = std::shared_ptr<Steps>;

class JobCalls {
 public:
  template <class T>
  using Done = std::function<void(Result<T>)>;

  /// `team`: of those who come without a key.
  JobCalls(Caller& caller, std::string team, bool hasKey)
      : caller_(caller), team_(std::move(team)), hasKey_(hasKey) {}

  /// `key`: of idempotency; `id`: chosen by the caller; both empty: drawn.
  StepsPtr submit(Job job, const std::string& key, const std::string& id, Duration within,
                  Done<JobState> done);
  StepsPtr get(const std::string& id, Duration within, Done<JobState> done);
  StepsPtr cancel(const std::string& id, Duration within, Done<JobState> done);
  /// `wait`: how long the service may hold an empty answer open.
  StepsPtr list(const JobQuery& query, Duration wait, Duration within, Done<JobPage> done);
  StepsPtr whoAmI(Duration within, Done<Identity> done);
  StepsPtr idFor(const std::string& key, Duration within, Done<std::string> done);

  StepsPtr makeKey(const std::string& team, const std::string& member, const std::string& rights,
                   const std::string& note, Duration within, Done<KeyInfo> done);
  StepsPtr keys(const std::string& team, const std::string& member, Duration within,
                Done<std::vector<KeyInfo>> done);
  StepsPtr revokeKey(const std::string& id, Duration after, Duration within, Done<KeyInfo> done);
  StepsPtr rotateKey(const std::string& id, Duration grace, Duration within, Done<KeyInfo> done);

  /// Whether the service has members and this client a key: lists and watches are to be had.
  bool hasMembers() const { return hasKey_ && !noMembers_; }
  Caller& caller() { return caller_; }

 private:
  struct Submitting;
  /// Who asks: told by the service once, or by the settings where it has no members.
  void identity(const StepsPtr& steps, Duration within, Done<Identity> done);
  void send(const std::shared_ptr<Submitting>& s);
  void accepted(const std::shared_ptr<Submitting>& s, const Answer& answer, const JobState& state);
  StepsPtr one(Request request, const std::string& tried, bool changes, Duration within,
               Done<JobState> done);
  void keyPage(const StepsPtr& steps, const std::string& team, const std::string& member,
               std::shared_ptr<std::vector<KeyInfo>> found, Instant until,
               Done<std::vector<KeyInfo>> done);
  Duration left(Instant until) { return std::max(Duration{1}, until - caller_.runtime().now()); }

  Caller& caller_;
  std::string team_;
  bool hasKey_;
  bool noMembers_ = false;
  std::optional<Identity> identity_;
};

}  // namespace kestrelhoist::client
