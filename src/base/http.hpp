/// \file
/// Provides an HTTP server and an HTTP client over libevent's evhttp, with optional TLS.
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

class AcceptBackoff;
class TlsClient;
class TlsServer;

/// Limits the headers of a request or an answer.
inline constexpr std::size_t kMaxHeaderBytes = 16UL * 1024;

/// Sets limits on the connections of a server. The system assigns the lowest free socket number, so
/// a high number means that many sockets are open.
struct ServerLimits {
  /// A connection without a request for this long is closed.
  Duration idleTimeout{120000};
  /// One request must arrive in full within this time; 0 means no limit.
  Duration requestTimeout{0};
  /// A request on a connection with a higher socket number is answered 429; 0 means no limit.
  int maxSocket = 0;
  /// A connection with a higher socket number is closed after its answer; 0 means no limit. Each
  /// worker sends one request in several seconds. A controller can't keep all their connections
  /// open if it has few sockets for them, as in a larger fleet or with two of three controllers
  /// down.
  int closeAboveSocket = 0;
  /// The server calls this function for each connection that it closes because of
  /// `closeAboveSocket`.
  std::function<void()> onCrowded{};
};

/// Listens on one address. A request with a body above the protocol's limit is answered 400 and
/// does not reach the handler.
class HttpServer {
 public:
  /// `tls` may be null. Throws std::runtime_error if the address can't be bound.
  HttpServer(EventLoop& loop, const std::string& address, Handler handler,
             std::shared_ptr<TlsServer> tls = nullptr, ServerLimits limits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  /// Returns the port that the server listens on.
  int port() const { return port_; }

 private:
  static void onRequest(evhttp_request* req, void* self);
  static bufferevent* onConnection(event_base* base, void* self);
  static void onInput(evbuffer* buffer, const evbuffer_cb_info* info, void* arrival);

  /// Tracks the arrival of a request on one connection. The entries are keyed by the address of the
  /// connection's bufferevent and never removed. libevent reuses the addresses, so there are at
  /// most as many entries as connections were ever open at the same time.
  struct Arrival {
    HttpServer* server{};
    bufferevent* connection{};
    std::optional<Instant> firstByteAt;
  };

  EventLoop& loop_;
  evhttp* http_;
  Handler handler_;
  std::shared_ptr<TlsServer> tls_;
  ServerLimits limits_;
  std::map<bufferevent*, std::unique_ptr<Arrival>> arrivals_;
  std::unique_ptr<AcceptBackoff> acceptBackoff_;
  int port_{};
};

/// Implements an HTTP client that keeps a few idle connections for each address. A connection
/// carries one request at a time, and each request has a timeout.
class EvHttpClient : public HttpClient {
 public:
  explicit EvHttpClient(EventLoop& loop, std::size_t maxConnections);
  ~EvHttpClient() override;
  void send(const std::string& address, Request request, Duration timeout,
            OnReply onReply) override;
  /// Closes all idle connections.
  void closeIdle();
  /// Uses TLS for new connections to this address; the address "" stands for all addresses without
  /// a setting of their own. The server must present a certificate for `name`, or for the IP
  /// address if `name` is empty.
  void useTls(const std::string& address, std::shared_ptr<TlsClient> tls, std::string name = "");

 private:
  struct Call;
  static void onDone(evhttp_request* req, void* arg);
  static void onDeadline(int, short, void* arg);
  static void onIdleClosed(evhttp_connection* connection, void* self);
  struct TlsTarget {
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
  std::map<std::string, TlsTarget> tlsByAddress_;
};

/// Returns a copy of the contents of a buffer, or an empty text if the buffer is null.
std::string takeBody(evbuffer* buffer);

/// Splits "host:port" with a numeric IPv4 host; returns nullopt if the text is malformed.
std::optional<std::pair<std::string, int>> splitAddress(const std::string& address);

}  // namespace kestrelhoist
