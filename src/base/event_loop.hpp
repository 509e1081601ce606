/// \file
/// Implements the event loop of the process's single I/O thread, over libevent. base/http.hpp has
/// HTTP on it.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/guarded.hpp"
#include "base/runtime.hpp"

namespace kestrelhoist {

/// Converts a duration to libevent's form; a negative duration becomes 0.
timeval toTimeval(Duration duration);

/// Implements Runtime over a libevent loop.
class EventLoop : public Runtime {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Instant now() override;
  std::int64_t wallMillis() override;
  void after(Duration delay, std::function<void()> f) override;

  /// Runs `f` on the loop's thread. It may be called from any thread.
  void post(std::function<void()> f);
  /// Runs the loop until stop() is called.
  void run();
  /// Makes run() return.
  void stop();
  /// Returns the libevent loop.
  event_base* base() { return base_; }
  /// Calls `f` and logs an exception that it throws, so that the process continues.
  static void guarded(const char* where, const std::function<void()>& f);

 private:
  static void onWake(int, short, void* self);
  void drain();
  event_base* base_;
  event* wake_;
  Guarded<std::vector<std::function<void()>>> posted_;
};

}  // namespace kestrelhoist
