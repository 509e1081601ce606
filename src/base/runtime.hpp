/// \file
/// Declares interfaces for the clock, timers and HTTP, and helpers for message bodies. The program
/// implements the interfaces over libevent, and the tests implement them in virtual time.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/message_limits.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

using Json = nlohmann::json;

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

/// Encodes a value as a CBOR body.
std::string encodeBody(const Json& value);
/// Decodes a CBOR body; returns nullopt if it is malformed or beyond the limits, and never throws.
std::optional<Json> decodeBody(const std::string& body,
                               const MessageLimits& limits = kExternalLimits);
/// Parses a JSON text, such as settings or a policy. Throws std::runtime_error if it is malformed
/// or nested more than kExternalLimits.nesting levels deep.
Json parseJsonText(const std::string& text);

// The following functions read untrusted messages and never throw.

/// Returns a field of an object, or null if it is missing or JSON null.
const Json* field(const Json& object, const char* name);
/// Returns the text of a value, or nullopt if it is not a string or not UTF-8.
std::optional<std::string> textOf(const Json& value);
/// Returns a field's value, like the three functions below it, or nullopt if it is missing or of
/// another type.
std::optional<std::string> textField(const Json& object, const char* name);
std::optional<std::uint64_t> countField(const Json& object, const char* name);
std::optional<double> numberField(const Json& object, const char* name);
std::optional<bool> boolField(const Json& object, const char* name);

/// Returns the decoded value of a parameter in a query such as "a=1&b=x%20y", or an empty text if
/// the parameter is missing.
std::string queryValue(const std::string& query, const std::string& name);
/// Percent-encodes a value for a query.
std::string queryEscaped(const std::string& value);

/// Returns a response with a CBOR body.
Response jsonResponse(int status, const Json& body);
/// Returns a response that asks the client to retry after this many seconds.
Response retryLater(int status, int seconds = 1);

}  // namespace kestrelhoist
