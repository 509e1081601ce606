#pragma once

#include <map>
#include <set>

#include "base/log.hpp"
#include "placement/confirmed_outcomes.hpp"

namespace kestrelhoist {

// Puts together one transaction over stretches of jobs' tasks. Whatever is due for a stretch
// goes with any change of it, so a task that is lost leaves its machine and gets its next one in
// the same write.
class PlacementTransaction {
 public:
  PlacementTransaction(LeaderContext& context, ConfirmedOutcomes& outcomes)
      : context_(context),
        outcomes_(outcomes),
        limit_(context.platform.transactionOps),
        fits_(chunkSizeFor(context.platform.valueBytes)),
        mayWriteFormat2_(context.mayWriteFormat2()) {}

  // The record of this task, with what is due for it. False: this transaction is full.
  bool open(const JobId& id, const JobState& job, std::uint32_t index) {
    const Piece piece = pieceOf(job, index);
    if (drafts_.contains({id, piece.first})) return true;
    // Room for this record and for its job's end.
    if (full_ || drafts_.size() + ending_ + 2 > limit_) return false;
    Draft draft{&job, piece, context_.replica.tasksOf(job, piece.first, piece.last, !piece.part),
                0,    0,     false};
    std::size_t size = draft.record.bytes() + (piece.last - piece.first) / 4 + 2;
    if (bytes_ + size + kBytesPerWrite > kMaxTransactionBytes && !drafts_.empty()) {
      full_ = true;  // asked again for each of thousands of placements, which must cost nothing
      return false;
    }
    bytes_ += size + kBytesPerWrite;
    draft.bytes = size;
    if (auto pending = outcomes_.pending().find({id, index / job.record.chunkSize});
        pending != outcomes_.pending().end()) {
      for (const auto& [task, outcome] : pending->second.outcomes)
        takeOff(id, draft, task, outcome);
    }
    // A flow's job ends in its flow's own transaction.
    if (draft.done > 0 && !job.record.flow) {
      auto& done = newlyDone_[id];
      done += draft.done;
      if (job.finishedCount + done >= job.tasks) ++ending_;
    }
    drafts_.emplace(std::pair(id, piece.first), std::move(draft));
    return true;
  }

  // False: no more of this record in this transaction.
  bool place(const JobId& id, const JobState& job, std::uint32_t index,
             const TaskPlacement& placed) {
    if (!open(id, job, index)) return false;
    Draft& draft = drafts_.at({id, pieceOf(job, index).first});
    std::size_t more = placed.machine.value.size() + 46;
    std::size_t limit =
        draft.isWide(fits_) ? context_.legacyValueBytes() : context_.platform.valueBytes;
    if (draft.bytes + more > limit || bytes_ + more > kMaxTransactionBytes) return false;
    draft.bytes += more;
    bytes_ += more;
    draft.record.placed.insert_or_assign(index, placed);
    draft.places = true;
    return true;
  }

  bool mayPlace(const JobId& id, const JobState& job, std::uint32_t index) const {
    if (job.isSettled(index)) return false;
    auto draft = drafts_.find({id, pieceOf(job, index).first});
    if (draft != drafts_.end()) {
      return !draft->second.record.placed.contains(index) &&
             !draft->second.record.finished.test(index - draft->second.piece.first) &&
             !(job.record.flow && failuresIn(draft->second, index) > job.record.flow->retries);
    }
    auto placed = job.placed.find(index);
    if (placed == job.placed.end()) return true;
    const ConfirmedOutcomes::Outcome* outcome =
        outcomes_.find({{id, index}, placed->second.attempt});
    return outcome && !outcome->isFinal;
  }

  bool empty() const { return drafts_.empty(); }
  std::vector<std::pair<AttemptId, AttemptOutcome>>& settled() { return settled_; }

  void finish(Transaction& t) {
    std::set<JobId> compared, ended;
    std::set<std::string> comparedWhole;
    for (auto& [key, draft] : drafts_) {
      const JobId& id = key.first;
      const JobState& job = *draft.job;
      const Piece& piece = draft.piece;
      std::string whole = keys::tasks(id, piece.first / job.record.chunkSize);
      std::string name = piece.part ? keys::subChunk(id, piece.first, piece.last) : whole;
      t.compares.push_back({name, context_.replica.modRevisionOf(name)});
      // Its tasks were in the stretch's record until now, if this is its first write.
      if (piece.part && comparedWhole.insert(whole).second) {
        t.compares.push_back({whole, context_.replica.modRevisionOf(whole)});
      }
      auto done = newlyDone_.find(id);
      bool ends = done != newlyDone_.end() && job.finishedCount + done->second >= job.tasks;
      // All tasks are done: the job's end is in the same transaction, on the job's stamp, and
      // what is left to know of its tasks goes. An abort moves the stamp, so it and a placement
      // can't both win; and a late copy of the write that created the key can't bring it back.
      // A part stays: without it the stretch's record, which is out of date, would count.
      bool drop = ends && !piece.part && draft.record.placed.empty() &&
                  context_.replica.modRevisionOf(name) != Revision{};
      t.writes.push_back(
          {name, drop ? std::nullopt : std::optional(toJson(draft.record)), std::nullopt});
      if ((ends || draft.places) && compared.insert(id).second) {
        t.compares.push_back({keys::job(id), job.modRevision});
      }
      if (ends && ended.insert(id).second) {
        JobRecord record = job.record;
        record.phase = JobPhase::done;
        // From then on count the times of the jobs that await it.
        record.endedAtMs = context_.runtime.wallMillis();
        t.writes.push_back({keys::job(id), toJson(record), std::nullopt});
        logInfo("job done", "job", id, "tasks", job.tasks);
      }
    }
  }

 private:
  static constexpr std::size_t kBytesPerWrite = 400;  // keys, conditions, a job's end
  // Tasks that share a record: a stretch, or a part of one.
  struct Piece {
    std::uint32_t first, last;
    bool part;
  };
  struct Draft {
    const JobState* job;
    Piece piece;
    TaskChunkRecord record;
    std::size_t bytes;
    std::uint32_t done;
    bool places;
    // A stretch that was made for a larger limit.
    bool isWide(std::uint32_t fits) const { return !piece.part && job->record.chunkSize > fits; }
  };

  // Parts that are on record stay as they are. Others are cut for the smaller limit, in stretches
  // that were made for a larger one.
  Piece pieceOf(const JobState& job, std::uint32_t index) const {
    const std::uint32_t chunk = job.record.chunkSize;
    const std::uint32_t begin = index / chunk * chunk;
    if (auto part = job.subChunkOf(index)) return {part->first, part->end, true};
    if (!job.subChunks && (chunk <= fits_ || !mayWriteFormat2_))
      return {begin, begin + chunk, false};
    std::uint32_t first = begin + (index - begin) / fits_ * fits_;
    std::uint32_t last = std::min(first + fits_, begin + chunk);
    if (job.subChunks) {
      // Of another width, if the limits have fallen more than once.
      auto after = job.subChunks->upper_bound(index);
      if (after != job.subChunks->end()) last = std::min(last, after->first);
      if (after != job.subChunks->begin()) first = std::max(first, std::prev(after)->second);
    }
    return {first, last, true};
  }

  static std::uint32_t failuresIn(const Draft& draft, std::uint32_t index) {
    auto it = draft.record.failures.find(index);
    return it == draft.record.failures.end() ? 0 : it->second;
  }

  // What the attempt used goes with the write that takes it off the record: counted once, however
  // often leaders change.
  static void account(Draft& draft, std::uint32_t index,
                      const ConfirmedOutcomes::Outcome& outcome) {
    TaskChunkRecord& r = draft.record;
    const JobState& job = *draft.job;
    auto ran = static_cast<std::uint64_t>(std::max<std::int64_t>(0, outcome.ran.count()));
    if (outcome.how != AttemptOutcome::refused) ++r.use.attempts;
    bool done = outcome.how == AttemptOutcome::done && job.active() && !job.isDropped(index);
    (done ? r.use.ranMs : r.use.lostMs) += ran;
    if (done) {
      ++r.use.tasks;
      r.failures.erase(index);
    } else if (outcome.how == AttemptOutcome::failed &&
               ++r.failures[index] > job.record.flow->retries && !job.isDropped(index)) {
      ++r.use.failed;
    }
  }

  void takeOff(const JobId& id, Draft& draft, std::uint32_t index,
               const ConfirmedOutcomes::Outcome& outcome) {
    auto at = draft.record.placed.find(index);
    if (index < draft.piece.first || index >= draft.piece.last) return;
    if (at == draft.record.placed.end() || at->second.attempt != outcome.attempt) return;
    draft.record.placed.erase(at);
    const JobState& job = *draft.job;
    if (outcome.how == AttemptOutcome::done && job.active() &&
        job.record.spec->kind != JobKind::service &&
        !draft.record.finished.test(index - draft.piece.first)) {
      draft.record.finished.set(index - draft.piece.first);
      ++draft.done;
    }
    if (job.record.flow) account(draft, index, outcome);
    settled_.push_back({{{id, index}, outcome.attempt}, outcome.how});
  }

  LeaderContext& context_;
  ConfirmedOutcomes& outcomes_;
  std::size_t limit_;
  std::uint32_t fits_;  // tasks of a record under the smaller limit
  bool mayWriteFormat2_;
  std::map<std::pair<JobId, std::uint32_t>, Draft> drafts_;  // by the record's first task
  std::map<JobId, std::uint32_t> newlyDone_;
  std::vector<std::pair<AttemptId, AttemptOutcome>> settled_;
  std::size_t ending_ = 0;
  bool full_ = false;
  std::size_t bytes_ = 1024;
};

}  // namespace kestrelhoist
