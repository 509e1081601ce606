/// \file
/// Declares interfaces for the clock, timers and HTTP. The program implements them over libevent,
/// and the tests implement them in virtual time.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/codec.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Provides the clock and the timers of one process.
class Runtime {
 public:
  virtual ~Runtime() = default;
  /// Returns the time of the steady clock.
  virtual Instant now() = 0;
  /// Returns the wall-clock time in milliseconds since 1970. It is used only for times that users
  /// see or that several processes share.
  virtual std::int64_t wallMillis() = 0;
  /// Runs `f` once on the event loop after the delay.
  virtual void after(Duration delay, std::function<void()> f) = 0;
};

/// Represents an HTTP request.
struct Request {
  std::string method;
  std::string path;  ///< The path includes the query.
  std::string body;
  /// This is the bearer token of the Authorization header, or empty if there is none.
  std::string credential{};
  /// This is the X-Request-Id header, which the client chooses, or empty if there is none.
  std::string id{};
};

/// Represents an HTTP response.
struct Response {
  int status{};
  std::string body;
  int retryAfterS{};                      ///< If it is 0, the response has no Retry-After header.
  std::string type = "application/cbor";  ///< This is the content type of the body.
};

/// Returns whether a client's request id is safe to write into logs and into the headers of other
/// requests.
bool validRequestId(const std::string& id);

/// Sends the response to one request.
using Respond = std::function<void(Response)>;
/// Handles a request and calls the Respond function exactly once, either at once or later.
using Handler = std::function<void(const Request&, Respond)>;
/// Receives the response, or nullopt if none arrived. In this case the server may or may not have
/// carried out the request.
using OnReply = std::function<void(std::optional<Response>)>;

/// Sends HTTP requests.
class HttpClient {
 public:
  virtual ~HttpClient() = default;
  /// Sends a request to "host:port" and calls `onReply` once, after `timeout` at the latest.
  virtual void send(const std::string& address, Request request, Duration timeout,
                    OnReply onReply) = 0;
};

/// Returns a response with a CBOR body.
Response jsonResponse(int status, const Json& body);
/// Returns a response that asks the client to retry after this many seconds.
Response retryLater(int status, int seconds = 1);

}  // namespace kestrelhoist
