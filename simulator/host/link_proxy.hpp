/// \file
/// Forwards one network link of a controller over loopback and can cut it. The proxy passes bytes
/// between its clients and one target address. In mode `hold` the bytes wait and no connection
/// fails; in mode `reset` connections are closed, and new ones are closed immediately.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "base/event_loop.hpp"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace kestrelhoist::simulator {

/// Forwards connections from a loopback port to one target address.
class LinkProxy {
 public:
  enum class Mode { up, hold, reset };

  /// Listens on a free port of 127.0.0.1. Throws std::runtime_error if there is none.
  LinkProxy(EventLoop& loop, std::string name, const std::string& target);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  std::string address() const { return address_; }
  const std::string& name() const { return name_; }
  Mode mode() const { return mode_; }
  void set(Mode mode);

 private:
  struct ConnectionPair {
    LinkProxy* proxy{};
    bufferevent* ends[2]{};
    bool hasClosed[2]{};
    ~ConnectionPair();
  };
  static void onAccept(evconnlistener*, int fd, sockaddr*, int, void* self);
  static void onRead(bufferevent* from, void* pair);
  static void onWritten(bufferevent* to, void* pair);
  static void onEvent(bufferevent* at, short what, void* pair);
  void drop(ConnectionPair* pair);

  EventLoop& loop_;
  std::string name_, target_, address_;
  evconnlistener* listener_ = nullptr;
  Mode mode_ = Mode::up;
  std::list<std::unique_ptr<ConnectionPair>> connectionPairs_;
};

}  // namespace kestrelhoist::simulator
