#include "base/accept_backoff.hpp"

#include <map>

#include "base/event_loop.hpp"
#include "base/guarded.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {

constexpr Duration kPause{500};

// libevent passes the error callback only the listener, since its argument belongs to evhttp.
Guarded<std::map<evconnlistener*, AcceptBackoff*>>& backoffs() {
  static Guarded<std::map<evconnlistener*, AcceptBackoff*>> all;
  return all;
}

}  // namespace

AcceptBackoff::AcceptBackoff(evconnlistener* listener)
    : listener_(listener),
      pauseOver_(evtimer_new(evconnlistener_get_base(listener), onPauseOver, this)) {
  backoffs().with([&](auto& all) { all[listener] = this; });
  evconnlistener_set_error_cb(listener, onError);
}

AcceptBackoff::~AcceptBackoff() {
  evconnlistener_set_error_cb(listener_, nullptr);
  backoffs().with([&](auto& all) { all.erase(listener_); });
  event_free(pauseOver_);
}

void AcceptBackoff::onError(evconnlistener* listener, void*) {
  const int error = EVUTIL_SOCKET_ERROR();
  auto* self = backoffs().with([&](auto& all) {
    auto found = all.find(listener);
    return found == all.end() ? nullptr : found->second;
  });
  if (!self) return;
  logError("a connection can't be accepted; pausing", "why", evutil_socket_error_to_string(error));
  self->pause();
}

void AcceptBackoff::pause() {
  evconnlistener_disable(listener_);
  const timeval pause = toTimeval(kPause);
  evtimer_add(pauseOver_, &pause);
}

void AcceptBackoff::onPauseOver(evutil_socket_t, short, void* self) {
  evconnlistener_enable(static_cast<AcceptBackoff*>(self)->listener_);
}

}  // namespace kestrelhoist
