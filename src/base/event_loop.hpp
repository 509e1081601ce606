/// \file
/// The one I/O thread: libevent's loop. HTTP on it is in base/http.hpp.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/guarded.hpp"
#include "base/runtime.hpp"

namespace kestrelhoist {

class EventLoop : public Runtime {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Instant now() override;
  std::int64_t wallMillis() override;
  void after(Duration delay, std::function<void()> f) override;

  /// From any thread: runs `f` on the loop's thread.
  void post(std::function<void()> f);
  void run();
  void stop();
  event_base* base() { return base_; }
  /// Calls `f`; exceptions stop at the event loop's edge: logged, the process goes on.
  static void guarded(const char* where, const std::function<void()>& f);

 private:
  static void onWake(int, short, void* self);
  void drain();
  event_base* base_;
  event* wake_;
  Guarded<std::vector<std::function<void()>>> posted_;
};

}  // namespace kestrelhoist
