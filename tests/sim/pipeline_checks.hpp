/// \file
/// Checks the rules between jobs that depend on each other. The checker gets events from the
/// simulated world and reports violated rules; it does not access the controllers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kestrelhoist::sim {

/// Checks the rules of job dependencies.
class PipelineChecks {
 public:
  using Fail = std::function<void(const std::string& rule, const std::string& what)>;
  PipelineChecks(std::int64_t cancelMs, Fail fail) : cancelMs_(cancelMs), fail_(std::move(fail)) {}

  struct Job {
    int tasks = 1;
    std::vector<std::string> awaits;
    bool service = false;
    /// The field `awaits` of the submission is not a list of job ids.
    bool malformed = false;
  };

  // The world reports events with these functions, in the order in which they happen.
  /// Records the first submission of a job.
  void sent(const std::string& id, const Job& job);
  void accepted(const std::string& id);
  /// Records a refused submission. `wasAcceptable` is the result of isAcceptable() at the time
  /// when the request was sent.
  void refused(const std::string& id, int status, bool wasAcceptable);
  void cancelRequested(const std::string& id);
  /// Records that one more task of the job has completed on its worker.
  void completed(const std::string& id, std::int64_t now);
  void started(const std::string& id, int index);
  /// Records that a user received this phase of the job in a response.
  void phaseReported(const std::string& id, const std::string& phase, std::int64_t now);

  /// Returns whether all dependencies of the job are accepted, so that the job must be accepted.
  bool isAcceptable(const std::string& id) const;
  /// Returns whether a user has asked to cancel the job or one of its dependencies.
  bool mayBeWithdrawn(const std::string& id) const;
  /// Returns whether a dependency of the job is to be cancelled.
  bool hasCancelledDependency(const std::string& id) const;
  /// Returns when the last dependency of the job completed. The result is 0 if the job has no
  /// dependencies and -1 if one has not completed.
  std::int64_t dependenciesDoneAt(const std::string& id) const;
  /// Returns when a user first received the phase `withdrawn` for the job or one of its
  /// dependencies. The result is -1 if no user has.
  std::int64_t cancelledSince(const std::string& id) const;
  bool isAccepted(const std::string& id) const;
  /// Returns whether a user has received a final phase of the job.
  bool isOver(const std::string& id) const;
  bool isKnown(const std::string& id) const { return jobs_.contains(id); }
  /// Returns all jobs that depend on the job, directly or through others.
  std::vector<std::string> dependentsOf(const std::string& id) const;
  /// Returns the accepted jobs with dependencies or dependents whose users have not received a
  /// final phase. Services are excluded.
  std::vector<std::string> unfinishedJobs() const;

 private:
  struct State {
    Job job;
    bool accepted = false, refused = false, cancelRequested = false, hasStarted = false;
    /// The user has received this final phase, `done` or `withdrawn`.
    std::string finalPhase;
    /// This many tasks have not completed.
    int remainingTasks = 0;
    /// The last task completed at this time.
    std::int64_t doneAt = -1;
    /// The user first received the phase `withdrawn` at this time.
    std::int64_t withdrawalReportedAt = -1;
  };
  const State* find(const std::string& id) const;
  /// Returns all dependencies of the job, direct and transitive.
  std::set<std::string> dependenciesOf(const std::string& id) const;
  /// Returns the status with which the job must be refused: 400 if its dependency list is
  /// malformed, 422 if it names a service or an unknown or refused job, and 0 otherwise.
  int requiredRefusalStatus(const std::string& id) const;
  static bool toBeCancelled(const State& s) { return s.cancelRequested && s.finalPhase != "done"; }

  std::int64_t cancelMs_;
  Fail fail_;
  std::map<std::string, State> jobs_;
  /// The value lists the direct dependents of the job in the key.
  std::map<std::string, std::vector<std::string>> dependents_;
};

}  // namespace kestrelhoist::sim
