/// \file
/// Follows jobs and reports their changes, also across restarts of controllers. The watcher uses
/// the watch requests of a service with members, and polls otherwise.
#pragma once

#include <map>
#include <set>

#include "client/src/job_calls.hpp"

namespace kestrelhoist::client {

/// Reports each job when the watcher first sees it and after each change, and reports the end of a
/// job exactly once. The reported phase of a job never goes back to an earlier one.
class JobWatcher : public std::enable_shared_from_this<JobWatcher> {
 public:
  /// One reported change.
  struct Told {
    JobState job;
    std::string cursor;  ///< The cursor as in JobEvent::cursor.
  };
  using OnTold = std::function<void(const Told&)>;
  using OnOver = std::function<void(std::optional<Error>)>;

  /// Watches the jobs in `ids`. If `ids` is empty, watches all jobs of the member, starting at the
  /// cursor `since`.
  JobWatcher(JobCalls& calls, std::vector<std::string> ids, std::string since, OnTold told,
             OnOver over);
  void start();
  /// Stops the watcher. It runs no callback after this call, not even the one for the end.
  void stop();

 private:
  void beginWatch();
  void readNamed();
  void readNext();
  void watch();
  void poll();
  /// Reports a job state if it is new. Returns false if the watch has ended.
  bool note(JobState state, const std::string& cursor);
  void end(std::optional<Error> why);
  /// Handles an error: schedules `next` after a pause and returns true if the error is temporary,
  /// and ends the watch otherwise.
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
  std::set<std::string> open_;  ///< The jobs of `ids_` that have not ended.
  std::vector<std::string> toRead_;
  std::size_t reading_ = 0;
  std::map<std::size_t, StepsPtr> steps_;
  std::size_t nextStep_ = 0;
};

}  // namespace kestrelhoist::client
