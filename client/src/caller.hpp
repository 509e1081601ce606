/// \file
/// Sends a request to the service and retries it until a response ends the call or the call
/// times out. All requests of the client go through the class Caller, which routes them, limits
/// their retries, hedges reads and maps responses to error kinds. Callbacks run on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "base/runtime.hpp"
#include "client/src/router.hpp"
#include "kestrelhoist/error.hpp"

namespace kestrelhoist::client {

/// The settings of a Caller. client::Settings describes the fields.
struct CallerSettings {
  std::string credential;
  double retriesPerS = 2, retryBurst = 20;
  bool hedgeReads = true;
  std::string agent = "client";
};

/// A response with the status 200 or 201, which ends a call.
struct Answer {
  int status{};
  Json body = Json::object();
  bool first{};  ///< Whether this is the response to the only request of the call.
};

/// Describes one call: its request, its timeouts, and whether it changes data.
struct CallRequest {
  Request request;
  /// The name of the operation in error messages.
  std::string operation;
  /// The timeout of the whole call, including its retries.
  Duration totalTimeout{};
  /// Whether the request changes data. The outcome of such a request is unknown if there is no
  /// response.
  bool isChange{};
  /// The timeout of one attempt. If it is 0, the timeout of the protocol for users applies.
  Duration attemptTimeout{0};
  /// Whether the service may delay the response until there is news. Such a read is not hedged.
  bool mayBeDelayed{};
};

/// Sends requests to the controllers of one service.
class Caller {
 public:
  using Done = std::function<void(Result<Answer>)>;
  Caller(Runtime& runtime, HttpClient& http, std::vector<std::string> servers, std::uint64_t seed,
         CallerSettings settings = {});
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Starts a call. `done` runs exactly once, after this function has returned. The returned handle
  /// cancels the call; `done` then receives the error kind `cancelled`.
  using Handle = std::function<void()>;
  Handle call(CallRequest request, Done done);

  /// The totals of all calls since the construction.
  struct Counts {
    std::uint64_t calls{}, requests{}, retries{}, hedges{};
  };
  const Counts& counts() const { return counts_; }
  Runtime& runtime() { return runtime_; }
  std::uint64_t draw() { return random_(); }

 private:
  struct Call;
  void attempt(const std::shared_ptr<Call>& call);
  void send(const std::shared_ptr<Call>& call, std::size_t address, Duration timeout);
  void hedge(const std::shared_ptr<Call>& call, std::size_t address, Duration timeout);
  void onReply(const std::shared_ptr<Call>& call, std::size_t address, Instant sentAt,
               std::optional<Response> reply);
  void scheduleRetry(const std::shared_ptr<Call>& call, Duration pause);
  void finish(const std::shared_ptr<Call>& call, Result<Answer> result);
  /// Returns the error of a call that has timed out.
  Error timeoutError(const Call& call) const;
  Error errorOf(const Call& call, ErrorKind kind, const std::string& why) const;

  Runtime& runtime_;
  HttpClient& http_;
  CallerSettings settings_;
  std::mt19937_64 random_;
  Router router_;
  TokenBucket budget_;
  Counts counts_;
  std::uint64_t lastId_ = 0;
  std::set<std::shared_ptr<Call>> openCalls_;  ///< The calls that have not ended.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace kestrelhoist::client
