#include "placement/placement_transaction.hpp"

#include <algorithm>
#include <iterator>

#include "base/log.hpp"

namespace kestrelhoist {

PlacementTransaction::PlacementTransaction(LeaderContext& context, ConfirmedOutcomes& outcomes)
    : context_(context),
      outcomes_(outcomes),
      limits_{context.store.limits().limits().operations,
              context.store.limits().presentValueBytes()},
      maxChunkSize_(chunkSizeFor(context.platform.valueBytes)),
      mayWriteFormat2_(context.mayWriteFormat2()),
      emptySize_(sizeOf(context.begin())),
      size_(emptySize_) {}

PlacementTransaction::Result PlacementTransaction::addRecord(const JobId& id, const JobState& job,
                                                             std::uint32_t index) {
  const TaskRange range = rangeOf(job, index);
  if (drafts_.contains({id, range.first})) return Result::added;
  CommitLimits& commitLimits = context_.store.limits();
  // The operation limit must allow for this record and for the end of its job.
  if (full_ || drafts_.size() + endingJobs_ + 2 > limits_.operations) return Result::full;
  Draft draft{&job, range,
              context_.replica.tasksOf(job, range.first, range.last, !range.isSubChunk)};
  applyPendingOutcomes(id, draft, index);
  const bool ends = endsWith(id, job, draft.newlyFinished);
  const TransactionPart part = maxPartOf(id, draft, ends);
  const TransactionSize partSize = sizeOf(part);
  if (!commitLimits.admitsAlone(part, sizeWith(emptySize_, partSize), limits_)) {
    return Result::unwritable;
  }
  const TransactionSize together = sizeWith(size_, partSize);
  if (!commitLimits.admitsTogether(drafts_.size() + 1, together, limits_)) {
    // The flag makes later refusals cheap, because thousands of placements may still be tried.
    full_ = true;
    return Result::full;
  }
  size_ = together;
  draft.valueBytes = jsonBytes(*part.writes.front().value);
  const std::size_t valueLimit =
      isOversized(draft) ? context_.legacyValueBytes() : context_.platform.valueBytes;
  draft.valueBytesBelow =
      std::min(valueLimit + 1, commitLimits.setAsideFrom(part.writes.front().key));
  // The end of a flow's job is written by the flow's own transaction.
  if (draft.newlyFinished > 0 && !job.record.flow) newlyFinished_[id] += draft.newlyFinished;
  if (ends) ++endingJobs_;
  endedAttempts_.insert(endedAttempts_.end(), draft.endedAttempts.begin(),
                        draft.endedAttempts.end());
  drafts_.emplace(std::pair(id, range.first), std::move(draft));
  return Result::added;
}

void PlacementTransaction::applyPendingOutcomes(const JobId& id, Draft& draft,
                                                std::uint32_t index) {
  const JobState& job = *draft.job;
  auto pending = outcomes_.pending().find({id, index / job.record.chunkSize});
  if (pending == outcomes_.pending().end()) return;
  for (const auto& [task, outcome] : pending->second.outcomes) {
    removeEnded(id, draft, task, outcome);
  }
}

PlacementTransaction::Result PlacementTransaction::place(const JobId& id, const JobState& job,
                                                         std::uint32_t index,
                                                         const TaskPlacement& placement) {
  if (Result result = addRecord(id, job, index); result != Result::added) return result;
  Draft& draft = drafts_.at({id, rangeOf(job, index).first});
  const std::size_t added = maxPlacementBytes(index, placement);
  if (draft.valueBytes + added >= draft.valueBytesBelow ||
      size_.bytes + added > kMaxTransactionBytes) {
    return Result::full;
  }
  draft.valueBytes += added;
  size_.bytes += added;
  draft.record.placed.insert_or_assign(index, placement);
  draft.hasPlacements = true;
  return Result::added;
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

// The record counts as written, although it is deleted if the job ends, and the job's revision
// counts as compared, although it is not if no task is placed and the job does not end.
TransactionPart PlacementTransaction::maxPartOf(const JobId& id, const Draft& draft,
                                                bool endsJob) const {
  const JobState& job = *draft.job;
  TransactionPart part{recordCompares(id, draft), {recordWrite(id, draft)}};
  part.compares.push_back({keys::job(id), job.modRevision});
  if (endsJob) part.writes.push_back(jobEndWrite(id, job));
  return part;
}

void PlacementTransaction::writeTo(Transaction& transaction) const {
  Written written;
  transaction.parts = drafts_.size();
  for (const auto& [key, draft] : drafts_) {
    const JobId& id = key.first;
    const JobState& job = *draft.job;
    writeRecord(transaction, id, draft, written);
    bool ends = endsJob(id, job);
    if ((ends || draft.hasPlacements) && written.comparedJobs.insert(id).second) {
      transaction.compares.push_back({keys::job(id), job.modRevision});
    }
    if (ends && written.endedJobs.insert(id).second) {
      transaction.writes.push_back(jobEndWrite(id, job));
      logInfo("job done", "job", id, "tasks", job.tasks);
    }
  }
}

void PlacementTransaction::writeRecord(Transaction& transaction, const JobId& id,
                                       const Draft& draft, Written& written) const {
  for (auto& compare : recordCompares(id, draft)) {
    if (written.comparedRecords.insert(compare.key).second) {
      transaction.compares.push_back(std::move(compare));
    }
  }
  Write write = recordWrite(id, draft);
  // When all tasks are done, this transaction also writes the job's end, compares the job's
  // modRevision, and deletes the records of the job's tasks. A cancellation changes the
  // modRevision, so a cancellation and a placement can't both succeed. The same compare keeps a
  // delayed duplicate of the write that created this record from creating it again. The record of a
  // sub-chunk is not deleted, because the outdated record of the whole chunk would then apply to
  // its tasks.
  if (endsJob(id, *draft.job) && !draft.range.isSubChunk && draft.record.placed.empty() &&
      context_.replica.modRevisionOf(write.key) != Revision{}) {
    write.value.reset();
  }
  transaction.writes.push_back(std::move(write));
}

Write PlacementTransaction::recordWrite(const JobId& id, const Draft& draft) const {
  const TaskRange& range = draft.range;
  std::string key = range.isSubChunk ? keys::subChunk(id, range.first, range.last)
                                     : keys::tasks(id, range.first / draft.job->record.chunkSize);
  return {std::move(key), toJson(draft.record), std::nullopt};
}

std::vector<Compare> PlacementTransaction::recordCompares(const JobId& id,
                                                          const Draft& draft) const {
  const TaskRange& range = draft.range;
  const std::string chunkKey = keys::tasks(id, range.first / draft.job->record.chunkSize);
  const Compare chunk{chunkKey, context_.replica.modRevisionOf(chunkKey)};
  if (!range.isSubChunk) return {chunk};
  // The first write of a sub-chunk copies the state of its tasks from the record of the whole
  // chunk, so it also compares that record's revision.
  const std::string key = keys::subChunk(id, range.first, range.last);
  return {{key, context_.replica.modRevisionOf(key)}, chunk};
}

Write PlacementTransaction::jobEndWrite(const JobId& id, const JobState& job) const {
  JobRecord record = job.record;
  record.phase = JobPhase::done;
  // Jobs that depend on this one count their waiting time from this time on.
  record.endedAtMs = context_.runtime.wallMillis();
  return endedJobWrite(id, record, job.modRevision, context_.store.limits());
}

bool PlacementTransaction::endsWith(const JobId& id, const JobState& job,
                                    std::uint32_t finished) const {
  if (finished == 0 || job.record.flow) return false;
  auto earlier = newlyFinished_.find(id);
  if (earlier != newlyFinished_.end()) finished += earlier->second;
  return job.finishedCount + finished >= job.tasks;
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
  draft.endedAttempts.push_back({{{id, index}, outcome.attempt}, outcome.attemptOutcome});
}

}  // namespace kestrelhoist
