#include "simulator/host/link_proxy.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <unistd.h>

#include <stdexcept>

#include "base/http.hpp"

namespace kestrelhoist::simulator {
namespace {

sockaddr_in nameOf(const std::string& address) {
  auto parts = splitAddress(address);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  if (parts) {
    inet_pton(AF_INET, parts->first.c_str(), &name.sin_addr);
    name.sin_port = htons(static_cast<std::uint16_t>(parts->second));
  }
  return name;
}

}  // namespace

LinkProxy::ConnectionPair::~ConnectionPair() {
  for (auto* end : ends) {
    if (end) bufferevent_free(end);
  }
}

LinkProxy::LinkProxy(EventLoop& loop, std::string name, const std::string& target)
    : loop_(loop), name_(std::move(name)), target_(target) {
  sockaddr_in any = nameOf("127.0.0.1:1");
  any.sin_port = 0;
  listener_ = evconnlistener_new_bind(loop_.base(), onAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64,
                                      reinterpret_cast<sockaddr*>(&any), sizeof any);
  socklen_t size = sizeof any;
  if (!listener_ || getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&any),
                                &size) != 0) {
    throw std::runtime_error("no free port on 127.0.0.1");
  }
  address_ = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
}

LinkProxy::~LinkProxy() { evconnlistener_free(listener_); }

void LinkProxy::set(Mode mode) {
  mode_ = mode;
  if (mode == Mode::reset) return connectionPairs_.clear();
  for (auto& pair : connectionPairs_) {
    for (auto* end : pair->ends) {
      mode == Mode::up ? bufferevent_enable(end, EV_READ) : bufferevent_disable(end, EV_READ);
    }
  }
}

void LinkProxy::onAccept(evconnlistener*, int fd, sockaddr*, int, void* self) {
  auto& proxy = *static_cast<LinkProxy*>(self);
  if (proxy.mode_ == Mode::reset) {
    close(fd);
    return;
  }
  auto pair = std::make_unique<ConnectionPair>();
  pair->proxy = &proxy;
  for (int i = 0; i < 2; ++i) {
    auto* end = pair->ends[i] =
        bufferevent_socket_new(proxy.loop_.base(), i == 0 ? fd : -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(end, onRead, onWritten, onEvent, pair.get());
    bufferevent_enable(end, EV_WRITE);
    if (proxy.mode_ == Mode::up) {
      bufferevent_enable(end, EV_READ);
    } else {
      bufferevent_disable(end, EV_READ);
    }
  }
  auto* raw = pair.get();
  proxy.connectionPairs_.push_back(std::move(pair));
  sockaddr_in target = nameOf(proxy.target_);
  if (bufferevent_socket_connect(raw->ends[1], reinterpret_cast<sockaddr*>(&target),
                                 sizeof target) != 0) {
    proxy.drop(raw);
  }
}

void LinkProxy::onRead(bufferevent* from, void* arg) {
  auto& pair = *static_cast<ConnectionPair*>(arg);
  auto* to = pair.ends[from == pair.ends[0] ? 1 : 0];
  evbuffer_add_buffer(bufferevent_get_output(to), bufferevent_get_input(from));
}

void LinkProxy::onWritten(bufferevent* to, void* arg) {
  auto& pair = *static_cast<ConnectionPair*>(arg);
  // The other side has closed the connection and all of its bytes are forwarded.
  if (pair.hasClosed[to == pair.ends[0] ? 1 : 0]) pair.proxy->drop(&pair);
}

void LinkProxy::onEvent(bufferevent* at, short what, void* arg) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  auto& pair = *static_cast<ConnectionPair*>(arg);
  int side = at == pair.ends[0] ? 0 : 1;
  pair.hasClosed[side] = true;
  if (evbuffer_get_length(bufferevent_get_output(pair.ends[1 - side])) == 0) {
    pair.proxy->drop(&pair);
  }
}

void LinkProxy::drop(ConnectionPair* pair) {
  connectionPairs_.remove_if([&](const auto& p) { return p.get() == pair; });
}

}  // namespace kestrelhoist::simulator
