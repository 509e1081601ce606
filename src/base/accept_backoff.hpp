/// \file
/// Pauses a listener when a connection can't be accepted.
#pragma once

#include <event2/event.h>
#include <event2/listener.h>

namespace kestrelhoist {

/// Pauses a listener for a moment when accept() fails, for example because all file descriptors are
/// in use. Otherwise the connection would stay in the queue, and the event loop would try again
/// without end. Must end before the listener, on the thread of the event loop.
class AcceptBackoff {
 public:
  /// Watches the listener from now on.
  explicit AcceptBackoff(evconnlistener* listener);
  ~AcceptBackoff();
  AcceptBackoff(const AcceptBackoff&) = delete;
  AcceptBackoff& operator=(const AcceptBackoff&) = delete;

 private:
  static void onError(evconnlistener* listener, void*);
  static void onPauseOver(evutil_socket_t, short, void* self);
  void pause();

  evconnlistener* listener_;
  event* pauseOver_;
};

}  // namespace kestrelhoist
