/// \file
/// The seams between the service and the world: clock, timers, HTTP both ways.
/// Production implements them over libevent, the tests in virtual time.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/types.hpp"

namespace kestrelhoist {

using Json = nlohmann::json;

class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual Instant now() = 0;
  /// Milliseconds since 1970, only for what users see and across processes.
  virtual std::int64_t wallMillis() = 0;
  /// Runs `f` once on the event loop.
  virtual void after(Duration delay, std::function<void()> f) = 0;
};

struct Request {
  std::string method;
  std::string path;  ///< with the query, if any
  std::string body;
  std::string credential{};  ///< of the header Authorization, without "Bearer "; empty: none
  std::string id{};          ///< of the header X-Request-Id, as the client chose it; empty: none
};

struct Response {
  int status{};
  std::string body;
  int retryAfterS{};                      ///< 0: no such header
  std::string type = "application/cbor";  ///< of the body
};

/// What a request's id may look like: it is written into logs and other requests' headers.
bool validRequestId(const std::string& id);

using Respond = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Respond)>;
/// Empty: no answer, so the request may or may not have been carried out.
using OnReply = std::function<void(std::optional<Response>)>;

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual void send(const std::string& address, Request request, Duration timeout,
                    OnReply onReply) = 0;
};

/// CBOR bodies. Decoding never throws.
std::string encodeBody(const Json& value);
std::optional<Json> decodeBody(const std::string& body);

/// Reading fields of untrusted messages without exceptions.
const Json* field(const Json& object, const char* name);  ///< null if missing or JSON null
std::optional<std::string> textOf(const Json& value);     ///< empty: no text, or not UTF-8
std::optional<std::string> textField(const Json& object, const char* name);
std::optional<std::uint64_t> countField(const Json& object, const char* name);
std::optional<double> numberField(const Json& object, const char* name);
std::optional<bool> boolField(const Json& object, const char* name);

/// Of "a=1&b=x%20y"; empty if it is not there.
std::string queryValue(const std::string& query, const std::string& name);
std::string queryEscaped(const std::string& value);

Response jsonResponse(int status, const Json& body);
Response retryLater(int status, int seconds = 1);

}  // namespace kestrelhoist
