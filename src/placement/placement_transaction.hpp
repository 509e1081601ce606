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

/// Describes an ended attempt that a transaction removes from the records.
struct EndedAttempt {
  AttemptId id;
  AttemptOutcome outcome{};
};

/// Builds one transaction over task records, each of which covers a chunk of a job's tasks.
///
/// Each change of a record also writes all confirmed outcomes that are pending for that record. So
/// a lost task is removed from its old machine and placed on its next one in the same write. A
/// builder is used for one transaction. It keeps references to the leader's state, which must not
/// change before writeTo() has been called.
class PlacementTransaction {
 public:
  using Result = TransactionBuilder::Result;

  /// Creates an empty transaction.
  PlacementTransaction(LeaderContext& context, ConfirmedOutcomes& outcomes);

  /// Adds the record of this task, with the outcomes that are pending for it and the end of its job
  /// if they end it.
  [[nodiscard]] Result addRecord(const JobId& id, const JobState& job, std::uint32_t index);

  /// Places the task. The result is `full` if its record or the transaction is full.
  [[nodiscard]] Result place(const JobId& id, const JobState& job, std::uint32_t index,
                             const TaskPlacement& placement);

  /// Returns whether the task may be placed once this transaction is applied: it is then neither
  /// finished nor dropped nor on a machine, and has retries left.
  bool mayPlace(const JobId& id, const JobState& job, std::uint32_t index) const;

  /// Returns whether the transaction has no records.
  bool empty() const { return drafts_.empty(); }

  /// Returns the attempts that this transaction removes from the records because they ended.
  const std::vector<EndedAttempt>& endedAttempts() const { return endedAttempts_; }

  /// Appends all compares and writes. The job record of each job whose last task is done is written
  /// with the phase `done`.
  void writeTo(Transaction& transaction) const;

 private:
  /// Defines the tasks [first, last) that share a record. The record covers a task chunk or a
  /// sub-chunk of one.
  struct TaskRange {
    std::uint32_t first, last;
    bool isSubChunk;
  };
  /// Holds a record as this transaction will write it.
  struct Draft {
    const JobState* job;
    TaskRange range;
    TaskChunkRecord record;
    /// This is the size of the record's value, or more if tasks were placed.
    std::size_t valueBytes = 0;
    std::size_t valueBytesBelow = 0;  ///< Placements must keep the value below this size.
    std::uint32_t newlyFinished = 0;  ///< Counts the tasks that the draft marks as finished.
    bool hasPlacements = false;       ///< The transaction places tasks of this record.
    std::vector<EndedAttempt> endedAttempts{};  ///< Lists the attempts that the draft removes.
  };
  /// Tracks which keys writeTo() has already appended, so that no compare or write is added twice.
  struct Written {
    std::set<JobId> comparedJobs, endedJobs;
    std::set<std::string> comparedRecords;
  };

  TaskRange rangeOf(const JobState& job, std::uint32_t index) const;
  bool isOversized(const Draft& draft) const;
  void applyPendingOutcomes(const JobId& id, Draft& draft, std::uint32_t index);
  void removeEnded(const JobId& id, Draft& draft, std::uint32_t index,
                   const ConfirmedOutcomes::Outcome& outcome);
  /// Returns whether the job ends if this many more of its tasks are finished.
  bool endsWith(const JobId& id, const JobState& job, std::uint32_t finished) const;
  /// Returns the writes and compares of the draft, or more than these.
  TransactionPart maxPartOf(const JobId& id, const Draft& draft, bool endsJob) const;
  Write recordWrite(const JobId& id, const Draft& draft) const;
  Write jobEndWrite(const JobId& id, const JobState& job) const;
  std::vector<Compare> recordCompares(const JobId& id, const Draft& draft) const;
  static void addUsage(Draft& draft, std::uint32_t index,
                       const ConfirmedOutcomes::Outcome& outcome);
  static std::uint32_t failuresOf(const Draft& draft, std::uint32_t index);
  bool endsJob(const JobId& id, const JobState& job) const;
  void writeRecord(Transaction& transaction, const JobId& id, const Draft& draft,
                   Written& written) const;

  LeaderContext& context_;
  ConfirmedOutcomes& outcomes_;
  /// Holds the limits for records, which may have the form of an older version.
  TransactionLimits limits_;
  std::uint32_t maxChunkSize_;  ///< A new record covers at most this many tasks, by the size limit.
  bool mayWriteFormat2_;        ///< Records may be split into sub-chunks.
  /// The key consists of the job and the index of the record's first task.
  std::map<std::pair<JobId, std::uint32_t>, Draft> drafts_;
  /// Counts finished tasks, but not of flows' jobs.
  std::map<JobId, std::uint32_t> newlyFinished_;
  std::vector<EndedAttempt> endedAttempts_;
  std::size_t endingJobs_ = 0;
  bool full_ = false;
  TransactionSize emptySize_;  ///< Is the size without any record.
  TransactionSize size_;       ///< Is the size of the whole transaction, or more.
};

}  // namespace kestrelhoist
