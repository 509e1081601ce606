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
  struct Update {
    JobState job;
    std::string cursor;  ///< The cursor as in JobEvent::cursor.
  };
  using OnUpdate = std::function<void(const Update&)>;
  using OnEnd = std::function<void(std::optional<Error>)>;

  /// Watches the jobs in `ids`. If `ids` is empty, watches all jobs of the member, starting at the
  /// cursor `since`.
  JobWatcher(JobCalls& calls, std::vector<std::string> ids, std::string since, OnUpdate onUpdate,
             OnEnd onEnd);
  void start();
  /// Stops the watcher. It runs no callback after this call, not even the one for the end.
  void stop();

 private:
  void fetchStartCursor();
  void readSelectedJobs();
  void readNextJob();
  void watch();
  void poll();
  /// Reports a job state if it is new. Returns false if the watch has ended.
  bool reportIfChanged(JobState state, const std::string& cursor);
  void endWatch(std::optional<Error> why);
  /// Handles an error: schedules `next` after a pause and returns true if the error is temporary,
  /// and ends the watch otherwise.
  bool retryOrEnd(const Error& error, std::function<void()> next);
  void schedule(Duration pause, std::function<void()> f);
  bool hasSelectedJobs() const { return !ids_.empty(); }

  JobCalls& calls_;
  std::set<std::string> ids_;
  std::string cursor_;
  OnUpdate onUpdate_;
  OnEnd onEnd_;
  bool stopped_ = false;
  Backoff backoff_;
  Router random_;
  struct ReportedState {
    Phase phase;
    std::uint32_t done, running;
  };
  std::map<std::string, ReportedState> reportedStates_;
  std::set<std::string> unfinishedIds_;  ///< The jobs of `ids_` that have not ended.
  std::vector<std::string> idsToRead_;
  std::size_t readsInFlight_ = 0;
  std::map<std::size_t, PendingCallPtr> pendingCalls_;
  std::size_t nextCallNumber_ = 0;
};

}  // namespace kestrelhoist::client
