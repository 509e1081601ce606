#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

#include "base/accept_backoff.hpp"
#include "base/http.hpp"
#include "base/log.hpp"
#include "base/tls.hpp"

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;       // This is the protocol's limit for requests.
constexpr std::size_t kHardMaxBodyBytes = 256 * 1024;  // Above this, evhttp itself answers 413.

// A request without an answer yet. If the client closes the connection first, evhttp frees `req`.
struct PendingReply {
  evhttp_request* req;
  std::shared_ptr<PendingReply> self;
  std::string id;           // The request's id is returned in the answer's header.
  bool closeAfter = false;  // If true, the connection is closed after the answer.
};

void onHangUp(evhttp_connection*, void* arg) {
  auto* pending = static_cast<PendingReply*>(arg);
  pending->req = nullptr;
  pending->self.reset();
}

void reply(PendingReply& pending, const Response& response) {
  evhttp_request* req = pending.req;
  if (!req) return;
  pending.req = nullptr;
  if (auto* connection = evhttp_request_get_connection(req)) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  auto* headers = evhttp_request_get_output_headers(req);
  evhttp_add_header(headers, "Content-Type", response.type.c_str());
  if (!pending.id.empty()) evhttp_add_header(headers, "X-Request-Id", pending.id.c_str());
  if (pending.closeAfter) evhttp_add_header(headers, "Connection", "close");
  if (response.retryAfterS > 0) {
    evhttp_add_header(headers, "Retry-After", std::to_string(response.retryAfterS).c_str());
  }
  evbuffer* out = evbuffer_new();
  evbuffer_add(out, response.body.data(), response.body.size());
  evhttp_send_reply(req, response.status, nullptr, out);
  evbuffer_free(out);
  auto keep = std::move(pending.self);  // This must be the last step, since it may free `pending`.
}

const char* methodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    default:
      return "OTHER";
  }
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const std::string& address, Handler handler,
                       std::shared_ptr<TlsServer> tls, ServerLimits limits)
    : loop_(loop),
      http_(evhttp_new(loop.base())),
      handler_(std::move(handler)),
      tls_(std::move(tls)),
      limits_(limits) {
  auto parts = splitAddress(address);
  if (!http_ || !parts) throw std::runtime_error("bad address " + address);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                        EVHTTP_REQ_OPTIONS);
  evhttp_set_max_body_size(http_, kHardMaxBodyBytes);
  evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(kMaxHeaderBytes));
  evhttp_set_timeout(http_, static_cast<int>(limits_.idleTimeout.count() / 1000));
  if (tls_ || limits_.requestTimeout.count() > 0) evhttp_set_bevcb(http_, onConnection, this);
  evhttp_set_gencb(http_, onRequest, this);
  auto* bound = evhttp_bind_socket_with_handle(http_, parts->first.c_str(),
                                               static_cast<ev_uint16_t>(parts->second));
  if (!bound) {
    evhttp_free(http_);
    throw std::runtime_error("cannot listen on " + address);
  }
  acceptBackoff_ = std::make_unique<AcceptBackoff>(evhttp_bound_socket_get_listener(bound));
  sockaddr_in name{};
  socklen_t size = sizeof name;
  if (getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&name), &size) ==
      0) {
    port_ = ntohs(name.sin_port);
  }
}

HttpServer::~HttpServer() {
  acceptBackoff_.reset();
  evhttp_free(http_);
}

bufferevent* HttpServer::onConnection(event_base* base, void* selfPointer) {
  auto* self = static_cast<HttpServer*>(selfPointer);
  bufferevent* connection = nullptr;
  if (self->tls_) {
    connection = bufferevent_openssl_socket_new(base, -1, self->tls_->session(),
                                                BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
    // A peer may close the connection without a TLS close_notify, since HTTP messages carry their
    // own length.
    if (connection) bufferevent_openssl_set_allow_dirty_shutdown(connection, 1);
  } else {
    connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  }
  if (connection && self->limits_.requestTimeout.count() > 0) {
    auto& arrival = self->arrivals_[connection];
    if (!arrival) arrival = std::make_unique<Arrival>();
    *arrival = {self, connection, std::nullopt};
    evbuffer_add_cb(bufferevent_get_input(connection), onInput, arrival.get());
  }
  return connection;
}

// A client that sends a request byte by byte would occupy a socket and its buffers for long. So the
// time for a request counts from its first byte, no matter how often more bytes arrive.
void HttpServer::onInput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
  auto* arrival = static_cast<Arrival*>(arg);
  if (info->n_added == 0) return;
  Instant now = arrival->server->loop_.now();
  if (!arrival->firstByteAt) arrival->firstByteAt = now;
  if (now - *arrival->firstByteAt > arrival->server->limits_.requestTimeout) {
    evutil_socket_t fd = bufferevent_getfd(arrival->connection);
    if (fd >= 0) shutdown(fd, SHUT_RDWR);  // evhttp then closes the connection.
  }
}

void HttpServer::onRequest(evhttp_request* req, void* selfPointer) {
  auto* self = static_cast<HttpServer*>(selfPointer);
  auto pending = std::make_shared<PendingReply>();
  pending->req = req;
  pending->self = pending;
  evhttp_connection_set_closecb(evhttp_request_get_connection(req), onHangUp, pending.get());
  bufferevent* connection = evhttp_connection_get_bufferevent(evhttp_request_get_connection(req));
  if (auto it = self->arrivals_.find(connection); it != self->arrivals_.end()) {
    it->second->firstByteAt.reset();
  }
  auto* headers = evhttp_request_get_input_headers(req);
  auto header = [&](const char* name) {
    const char* value = evhttp_find_header(headers, name);
    return std::string(value ? value : "");
  };
  if (std::string id = header("X-Request-Id"); validRequestId(id)) pending->id = id;
  if (self->limits_.maxSocket > 0 && bufferevent_getfd(connection) > self->limits_.maxSocket) {
    // The system assigns the lowest free socket number, so at least this many sockets are open.
    pending->closeAfter = true;
    reply(*pending, retryLater(429, 2));
    return;
  }
  if (self->limits_.closeAboveSocket > 0 &&
      bufferevent_getfd(connection) > self->limits_.closeAboveSocket) {
    pending->closeAfter = true;
    if (self->limits_.onCrowded) self->limits_.onCrowded();
  }
  std::string body = takeBody(evhttp_request_get_input_buffer(req));
  if (body.size() > kMaxBodyBytes) {
    reply(*pending, jsonResponse(400, {{"error", "body too large"}}));
    return;
  }
  Request request{methodName(evhttp_request_get_command(req)), evhttp_request_get_uri(req),
                  std::move(body), "", pending->id};
  const std::string bearer = "Bearer ";
  if (std::string given = header("Authorization"); given.starts_with(bearer)) {
    request.credential = given.substr(bearer.size());
  } else if (!given.empty()) {
    request.credential = "?";  // This stands for an unsupported authentication scheme.
  }
  try {
    self->handler_(request, [pending](const Response& r) { reply(*pending, r); });
  } catch (const std::exception& e) {
    logError("HTTP request handler threw an exception", "method", request.method, "what", e.what());
    reply(*pending, jsonResponse(500, {{"error", "internal"}}));
  }
}

}  // namespace kestrelhoist
