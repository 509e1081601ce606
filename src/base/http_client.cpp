#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "base/http.hpp"
#include "base/log.hpp"
#include "base/tls.hpp"

namespace kestrelhoist {
namespace {

// The limit is large because the answers of the change feed are not limited by the protocol.
constexpr std::size_t kMaxReplyBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMaxIdlePerAddress = 4;

evhttp_cmd_type methodType(const std::string& name) {
  if (name == "POST") return EVHTTP_REQ_POST;
  if (name == "PUT") return EVHTTP_REQ_PUT;
  if (name == "DELETE") return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

}  // namespace

std::string takeBody(evbuffer* buffer) {
  if (!buffer) return {};
  std::string body(evbuffer_get_length(buffer), '\0');
  if (!body.empty()) evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

std::optional<std::pair<std::string, int>> splitAddress(const std::string& address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  std::string host = address.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return std::nullopt;
  int port = 0;
  const char* first = address.data() + colon + 1;
  const char* last = address.data() + address.size();
  auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc{} || end != last || port < 0 || port > 65535) return std::nullopt;
  return std::pair{host, port};
}

struct EvHttpClient::Call {
  EvHttpClient* client;
  std::string address;
  evhttp_connection* connection;
  evhttp_request* request;
  event* deadline;
  OnReply onReply;
};

EvHttpClient::EvHttpClient(EventLoop& loop, std::size_t maxConnections)
    : loop_(loop), maxConnections_(maxConnections) {}

EvHttpClient::~EvHttpClient() {
  for (auto& [address, connections] : idle_) {
    for (auto* c : connections) {
      evhttp_connection_set_closecb(c, nullptr, nullptr);
      evhttp_connection_free(c);
    }
  }
}

void EvHttpClient::send(const std::string& address, Request request, Duration timeout,
                        OnReply onReply) {
  auto fail = [&](const char* why) {
    logDebug("HTTP request could not be sent", "to", address, "why", why);
    loop_.after(Duration{0}, [onReply = std::move(onReply)] { onReply(std::nullopt); });
  };
  evhttp_connection* connection = takeIdle(idle_.find(address));
  if (!connection) {
    if (!splitAddress(address)) return fail("bad address");
    if (open_ >= maxConnections_) {
      // All sockets are in use, so an idle connection to another address is closed.
      if (auto* other = takeIdle(idle_.begin())) {
        evhttp_connection_free(other);
        --open_;
      }
    }
    if (open_ >= maxConnections_) return fail("too many connections");
    connection = connect(address);
    if (!connection) return fail("no connection");
    ++open_;
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_family(connection, AF_INET);
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(kMaxReplyBytes));
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(kMaxHeaderBytes));
  }
  timeval connectionTimeout = toTimeval(timeout + Duration{2000});
  evhttp_connection_set_timeout_tv(connection, &connectionTimeout);

  auto* call = new Call{this, address, connection, nullptr, nullptr, std::move(onReply)};
  call->request = evhttp_request_new(onDone, call);
  call->deadline = evtimer_new(loop_.base(), onDeadline, call);
  timeval tv = toTimeval(timeout);
  evtimer_add(call->deadline, &tv);
  auto* headers = evhttp_request_get_output_headers(call->request);
  evhttp_add_header(headers, "Host", address.c_str());
  if (!request.credential.empty()) {
    evhttp_add_header(headers, "Authorization", ("Bearer " + request.credential).c_str());
  }
  if (!request.id.empty()) evhttp_add_header(headers, "X-Request-Id", request.id.c_str());
  if (!request.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/cbor");
    evbuffer_add(evhttp_request_get_output_buffer(call->request), request.body.data(),
                 request.body.size());
  }
  if (evhttp_make_request(connection, call->request, methodType(request.method),
                          request.path.c_str()) != 0) {
    // evhttp has already freed the request and will not call its callback.
    loop_.after(Duration{0}, [this, call] { finish(call, std::nullopt, false); });
    evtimer_del(call->deadline);
  }
}

evhttp_connection* EvHttpClient::connect(const std::string& address) {
  auto parts = splitAddress(address);
  auto target = tlsByAddress_.find(address);
  if (target == tlsByAddress_.end()) target = tlsByAddress_.find("");
  bufferevent* stream = nullptr;
  if (target != tlsByAddress_.end()) {
    const std::string& name = target->second.name.empty() ? parts->first : target->second.name;
    stream = bufferevent_openssl_socket_new(loop_.base(), -1, target->second.tls->session(name),
                                            BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
    if (!stream) return nullptr;
    bufferevent_openssl_set_allow_dirty_shutdown(stream, 1);
  }
  auto* connection = evhttp_connection_base_bufferevent_new(
      loop_.base(), nullptr, stream, parts->first.c_str(), static_cast<ev_uint16_t>(parts->second));
  if (!connection && stream) bufferevent_free(stream);
  return connection;
}

void EvHttpClient::useTls(const std::string& address, std::shared_ptr<TlsClient> tls,
                          std::string name) {
  tlsByAddress_[address] = {std::move(tls), std::move(name)};
}

// A TLS session can't be used for a second connection. So an idle connection that the server has
// closed is removed here and not reopened by evhttp.
void EvHttpClient::onIdleClosed(evhttp_connection* connection, void* selfPointer) {
  auto* self = static_cast<EvHttpClient*>(selfPointer);
  for (auto it = self->idle_.begin(); it != self->idle_.end(); ++it) {
    auto at = std::find(it->second.begin(), it->second.end(), connection);
    if (at == it->second.end()) continue;
    it->second.erase(at);
    if (it->second.empty()) self->idle_.erase(it);
    --self->open_;
    self->loop_.after(Duration{0}, [connection] { evhttp_connection_free(connection); });
    return;
  }
}

// An address without idle connections has no entry in `idle_`, so every entry holds at least one
// connection.
evhttp_connection* EvHttpClient::takeIdle(Idle::iterator at) {
  if (at == idle_.end()) return nullptr;
  auto* connection = at->second.back();
  at->second.pop_back();
  if (at->second.empty()) idle_.erase(at);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  return connection;
}

void EvHttpClient::closeIdle() {
  while (auto* connection = takeIdle(idle_.begin())) {
    evhttp_connection_free(connection);
    --open_;
  }
}

void EvHttpClient::finish(Call* call, std::optional<Response> response, bool reuse) {
  std::unique_ptr<Call> owned(call);
  event_free(call->deadline);
  auto idle = idle_.find(call->address);
  if (reuse && (idle == idle_.end() || idle->second.size() < kMaxIdlePerAddress)) {
    idle_[call->address].push_back(call->connection);
    if (!tlsByAddress_.empty()) evhttp_connection_set_closecb(call->connection, onIdleClosed, this);
  } else {
    // A connection must not be freed within evhttp's own callback.
    --open_;
    loop_.after(Duration{0}, [c = call->connection] { evhttp_connection_free(c); });
  }
  EventLoop::guarded("reply", [&] { call->onReply(std::move(response)); });
}

void EvHttpClient::onDone(evhttp_request* req, void* arg) {
  auto* call = static_cast<Call*>(arg);
  int status = req ? evhttp_request_get_response_code(req) : 0;
  if (status == 0) {
    call->client->finish(call, std::nullopt, false);
    return;
  }
  int retryAfterS = 0;
  if (const char* after =
          evhttp_find_header(evhttp_request_get_input_headers(req), "Retry-After")) {
    std::from_chars(after, after + std::strlen(after), retryAfterS);
    retryAfterS = std::clamp(retryAfterS, 0, 3600);
  }
  call->client->finish(
      call, Response{status, takeBody(evhttp_request_get_input_buffer(req)), retryAfterS}, true);
}

void EvHttpClient::onDeadline(int, short, void* arg) {
  auto* call = static_cast<Call*>(arg);
  evhttp_cancel_request(call->request);  // The request's callback is not called after this.
  call->client->finish(call, std::nullopt, false);
}

}  // namespace kestrelhoist
