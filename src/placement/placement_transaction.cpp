#include "placement/placement_transaction.hpp"

#include <algorithm>
#include <iterator>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// These sizes are estimates of the encoded transaction.
constexpr std::size_t kTransactionBytes = 1024;  // The size excludes the writes.
constexpr std::size_t kBytesPerWrite = 400;     // The size includes keys, compares and a job's end.
constexpr std::size_t kBytesPerPlacement = 46;  // The size excludes the machine's id.

}  // namespace

PlacementTransaction::PlacementTransaction(LeaderContext& context, ConfirmedOutcomes& outcomes)
    : context_(context),
      outcomes_(outcomes),
      maxOperations_(context.platform.transactionOps),
      maxChunkSize_(chunkSizeFor(context.platform.valueBytes)),
      mayWriteFormat2_(context.mayWriteFormat2()),
      bytes_(kTransactionBytes) {}

bool PlacementTransaction::addRecord(const JobId& id, const JobState& job, std::uint32_t index) {
  const TaskRange range = rangeOf(job, index);
  if (drafts_.contains({id, range.first})) return true;
  // The operation limit must allow for this record and for the end of its job.
  if (full_ || drafts_.size() + endingJobs_ + 2 > maxOperations_) return false;
  Draft draft{
      &job, range, context_.replica.tasksOf(job, range.first, range.last, !range.isSubChunk),
      0,    0,     false};
  std::size_t size = draft.record.maxEncodedBytes() + (range.last - range.first) / 4 + 2;
  if (bytes_ + size + kBytesPerWrite > kMaxTransactionBytes && !drafts_.empty()) {
    // The flag makes later refusals cheap, because thousands of placements may still be tried.
    full_ = true;
    return false;
  }
  bytes_ += size + kBytesPerWrite;
  draft.bytes = size;
  applyPendingOutcomes(id, draft, index);
  drafts_.emplace(std::pair(id, range.first), std::move(draft));
  return true;
}

void PlacementTransaction::applyPendingOutcomes(const JobId& id, Draft& draft,
                                                std::uint32_t index) {
  const JobState& job = *draft.job;
  auto pending = outcomes_.pending().find({id, index / job.record.chunkSize});
  if (pending != outcomes_.pending().end()) {
    for (const auto& [task, outcome] : pending->second.outcomes) {
      removeEnded(id, draft, task, outcome);
    }
  }
  // The end of a flow's job is written by the flow's own transaction.
  if (draft.newlyFinished == 0 || job.record.flow) return;
  newlyFinished_[id] += draft.newlyFinished;
  if (endsJob(id, job)) ++endingJobs_;
}

bool PlacementTransaction::place(const JobId& id, const JobState& job, std::uint32_t index,
                                 const TaskPlacement& placement) {
  if (!addRecord(id, job, index)) return false;
  Draft& draft = drafts_.at({id, rangeOf(job, index).first});
  std::size_t added = placement.machine.value.size() + kBytesPerPlacement;
  std::size_t limit =
      isOversized(draft) ? context_.legacyValueBytes() : context_.platform.valueBytes;
  if (draft.bytes + added > limit || bytes_ + added > kMaxTransactionBytes) return false;
  draft.bytes += added;
  bytes_ += added;
  draft.record.placed.insert_or_assign(index, placement);
  draft.hasPlacements = true;
  return true;
}

bool PlacementTransaction::mayPlace(const JobId& id, const JobState& job,
                                    std::uint32_t index) const {
  if (job.isSettled(index)) return false;
  if (auto it = drafts_.find({id, rangeOf(job, index).first}); it != drafts_.end()) {
    const Draft& draft = it->second;
    return !draft.record.placed.contains(index) &&
           !draft.record.finished.test(index - draft.range.first) &&
           !(job.record.flow && failuresOf(draft, index) > job.record.flow->retries);
  }
  auto placed = job.placed.find(index);
  if (placed == job.placed.end()) return true;
  const ConfirmedOutcomes::Outcome* outcome = outcomes_.find({{id, index}, placed->second.attempt});
  return outcome && !outcome->isFinal;
}

void PlacementTransaction::writeTo(Transaction& transaction) const {
  Written written;
  for (const auto& [key, draft] : drafts_) {
    const JobId& id = key.first;
    const JobState& job = *draft.job;
    writeRecord(transaction, id, draft, written);
    bool ends = endsJob(id, job);
    if ((ends || draft.hasPlacements) && written.comparedJobs.insert(id).second) {
      transaction.compares.push_back({keys::job(id), job.modRevision});
    }
    if (ends && written.endedJobs.insert(id).second) writeJobEnd(transaction, id, job);
  }
}

void PlacementTransaction::writeRecord(Transaction& transaction, const JobId& id,
                                       const Draft& draft, Written& written) const {
  const TaskRange& range = draft.range;
  std::string chunkKey = keys::tasks(id, range.first / draft.job->record.chunkSize);
  std::string key = range.isSubChunk ? keys::subChunk(id, range.first, range.last) : chunkKey;
  transaction.compares.push_back({key, context_.replica.modRevisionOf(key)});
  // The first write of a sub-chunk copies the state of its tasks from the record of the whole
  // chunk, so it also compares that record's revision.
  if (range.isSubChunk && written.comparedChunks.insert(chunkKey).second) {
    transaction.compares.push_back({chunkKey, context_.replica.modRevisionOf(chunkKey)});
  }
  // When all tasks are done, this transaction also writes the job's end, compares the job's
  // modRevision, and deletes the records of the job's tasks. A cancellation changes the
  // modRevision, so a cancellation and a placement can't both succeed. The same compare keeps a
  // delayed duplicate of the write that created this record from creating it again. The record of a
  // sub-chunk is not deleted, because the outdated record of the whole chunk would then apply to
  // its tasks.
  bool isDeleted = endsJob(id, *draft.job) && !range.isSubChunk && draft.record.placed.empty() &&
                   context_.replica.modRevisionOf(key) != Revision{};
  transaction.writes.push_back(
      {key, isDeleted ? std::nullopt : std::optional(toJson(draft.record)), std::nullopt});
}

void PlacementTransaction::writeJobEnd(Transaction& transaction, const JobId& id,
                                       const JobState& job) const {
  JobRecord record = job.record;
  record.phase = JobPhase::done;
  // Jobs that depend on this one count their waiting time from this time on.
  record.endedAtMs = context_.runtime.wallMillis();
  transaction.writes.push_back({keys::job(id), toJson(record), std::nullopt});
  logInfo("job done", "job", id, "tasks", job.tasks);
}

// Returns whether this transaction finishes the last of the job's tasks.
bool PlacementTransaction::endsJob(const JobId& id, const JobState& job) const {
  auto finished = newlyFinished_.find(id);
  return finished != newlyFinished_.end() && job.finishedCount + finished->second >= job.tasks;
}

// Returns whether the draft covers a whole chunk that was created under a larger limit for the size
// of a value.
bool PlacementTransaction::isOversized(const Draft& draft) const {
  return !draft.range.isSubChunk && draft.job->record.chunkSize > maxChunkSize_;
}

// Returns the range of tasks that shares a record with the task `index`. Sub-chunks that are on
// record keep their range. The rest of a chunk that was created under a larger limit for the size
// of a value is split into sub-chunks that fit the current limit.
PlacementTransaction::TaskRange PlacementTransaction::rangeOf(const JobState& job,
                                                              std::uint32_t index) const {
  const std::uint32_t chunkSize = job.record.chunkSize;
  const std::uint32_t begin = index / chunkSize * chunkSize;
  if (auto recorded = job.subChunkOf(index)) return {recorded->first, recorded->end, true};
  if (!job.subChunks && (chunkSize <= maxChunkSize_ || !mayWriteFormat2_)) {
    return {begin, begin + chunkSize, false};
  }
  std::uint32_t first = begin + (index - begin) / maxChunkSize_ * maxChunkSize_;
  std::uint32_t last = std::min(first + maxChunkSize_, begin + chunkSize);
  if (job.subChunks) {
    // The neighbouring sub-chunks have other sizes if the limit has been lowered more than once.
    auto after = job.subChunks->upper_bound(index);
    if (after != job.subChunks->end()) last = std::min(last, after->first);
    if (after != job.subChunks->begin()) first = std::max(first, std::prev(after)->second);
  }
  return {first, last, true};
}

std::uint32_t PlacementTransaction::failuresOf(const Draft& draft, std::uint32_t index) {
  auto it = draft.record.failures.find(index);
  return it == draft.record.failures.end() ? 0 : it->second;
}

// Adds the attempt's resource usage to the record. The same write removes the attempt from the
// record, so the usage is counted exactly once even if the leader changes.
void PlacementTransaction::addUsage(Draft& draft, std::uint32_t index,
                                    const ConfirmedOutcomes::Outcome& outcome) {
  TaskChunkRecord& record = draft.record;
  const JobState& job = *draft.job;
  auto ranMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, outcome.ran.count()));
  if (outcome.attemptOutcome != AttemptOutcome::refused) ++record.use.attempts;
  bool done =
      outcome.attemptOutcome == AttemptOutcome::done && job.active() && !job.isDropped(index);
  (done ? record.use.ranMs : record.use.lostMs) += ranMs;
  if (done) {
    ++record.use.tasks;
    record.failures.erase(index);
  } else if (outcome.attemptOutcome == AttemptOutcome::failed &&
             ++record.failures[index] > job.record.flow->retries && !job.isDropped(index)) {
    ++record.use.failed;
  }
}

void PlacementTransaction::removeEnded(const JobId& id, Draft& draft, std::uint32_t index,
                                       const ConfirmedOutcomes::Outcome& outcome) {
  if (index < draft.range.first || index >= draft.range.last) return;
  auto placed = draft.record.placed.find(index);
  if (placed == draft.record.placed.end() || placed->second.attempt != outcome.attempt) return;
  draft.record.placed.erase(placed);
  const JobState& job = *draft.job;
  std::uint32_t offset = index - draft.range.first;
  if (outcome.attemptOutcome == AttemptOutcome::done && job.active() &&
      job.record.spec->kind != JobKind::service && !draft.record.finished.test(offset)) {
    draft.record.finished.set(offset);
    ++draft.newlyFinished;
  }
  if (job.record.flow) addUsage(draft, index, outcome);
  endedAttempts_.push_back({{{id, index}, outcome.attempt}, outcome.attemptOutcome});
}

}  // namespace kestrelhoist
