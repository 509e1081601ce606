#include "kestrelhoist/client.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "base/http.hpp"
#include "base/process_signals.hpp"
#include "base/tls.hpp"
#include "client/src/job_watcher.hpp"

namespace kestrelhoist::client {
namespace {
constexpr std::size_t kMaxConcurrentSubmissions = 8;
constexpr std::size_t kMaxConnections = 64;

std::uint64_t seed() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}
}  // namespace

// ---- cancellation ----

struct Cancel::State {
  std::mutex mutex;
  bool requested = false;
  std::uint64_t next = 0;
  std::map<std::uint64_t, std::function<void()>> listeners;

  // Registers `f`, which request() calls. Calls `f` at once if cancellation was already requested.
  // Returns the number of the listener, or 0 if `f` was called.
  std::uint64_t listen(std::function<void()> f) {
    {
      std::lock_guard lock(mutex);
      if (!requested) {
        listeners[++next] = std::move(f);
        return next;
      }
    }
    f();
    return 0;
  }
  void forget(std::uint64_t n) {
    std::lock_guard lock(mutex);
    listeners.erase(n);
  }
};

Cancel::Cancel() : state_(std::make_shared<State>()) {}

void Cancel::request() const {
  std::map<std::uint64_t, std::function<void()>> listeners;
  {
    std::lock_guard lock(state_->mutex);
    state_->requested = true;
    listeners = std::exchange(state_->listeners, {});
  }
  for (auto& [n, f] : listeners) f();
}

bool Cancel::requested() const {
  std::lock_guard lock(state_->mutex);
  return state_->requested;
}

// ---- the client's thread ----

struct Client::Inside {
  explicit Inside(Settings s) : settings(std::move(s)) {
    thread = std::thread([this] { run(); });
    std::unique_lock lock(mutex);
    started.wait(lock, [this] { return running; });
  }

  ~Inside() {
    loop->post([this] {
      closing = true;
      auto all = std::exchange(open, {});
      for (auto& [n, stop] : all) stop();
      // The loop runs a little longer, because the callbacks of the cancelled calls are queued on
      // it.
      loop->after(Duration{20}, [this] { loop->stop(); });
    });
    thread.join();
  }

  void run() {
    // The signals of the host program stay as they are.
    blockBrokenPipesInThread();
    EventLoop own;
    EvHttpClient http(own, kMaxConnections);
    std::string fault;
    try {
      for (const auto& server : settings.servers) {
        if (!splitAddress(server)) throw std::runtime_error(server + " is no address (ip:port)");
      }
      if (!settings.key.empty() && !parseCredential(settings.key)) {
        throw std::runtime_error("the key is not of the form kh_..._...");
      }
      if (settings.tls) {
        http.useTls("", std::make_shared<TlsClient>(settings.authority), settings.serverName);
      }
    } catch (const std::exception& e) {
      fault = e.what();
    }
    Caller caller(own, http, settings.servers, seed(),
                  {settings.key, settings.retriesPerS, settings.retryBurst, settings.hedgeReads,
                   validRequestId(settings.agent) ? settings.agent : "client"});
    JobCalls jobs(caller, settings.team, !settings.key.empty());
    {
      std::lock_guard lock(mutex);
      loop = &own;
      calls = &jobs;
      unusable = fault;
      running = true;
    }
    started.notify_all();
    own.run();
  }

  // Runs one call on the event loop. `begin` starts the call, and `done` runs exactly once.
  template <class T, class Begin>
  void start(const CallOptions& options, Done<T> done, Begin begin) {
    auto token = options.cancel ? options.cancel->state_ : nullptr;
    Duration timeout = std::max(options.deadline, std::chrono::milliseconds(1));
    loop->post([this, token, timeout, done = std::move(done), begin = std::move(begin)]() mutable {
      if (closing || !unusable.empty()) {
        Error e;
        e.kind = closing ? ErrorKind::cancelled : ErrorKind::unusable;
        e.why = closing ? "the client is closed" : unusable;
        return done(std::move(e));
      }
      auto n = ++lastCall;
      auto listener = std::make_shared<std::uint64_t>(0);
      PendingCallPtr call = begin(
          *calls, timeout, Done<T>([this, n, token, listener, done = std::move(done)](Result<T> r) {
            open.erase(n);
            if (token && *listener != 0) token->forget(*listener);
            done(std::move(r));
          }));
      open[n] = [call] { call->stop(); };
      if (token) {
        *listener = token->listen([this, call] { loop->post([call] { call->stop(); }); });
      }
    });
  }

  template <class T, class Begin>
  Result<T> await(const CallOptions& options, Begin begin) {
    std::promise<Result<T>> promise;
    auto result = promise.get_future();
    start<T>(
        options, [&promise](Result<T> r) { promise.set_value(std::move(r)); }, std::move(begin));
    return result.get();
  }

  Settings settings;
  std::mutex mutex;
  std::condition_variable started;
  bool running = false;
  EventLoop* loop = nullptr;
  JobCalls* calls = nullptr;
  std::string unusable;
  // Only the thread of the event loop accesses the following members.
  bool closing = false;
  std::uint64_t lastCall = 0;
  std::map<std::uint64_t, std::function<void()>> open;
  std::thread thread;
};

Client::Client(Settings settings) : in_(std::make_unique<Inside>(std::move(settings))) {}
Client::~Client() = default;

namespace {
auto submitCall(const Job& job, const std::string& key, const std::string& id) {
  return [job, key, id](JobCalls& c, Duration timeout, JobCalls::Done<JobState> done) {
    return c.submit(job, key, id, timeout, std::move(done));
  };
}
auto getCall(const std::string& id) {
  return [id](JobCalls& c, Duration timeout, JobCalls::Done<JobState> done) {
    return c.get(id, timeout, std::move(done));
  };
}
auto cancelCall(const std::string& id) {
  return [id](JobCalls& c, Duration timeout, JobCalls::Done<JobState> done) {
    return c.cancel(id, timeout, std::move(done));
  };
}
auto listCall(const JobQuery& query) {
  return [query](JobCalls& c, Duration timeout, JobCalls::Done<JobPage> done) {
    return c.list(query, Duration{0}, timeout, std::move(done));
  };
}

// Returns a call that watches one job and ends when the job has ended.
auto waitCall(const std::string& id) {
  return [id](JobCalls& c, Duration timeout, const JobCalls::Done<JobState>& plain) {
    struct Wait {
      std::shared_ptr<JobWatcher> watcher;
      std::optional<JobState> last;
      bool over = false;
    };
    auto wait = std::make_shared<Wait>();
    auto finish = [wait, plain](Result<JobState> r) {
      if (wait->over) return;
      wait->over = true;
      if (wait->watcher) wait->watcher->stop();
      plain(std::move(r));
    };
    auto errorOf = [id](ErrorKind kind, const std::string& why) {
      Error e;
      e.kind = kind;
      e.tried = "wait for " + id;
      e.why = why;
      return e;
    };
    wait->watcher = std::make_shared<JobWatcher>(
        c, std::vector{id}, "", [wait](const JobWatcher::Update& t) { wait->last = t.job; },
        [wait, finish](std::optional<Error> e) {
          if (e) return finish(std::move(*e));
          finish(*wait->last);
        });
    wait->watcher->start();
    c.caller().runtime().after(timeout, [wait, finish, errorOf] {
      finish(errorOf(ErrorKind::deadlinePassed,
                     wait->last ? std::string("it is ") + wordOf(wait->last->phase)
                                : "nothing was learnt of it"));
    });
    auto call = std::make_shared<PendingCall>();
    call->setCurrent([finish, errorOf] { finish(errorOf(ErrorKind::cancelled, "given up")); });
    return call;
  };
}
}  // namespace

Result<JobState> Client::submit(const Job& job, const SubmitOptions& o) {
  return in_->await<JobState>(o.call, submitCall(job, o.idempotencyKey, o.id));
}
void Client::submit(const Job& job, const SubmitOptions& o, Done<JobState> done) {
  in_->start<JobState>(o.call, std::move(done), submitCall(job, o.idempotencyKey, o.id));
}
Result<JobState> Client::get(const std::string& id, const CallOptions& o) {
  return in_->await<JobState>(o, getCall(id));
}
void Client::get(const std::string& id, const CallOptions& o, Done<JobState> done) {
  in_->start<JobState>(o, std::move(done), getCall(id));
}
Result<JobPage> Client::list(const JobQuery& query, const CallOptions& o) {
  return in_->await<JobPage>(o, listCall(query));
}
void Client::list(const JobQuery& query, const CallOptions& o, Done<JobPage> done) {
  in_->start<JobPage>(o, std::move(done), listCall(query));
}
Result<JobState> Client::cancel(const std::string& id, const CallOptions& o) {
  return in_->await<JobState>(o, cancelCall(id));
}
void Client::cancel(const std::string& id, const CallOptions& o, Done<JobState> done) {
  in_->start<JobState>(o, std::move(done), cancelCall(id));
}
Result<JobState> Client::wait(const std::string& id, const CallOptions& o) {
  return in_->await<JobState>(o, waitCall(id));
}
void Client::wait(const std::string& id, const CallOptions& o, Done<JobState> done) {
  in_->start<JobState>(o, std::move(done), waitCall(id));
}

std::vector<Result<JobState>> Client::submitAll(const std::vector<Submission>& jobs,
                                                const CallOptions& options) {
  Error none;
  none.kind = ErrorKind::cancelled;
  std::vector<Result<JobState>> results(jobs.size(), Result<JobState>(none));
  if (jobs.empty()) return results;
  auto until = std::chrono::steady_clock::now() + options.deadline;
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t next = 0, ended = 0;
  std::function<void()> submitNext = [&] {
    std::size_t i = next++;
    if (i >= jobs.size()) return;
    SubmitOptions o{jobs[i].idempotencyKey, jobs[i].id, options};
    o.call.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    submit(jobs[i].job, o, [&, i](Result<JobState> r) {
      std::lock_guard lock(mutex);
      results[i] = std::move(r);
      submitNext();
      if (++ended == jobs.size()) changed.notify_all();
    });
  };
  std::unique_lock lock(mutex);
  for (std::size_t i = 0; i < std::min(kMaxConcurrentSubmissions, jobs.size()); ++i) submitNext();
  changed.wait(lock, [&] { return ended == jobs.size(); });
  return results;
}

Result<Identity> Client::whoAmI(const CallOptions& o) {
  return in_->await<Identity>(o, [](JobCalls& c, Duration timeout, JobCalls::Done<Identity> done) {
    return c.whoAmI(timeout, std::move(done));
  });
}
Result<std::string> Client::idFor(const std::string& key, const CallOptions& o) {
  return in_->await<std::string>(
      o, [key](JobCalls& c, Duration timeout, JobCalls::Done<std::string> done) {
        return c.idFor(key, timeout, std::move(done));
      });
}
Result<KeyInfo> Client::makeKey(const std::string& team, const std::string& member,
                                const std::string& rights, const std::string& note,
                                const CallOptions& o) {
  return in_->await<KeyInfo>(o, [=](JobCalls& c, Duration timeout, JobCalls::Done<KeyInfo> done) {
    return c.makeKey(team, member, rights, note, timeout, std::move(done));
  });
}
Result<std::vector<KeyInfo>> Client::keys(const std::string& team, const std::string& member,
                                          const CallOptions& o) {
  return in_->await<std::vector<KeyInfo>>(
      o, [=](JobCalls& c, Duration timeout, JobCalls::Done<std::vector<KeyInfo>> done) {
        return c.keys(team, member, timeout, std::move(done));
      });
}
Result<KeyInfo> Client::revokeKey(const std::string& id, std::chrono::milliseconds after,
                                  const CallOptions& o) {
  return in_->await<KeyInfo>(o, [=](JobCalls& c, Duration timeout, JobCalls::Done<KeyInfo> done) {
    return c.revokeKey(id, after, timeout, std::move(done));
  });
}
Result<KeyInfo> Client::rotateKey(const std::string& id, std::chrono::milliseconds grace,
                                  const CallOptions& o) {
  return in_->await<KeyInfo>(o, [=](JobCalls& c, Duration timeout, JobCalls::Done<KeyInfo> done) {
    return c.rotateKey(id, grace, timeout, std::move(done));
  });
}

// ---- watches ----

struct Watch::State {
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<JobEvent> events;
  bool over = false;
  std::optional<Error> why;
  // Stops the watch and may be called from any thread. It is null once the watch has ended.
  std::function<void()> stop;
  std::function<void(const JobEvent&)> onEvent;
  std::function<void(std::optional<Error>)> onEnd;

  void report(JobEvent event) {
    if (onEvent) return onEvent(event);
    std::lock_guard lock(mutex);
    // A new event replaces the queued event of the same job. This limits the queue of a slow reader
    // to one event per watched job.
    auto same = std::find_if(events.begin(), events.end(),
                             [&](const JobEvent& e) { return e.job.id == event.job.id; });
    if (same != events.end()) {
      std::string cursor = event.cursor;
      events.erase(same);
      event.cursor = cursor;
    }
    events.push_back(std::move(event));
    changed.notify_all();
  }
  void finish(std::optional<Error> e) {
    if (onEnd) onEnd(e);
    std::lock_guard lock(mutex);
    over = true;
    why = std::move(e);
    stop = nullptr;
    changed.notify_all();
  }
};

Watch::Watch(std::shared_ptr<State> state) : state_(std::move(state)) {}
Watch::Watch(Watch&&) noexcept = default;
Watch& Watch::operator=(Watch&& other) noexcept {
  std::swap(state_, other.state_);
  return *this;
}
Watch::~Watch() {
  if (!state_) return;
  std::function<void()> stop;
  {
    std::lock_guard lock(state_->mutex);
    stop = std::exchange(state_->stop, nullptr);
  }
  if (stop) stop();
}

Result<std::optional<JobEvent>> Watch::next(std::chrono::milliseconds wait) {
  std::unique_lock lock(state_->mutex);
  bool signalled = state_->changed.wait_for(
      lock, wait, [this] { return !state_->events.empty() || state_->over; });
  if (!state_->events.empty()) {
    JobEvent event = std::move(state_->events.front());
    state_->events.pop_front();
    return std::optional(std::move(event));
  }
  if (signalled && state_->why) return *state_->why;
  if (signalled) return std::optional<JobEvent>();
  Error e;
  e.kind = ErrorKind::deadlinePassed;
  e.tried = "watch";
  e.why = "nothing has changed";
  return e;
}

Watch Client::watch(const WatchOptions& options) { return watch(options, nullptr, nullptr); }

Watch Client::watch(const WatchOptions& options, std::function<void(const JobEvent&)> onEvent,
                    std::function<void(std::optional<Error>)> onEnd) {
  auto state = std::make_shared<Watch::State>();
  state->onEvent = std::move(onEvent);
  state->onEnd = std::move(onEnd);
  auto token = options.cancel ? options.cancel->state_ : nullptr;
  Inside* inside = in_.get();
  auto n = std::make_shared<std::uint64_t>(0);
  // finish() clears this function when the watch ends, so it never runs after the destruction of
  // the client.
  state->stop = [inside, n] {
    inside->loop->post([inside, n] {
      auto it = inside->open.find(*n);
      if (it == inside->open.end()) return;
      auto stop = std::move(it->second);
      inside->open.erase(it);
      stop();
    });
  };
  inside->loop->post([inside, n, state, options, token] {
    Error e;
    e.kind = inside->closing ? ErrorKind::cancelled : ErrorKind::unusable;
    e.tried = "watch";
    e.why = inside->closing ? "the client is closed" : inside->unusable;
    if (inside->closing || !inside->unusable.empty()) return state->finish(e);
    auto watcher = std::make_shared<JobWatcher>(
        *inside->calls, options.ids, options.since,
        [state](const JobWatcher::Update& t) {
          state->report({t.job, t.cursor});
        },
        [inside, n, state](std::optional<Error> why) {
          inside->open.erase(*n);
          state->finish(std::move(why));
        });
    *n = ++inside->lastCall;
    inside->open[*n] = [watcher, state] {
      watcher->stop();
      Error cancelled;
      cancelled.kind = ErrorKind::cancelled;
      cancelled.tried = "watch";
      cancelled.why = "given up";
      state->finish(cancelled);
    };
    watcher->start();
    if (token) {
      token->listen([weak = std::weak_ptr<Watch::State>(state)] {
        auto s = weak.lock();
        std::function<void()> stop;
        if (!s) return;
        {
          std::lock_guard lock(s->mutex);
          stop = std::exchange(s->stop, nullptr);
        }
        if (stop) stop();
      });
    }
  });
  return Watch(state);
}

}  // namespace kestrelhoist::client
