/// @file
/// Builds one compare-and-swap transaction over the task records of several jobs.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "placement/confirmed_outcomes.hpp"

namespace kestrelhoist {

/// An attempt that a transaction takes off its machine, and how the attempt ended.
struct EndedAttempt {
  AttemptId id;
  AttemptOutcome outcome{};
};

/// Builds one transaction over task records, each of which covers a chunk of a job's tasks.
///
/// Every confirmed outcome that is due for a record is written with any change of the record, so a
/// task that is lost leaves its machine and gets its next one in the same write. A builder serves
/// one transaction. It keeps references to the leader's state, which must not change before
/// writeTo() has been called.
class PlacementTransaction {
 public:
  PlacementTransaction(LeaderContext& context, ConfirmedOutcomes& outcomes);

  /// Adds the record of this task, with the outcomes that are due for it. Returns false if the
  /// transaction is full.
  [[nodiscard]] bool addRecord(const JobId& id, const JobState& job, std::uint32_t index);

  /// Places the task. Returns false if its record or the transaction is full.
  [[nodiscard]] bool place(const JobId& id, const JobState& job, std::uint32_t index,
                           const TaskPlacement& placement);

  /// Returns whether the task is neither settled nor on a machine once this transaction is applied,
  /// and may run again.
  bool mayPlace(const JobId& id, const JobState& job, std::uint32_t index) const;

  bool empty() const { return drafts_.empty(); }

  /// The attempts that this transaction takes off their machines.
  const std::vector<EndedAttempt>& endedAttempts() const { return endedAttempts_; }

  /// Appends all compares and writes, including the end of each job whose last task is done.
  void writeTo(Transaction& transaction) const;

 private:
  /// The tasks [first, last) that share a record: a task chunk, or a sub-chunk of one.
  struct TaskRange {
    std::uint32_t first, last;
    bool isSubChunk;
  };
  struct Draft {
    const JobState* job;
    TaskRange range;
    TaskChunkRecord record;
    std::size_t bytes;            ///< estimated size of the record's value
    std::uint32_t newlyFinished;  ///< tasks that this transaction marks as finished
    bool hasPlacements;           ///< the transaction places tasks of this record
  };
  /// What the transaction holds already, so that nothing is written twice.
  struct Written {
    std::set<JobId> comparedJobs, endedJobs;
    std::set<std::string> comparedChunks;
  };

  TaskRange rangeOf(const JobState& job, std::uint32_t index) const;
  bool isOversized(const Draft& draft) const;
  void applyPendingOutcomes(const JobId& id, Draft& draft, std::uint32_t index);
  void removeEnded(const JobId& id, Draft& draft, std::uint32_t index,
                   const ConfirmedOutcomes::Outcome& outcome);
  static void addUsage(Draft& draft, std::uint32_t index,
                       const ConfirmedOutcomes::Outcome& outcome);
  static std::uint32_t failuresOf(const Draft& draft, std::uint32_t index);
  bool endsJob(const JobId& id, const JobState& job) const;
  void writeRecord(Transaction& transaction, const JobId& id, const Draft& draft,
                   Written& written) const;
  void writeJobEnd(Transaction& transaction, const JobId& id, const JobState& job) const;

  LeaderContext& context_;
  ConfirmedOutcomes& outcomes_;
  std::size_t maxOperations_;
  std::uint32_t maxChunkSize_;  ///< tasks of a record under the present limit of a value's size
  bool mayWriteFormat2_;        ///< records may be split into sub-chunks
  std::map<std::pair<JobId, std::uint32_t>, Draft> drafts_;  ///< by the record's first task
  std::map<JobId, std::uint32_t> newlyFinished_;             ///< tasks, not of flows' jobs
  std::vector<EndedAttempt> endedAttempts_;
  std::size_t endingJobs_ = 0;
  bool full_ = false;
  std::size_t bytes_;  ///< estimated size of the whole transaction
};

}  // namespace kestrelhoist
