#include "base/event_loop.hpp"

#include <event2/thread.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

struct TimerCall {
  std::function<void()> f;
};

void onTimer(int, short, void* arg) {
  std::unique_ptr<TimerCall> call(static_cast<TimerCall*>(arg));
  EventLoop::guarded("timer", call->f);
}

}  // namespace

timeval toTimeval(Duration duration) {
  auto ms = std::max<std::int64_t>(0, duration.count());
  return {ms / 1000, static_cast<suseconds_t>((ms % 1000) * 1000)};
}

void EventLoop::guarded(const char* where, const std::function<void()>& f) {
  try {
    f();
  } catch (const std::exception& e) {
    logError("event loop callback threw an exception", "where", where, "what", e.what());
  }
}

EventLoop::EventLoop() {
  evthread_use_pthreads();
  base_ = event_base_new();
  if (!base_) throw std::runtime_error("cannot create an event loop");
  wake_ = event_new(base_, -1, EV_PERSIST, onWake, this);
}

EventLoop::~EventLoop() {
  event_free(wake_);
  event_base_free(base_);
}

Instant EventLoop::now() {
  return {std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now().time_since_epoch())
              .count()};
}

std::int64_t EventLoop::wallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void EventLoop::after(Duration delay, std::function<void()> f) {
  auto* call = new TimerCall{std::move(f)};
  timeval tv = toTimeval(delay);
  if (event_base_once(base_, -1, EV_TIMEOUT, onTimer, call, &tv) != 0) {
    delete call;
    throw std::runtime_error("cannot set a timer");
  }
}

void EventLoop::post(std::function<void()> f) {
  posted_.with([&](auto& queue) { queue.push_back(std::move(f)); });
  event_active(wake_, EV_READ, 0);
}

void EventLoop::onWake(int, short, void* self) { static_cast<EventLoop*>(self)->drain(); }

void EventLoop::drain() {
  auto batch = posted_.with([](auto& queue) { return std::exchange(queue, {}); });
  for (auto& f : batch) EventLoop::guarded("posted", f);
}

void EventLoop::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }
void EventLoop::stop() { event_base_loopbreak(base_); }

}  // namespace kestrelhoist
