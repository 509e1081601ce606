#include "client/src/job_watcher.hpp"

namespace kestrelhoist::client {
namespace {
// The service may delay an empty response to a watch request by this time.
constexpr Duration kHeld{20000};
// The timeout of one request. The watch itself has no timeout.
constexpr Duration kOneCall{30000};
// The mean interval between polls if the service offers no watch requests. Users of the protocol
// (PROTOCOL) poll every 5 s.
constexpr Duration kPollEvery{2000};
constexpr std::size_t kAtATime = 4;
constexpr std::size_t kPage = 200;
}  // namespace

JobWatcher::JobWatcher(JobCalls& calls, std::vector<std::string> ids, std::string since,
                       OnTold told, OnOver over)
    : calls_(calls),
      ids_(ids.begin(), ids.end()),
      cursor_(std::move(since)),
      told_(std::move(told)),
      over_(std::move(over)),
      random_({}, calls.caller().draw()),
      open_(ids_) {}

void JobWatcher::start() {
  if (calls_.hasMembers()) return named() ? beginWatch() : watch();
  if (named()) return readNamed();
  Error e;
  e.kind = ErrorKind::notPermitted;
  e.tried = "watch";
  e.why = "all jobs of a member are told to a key only";
  later(Duration{0}, [this, e] { end(e); });
}

void JobWatcher::stop() {
  stopped_ = true;
  auto steps = std::move(steps_);
  for (auto& [n, s] : steps) s->stop();
}

void JobWatcher::later(Duration pause, std::function<void()> f) {
  calls_.caller().runtime().after(pause, [weak = weak_from_this(), f = std::move(f)] {
    auto self = weak.lock();
    if (self && !self->stopped_) f();
  });
}

void JobWatcher::end(std::optional<Error> why) {
  if (stopped_) return;
  auto over = over_;
  stop();
  over(std::move(why));
}

bool JobWatcher::goesOn(const Error& e, std::function<void()> next) {
  switch (e.kind) {
    case ErrorKind::throttled:
    case ErrorKind::unavailable:
    case ErrorKind::deadlinePassed:
      later(std::max(e.comeBack, backoff_.next(random_)), std::move(next));
      return true;
    default:
      end(e);
      return false;
  }
}

// Fetches a cursor first and reads the jobs afterwards. A change between the two requests can
// arrive twice; note() drops the duplicate.
void JobWatcher::beginWatch() {
  JobQuery q;
  q.since = "now";
  q.limit = 1;
  auto n = nextStep_++;
  steps_[n] = calls_.list(q, Duration{0}, kOneCall,
                          [this, n, self = shared_from_this()](Result<JobPage> r) {
                            steps_.erase(n);
                            if (stopped_) return;
                            if (!r && r.error().kind == ErrorKind::unknown) return readNamed();
                            if (!r) {
                              goesOn(r.error(), [this] { beginWatch(); });
                              return;
                            }
                            cursor_ = r->cursor;
                            readNamed();
                          });
}

void JobWatcher::readNamed() {
  toRead_.assign(open_.begin(), open_.end());
  reading_ = 0;
  for (std::size_t i = 0; i < kAtATime; ++i) readNext();
}

void JobWatcher::readNext() {
  if (stopped_) return;
  if (toRead_.empty()) {
    if (reading_ > 0) return;
    if (open_.empty()) return end(std::nullopt);
    if (!cursor_.empty()) return watch();
    later(random_.between(kPollEvery * 3 / 4, kPollEvery * 5 / 4), [this] { readNamed(); });
    return;
  }
  std::string id = std::move(toRead_.back());
  toRead_.pop_back();
  ++reading_;
  auto n = nextStep_++;
  steps_[n] =
      calls_.get(id, kOneCall, [this, n, id, self = shared_from_this()](Result<JobState> r) {
        steps_.erase(n);
        if (stopped_) return;
        --reading_;
        if (r) {
          backoff_.reset();
          if (note(std::move(*r), "")) readNext();
          return;
        }
        goesOn(r.error(), [this, id] {
          toRead_.push_back(id);
          readNext();
        });
      });
}

void JobWatcher::watch() {
  JobQuery q;
  q.since = cursor_;
  q.limit = kPage;
  auto n = nextStep_++;
  steps_[n] = calls_.list(
      q, kHeld, kHeld + kOneCall, [this, n, self = shared_from_this()](Result<JobPage> r) {
        steps_.erase(n);
        if (stopped_) return;
        if (!r) {
          // The cursor has expired, so the watcher reads all jobs again. The function note()
          // reports only the states that differ from the reported ones.
          if (r.error().kind == ErrorKind::conflict && r.error().status == 410) {
            cursor_.clear();
            return named() ? beginWatch() : later(backoff_.next(random_), [this] { watch(); });
          }
          goesOn(r.error(), [this] { watch(); });
          return;
        }
        backoff_.reset();
        cursor_ = r->cursor;
        for (std::size_t i = 0; i < r->jobs.size(); ++i) {
          bool last = i + 1 == r->jobs.size();
          if (named() && !ids_.contains(r->jobs[i].id)) continue;
          if (!note(std::move(r->jobs[i]), last ? cursor_ : "")) return;
        }
        if (named() && open_.empty()) return end(std::nullopt);
        watch();
      });
}

bool JobWatcher::note(JobState state, const std::string& cursor) {
  auto [it, isNew] = seen_.try_emplace(state.id, Seen{state.phase, state.done, state.running});
  Seen& seen = it->second;
  if (!isNew) {
    if (ended(seen.phase)) {
      if (state.phase == seen.phase) return true;
      Error e;
      e.kind = ErrorKind::protocolViolated;
      e.tried = "watch " + state.id;
      e.why = std::string("it was ") + wordOf(seen.phase) + " and is called " + wordOf(state.phase);
      end(e);
      return false;
    }
    // The service reports the phase `pending` for a started job whose running tasks are all lost.
    // The watcher keeps the phase `running` for such a job.
    if (!ended(state.phase)) state.phase = std::max(state.phase, seen.phase);
    if (state.phase == seen.phase && state.done == seen.done && state.running == seen.running) {
      return true;
    }
    seen = {state.phase, state.done, state.running};
  }
  if (state.hasEnded()) open_.erase(state.id);
  told_({std::move(state), cursor});
  return !stopped_;
}

}  // namespace kestrelhoist::client
