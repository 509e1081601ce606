#include "client/src/job_watcher.hpp"

namespace kestrelhoist::client {
namespace {
// The service may delay an empty response to a watch request by this time.
constexpr Duration kMaxResponseDelay{20000};
// The timeout of one request. The watch itself has no timeout.
constexpr Duration kRequestTimeout{30000};
// The mean interval between polls if the service offers no watch requests. Users of the protocol
// (PROTOCOL) poll every 5 s.
constexpr Duration kPollInterval{2000};
constexpr std::size_t kMaxConcurrentReads = 4;
constexpr std::size_t kPageSize = 200;
}  // namespace

JobWatcher::JobWatcher(JobCalls& calls, std::vector<std::string> ids, std::string since,
                       OnUpdate onUpdate, OnEnd onEnd)
    : calls_(calls),
      ids_(ids.begin(), ids.end()),
      cursor_(std::move(since)),
      onUpdate_(std::move(onUpdate)),
      onEnd_(std::move(onEnd)),
      random_({}, calls.caller().draw()),
      unfinishedIds_(ids_) {}

void JobWatcher::start() {
  if (calls_.hasMembers()) return hasSelectedJobs() ? fetchStartCursor() : watch();
  if (hasSelectedJobs()) return readSelectedJobs();
  Error e;
  e.kind = ErrorKind::notPermitted;
  e.tried = "watch";
  e.why = "all jobs of a member are told to a key only";
  schedule(Duration{0}, [this, e] { endWatch(e); });
}

void JobWatcher::stop() {
  stopped_ = true;
  auto calls = std::move(pendingCalls_);
  for (auto& [n, s] : calls) s->stop();
}

void JobWatcher::schedule(Duration pause, std::function<void()> f) {
  calls_.caller().runtime().after(pause, [weak = weak_from_this(), f = std::move(f)] {
    auto self = weak.lock();
    if (self && !self->stopped_) f();
  });
}

void JobWatcher::endWatch(std::optional<Error> why) {
  if (stopped_) return;
  auto onEnd = onEnd_;
  stop();
  onEnd(std::move(why));
}

bool JobWatcher::retryOrEnd(const Error& e, std::function<void()> next) {
  switch (e.kind) {
    case ErrorKind::throttled:
    case ErrorKind::unavailable:
    case ErrorKind::deadlinePassed:
      schedule(std::max(e.comeBack, backoff_.next(random_)), std::move(next));
      return true;
    default:
      endWatch(e);
      return false;
  }
}

// Fetches a cursor first and reads the jobs afterwards. A change between the two requests can
// arrive twice; reportIfChanged() drops the duplicate.
void JobWatcher::fetchStartCursor() {
  JobQuery q;
  q.since = "now";
  q.limit = 1;
  auto n = nextCallNumber_++;
  pendingCalls_[n] = calls_.list(q, Duration{0}, kRequestTimeout,
                                 [this, n, self = shared_from_this()](Result<JobPage> r) {
                                   pendingCalls_.erase(n);
                                   if (stopped_) return;
                                   if (!r && r.error().kind == ErrorKind::unknown)
                                     return readSelectedJobs();
                                   if (!r) {
                                     retryOrEnd(r.error(), [this] { fetchStartCursor(); });
                                     return;
                                   }
                                   cursor_ = r->cursor;
                                   readSelectedJobs();
                                 });
}

void JobWatcher::readSelectedJobs() {
  idsToRead_.assign(unfinishedIds_.begin(), unfinishedIds_.end());
  readsInFlight_ = 0;
  for (std::size_t i = 0; i < kMaxConcurrentReads; ++i) readNextJob();
}

void JobWatcher::readNextJob() {
  if (stopped_) return;
  if (idsToRead_.empty()) {
    if (readsInFlight_ > 0) return;
    if (unfinishedIds_.empty()) return endWatch(std::nullopt);
    if (!cursor_.empty()) return watch();
    schedule(random_.randomBetween(kPollInterval * 3 / 4, kPollInterval * 5 / 4),
             [this] { readSelectedJobs(); });
    return;
  }
  std::string id = std::move(idsToRead_.back());
  idsToRead_.pop_back();
  ++readsInFlight_;
  auto n = nextCallNumber_++;
  pendingCalls_[n] =
      calls_.get(id, kRequestTimeout, [this, n, id, self = shared_from_this()](Result<JobState> r) {
        pendingCalls_.erase(n);
        if (stopped_) return;
        --readsInFlight_;
        if (r) {
          backoff_.reset();
          if (reportIfChanged(std::move(*r), "")) readNextJob();
          return;
        }
        retryOrEnd(r.error(), [this, id] {
          idsToRead_.push_back(id);
          readNextJob();
        });
      });
}

void JobWatcher::watch() {
  JobQuery q;
  q.since = cursor_;
  q.limit = kPageSize;
  auto n = nextCallNumber_++;
  pendingCalls_[n] = calls_.list(
      q, kMaxResponseDelay, kMaxResponseDelay + kRequestTimeout,
      [this, n, self = shared_from_this()](Result<JobPage> r) {
        pendingCalls_.erase(n);
        if (stopped_) return;
        if (!r) {
          // The cursor has expired, so the watcher reads all jobs again. The function
          // reportIfChanged() reports only the states that differ from the reported ones.
          if (r.error().kind == ErrorKind::conflict && r.error().status == 410) {
            cursor_.clear();
            return hasSelectedJobs() ? fetchStartCursor()
                                     : schedule(backoff_.next(random_), [this] { watch(); });
          }
          retryOrEnd(r.error(), [this] { watch(); });
          return;
        }
        backoff_.reset();
        cursor_ = r->cursor;
        for (std::size_t i = 0; i < r->jobs.size(); ++i) {
          bool last = i + 1 == r->jobs.size();
          if (hasSelectedJobs() && !ids_.contains(r->jobs[i].id)) continue;
          if (!reportIfChanged(std::move(r->jobs[i]), last ? cursor_ : "")) return;
        }
        if (hasSelectedJobs() && unfinishedIds_.empty()) return endWatch(std::nullopt);
        watch();
      });
}

bool JobWatcher::reportIfChanged(JobState state, const std::string& cursor) {
  auto [it, isNew] =
      reportedStates_.try_emplace(state.id, ReportedState{state.phase, state.done, state.running});
  ReportedState& reported = it->second;
  if (!isNew) {
    if (ended(reported.phase)) {
      if (state.phase == reported.phase) return true;
      Error e;
      e.kind = ErrorKind::protocolViolated;
      e.tried = "watch " + state.id;
      e.why =
          std::string("it was ") + wordOf(reported.phase) + " and is called " + wordOf(state.phase);
      endWatch(e);
      return false;
    }
    // The service reports the phase `pending` for a started job whose running tasks are all lost.
    // The watcher keeps the phase `running` for such a job.
    if (!ended(state.phase)) state.phase = std::max(state.phase, reported.phase);
    if (state.phase == reported.phase && state.done == reported.done &&
        state.running == reported.running) {
      return true;
    }
    reported = {state.phase, state.done, state.running};
  }
  if (state.hasEnded()) unfinishedIds_.erase(state.id);
  onUpdate_({std::move(state), cursor});
  return !stopped_;
}

}  // namespace kestrelhoist::client
