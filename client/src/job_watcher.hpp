/// \file
/// Follows jobs and tells what changed, over restarts of controllers: by the service's watch where
/// there is one, by polls otherwise. Tells each job when it is first seen and when it has changed,
/// its end once; a job's phase never goes back.
#pragma once

#include <map>
#include <set>

#include "client/src/job_calls.hpp"

namespace kestrelhoist::client {

class JobWatcher : public std::enable_shared_from_this<JobWatcher> {
 public:
  struct Told {
    JobState job;
    std::string cursor;  ///< see JobEvent
  };
  using OnTold = std::function<void(const Told&)>;
  using OnOver = std::function<void(std::optional<Error>)>;

  /// `ids` empty: all of the member's, from `since` on.
  JobWatcher(JobCalls& calls, std::vector<std::string> ids, std::string since, OnTold told,
             OnOver over);
  void start();
  /// Nothing is told any more, not even that it is over.
  void stop();

 private:
  void beginWatch();
  void readNamed();
  void readNext();
  void watch();
  void poll();
  bool note(JobState state, const std::string& cursor);  ///< false: it is over now
  void end(std::optional<Error> why);
  /// After an error: true if the watch goes on, later.
  bool goesOn(const Error& error, std::function<void()> next);
  void later(Duration pause, std::function<void()> f);
  bool named() const { return !ids_.empty(); }

  JobCalls& calls_;
  std::set<std::string> ids_;
  std::string cursor_;
  OnTold told_;
  OnOver over_;
  bool stopped_ = false;
  Backoff backoff_;
  Router random_;
  struct Seen {
    Phase phase;
    std::uint32_t done, running;
  };
  std::map<std::string, Seen> seen_;
  std::set<std::string> open_;  ///< named and not ended yet
  std::vector<std::string> toRead_;
  std::size_t reading_ = 0;
  std::map<std::size_t, StepsPtr> steps_;
  std::size_t nextStep_ = 0;
};

}  // namespace kestrelhoist::client
