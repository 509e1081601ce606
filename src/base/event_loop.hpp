// The one I/O thread: libevent's loop, evhttp servers and clients.
#pragma once

#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/guarded.hpp"
#include "base/runtime.hpp"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

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

  // From any thread: runs `f` on the loop's thread.
  void post(std::function<void()> f);
  void run();
  void stop();
  event_base* base() { return base_; }

 private:
  static void onWake(int, short, void* self);
  void drain();
  event_base* base_;
  event* wake_;
  Guarded<std::vector<std::function<void()>>> posted_;
};

// Serves one address. Bodies over the protocol.s limit are answered 400 before the handler.
class HttpServer {
 public:
  // Throws std::runtime_error if the address can't be bound.
  HttpServer(EventLoop& loop, const std::string& address, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  int port() const { return port_; }

 private:
  static void onRequest(evhttp_request* req, void* self);
  EventLoop& loop_;
  evhttp* http_;
  Handler handler_;
  int port_{};
};

// Keeps a few connections per address; one request at a time on each, every one with a deadline.
class EvHttpClient : public HttpClient {
 public:
  explicit EvHttpClient(EventLoop& loop, std::size_t maxConnections);
  ~EvHttpClient() override;
  void send(const std::string& address, Request request, Duration timeout,
            OnReply onReply) override;

 private:
  struct Call;
  static void onDone(evhttp_request* req, void* arg);
  static void onDeadline(int, short, void* arg);
  using Idle = std::map<std::string, std::vector<evhttp_connection*>>;
  evhttp_connection* takeIdle(Idle::iterator at);
  void finish(Call* call, std::optional<Response> response, bool reuse);

  EventLoop& loop_;
  std::size_t maxConnections_;
  std::size_t open_{};
  Idle idle_;
};

// "host:port" with a numeric IPv4 host.
std::optional<std::pair<std::string, int>> splitAddress(const std::string& address);

}  // namespace kestrelhoist
