/// \file
/// HTTP over libevent's evhttp, both ways, with TLS where it is asked for.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.hpp"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace kestrelhoist {

class TlsClient;
class TlsServer;

/// What a server bears from those who connect.
struct ServerLimits {
  Duration idle{120000};  ///< a connection on which nothing is asked
  Duration slowest{0};    ///< for one request to arrive in full; 0: no bound
  int highestSocket = 0;  ///< a connection with a higher number is refused; 0: no bound
  /// A connection with a higher number is closed after its answer; 0: no bound. Numbers are given
  /// from the lowest on, so that many are open: those of workers, of which each asks once in
  /// seconds, can't all be kept where a controller has few sockets for them (two of three down, a
  /// larger fleet).
  int crowdedSocket = 0;
  std::function<void()> crowded{};  ///< one was answered so
};

/// Serves one address. Bodies over the protocol's limit are answered 400 before the handler.
class HttpServer {
 public:
  /// `tls` may be null. Throws std::runtime_error if the address can't be bound.
  HttpServer(EventLoop& loop, const std::string& address, Handler handler,
             std::shared_ptr<TlsServer> tls = nullptr, ServerLimits limits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  int port() const { return port_; }

 private:
  static void onRequest(evhttp_request* req, void* self);
  static bufferevent* onConnection(event_base* base, void* self);
  static void onInput(evbuffer* buffer, const evbuffer_cb_info* info, void* arrival);

  /// A request that has begun to arrive. Kept by the address of its connection's buffer, which
  /// libevent uses again: as many as there were ever connections at a time.
  struct Arrival {
    HttpServer* server{};
    bufferevent* connection{};
    std::optional<Instant> since;
  };

  EventLoop& loop_;
  evhttp* http_;
  Handler handler_;
  std::shared_ptr<TlsServer> tls_;
  ServerLimits limits_;
  std::map<bufferevent*, std::unique_ptr<Arrival>> arrivals_;
  int port_{};
};

/// Keeps a few connections per address; one request at a time on each, every one with a deadline.
class EvHttpClient : public HttpClient {
 public:
  explicit EvHttpClient(EventLoop& loop, std::size_t maxConnections);
  ~EvHttpClient() override;
  void send(const std::string& address, Request request, Duration timeout,
            OnReply onReply) override;
  /// Lets go of connections on which nothing is asked.
  void closeIdle();
  /// Speaks TLS to this address from now on; "": to all. `name`: whose certificate must be shown;
  /// empty: the address's own.
  void secure(const std::string& address, std::shared_ptr<TlsClient> tls, std::string name = "");

 private:
  struct Call;
  static void onDone(evhttp_request* req, void* arg);
  static void onDeadline(int, short, void* arg);
  static void onIdleClosed(evhttp_connection* connection, void* self);
  struct Secured {
    std::shared_ptr<TlsClient> tls;
    std::string name;
  };
  evhttp_connection* connect(const std::string& address);
  using Idle = std::map<std::string, std::vector<evhttp_connection*>>;
  evhttp_connection* takeIdle(Idle::iterator at);
  void finish(Call* call, std::optional<Response> response, bool reuse);

  EventLoop& loop_;
  std::size_t maxConnections_;
  std::size_t open_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  Idle idle_;
  std::map<std::string, Secured> secured_;
};

/// What is left in a buffer.
std::string takeBody(evbuffer* buffer);

/// "host:port" with a numeric IPv4 host.
std::optional<std::pair<std::string, int>> splitAddress(const std::string& address);

}  // namespace kestrelhoist
