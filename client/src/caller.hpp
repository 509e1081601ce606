/// \file
/// One request to the service, asked again until there is an answer that ends it, or the time is
/// over. Everything that the client sends goes through here: routing, retries, their budget, hedged
/// reads, and what an outcome is called. Callbacks come on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "base/runtime.hpp"
#include "client/src/router.hpp"
#include "kestrelhoist/error.hpp"

namespace kestrelhoist::client {

struct CallerSettings {
  std::string credential;
  double retriesPerS = 2, retryBurst = 20;
  bool hedgeReads = true;
  std::string agent = "client";
};

/// An answer that ended a call: 200 or 201.
struct Answer {
  int status{};
  Json body = Json::object();
  bool first{};  ///< it came to the only request that was sent
};

/// What a call is for: how it may be repeated, and what no answer means.
struct Ask {
  Request request;
  std::string tried;   ///< for people
  Duration within{};   ///< all tries together
  bool changes{};      ///< carried out or not, if there is no answer
  Duration oneTry{0};  ///< 0: what a user waits for an answer (PROTOCOL)
  bool held{};         ///< the service may take its time: not hedged
};

class Caller {
 public:
  using Done = std::function<void(Result<Answer>)>;
  Caller(Runtime& runtime, HttpClient& http, std::vector<std::string> servers, std::uint64_t seed,
         CallerSettings settings = {});
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// `done` is called once, never from within this call. The handle ends the call early: `done` is
  /// then called with the kind `cancelled`.
  using Handle = std::function<void()>;
  Handle call(Ask ask, Done done);

  /// Of all calls so far.
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
  void again(const std::shared_ptr<Call>& call, Duration pause);
  void finish(const std::shared_ptr<Call>& call, Result<Answer> result);
  /// Why nothing came of it, when the time is over or it was given up.
  Error outOfTime(const Call& call) const;
  Error errorOf(const Call& call, ErrorKind kind, const std::string& why) const;

  Runtime& runtime_;
  HttpClient& http_;
  CallerSettings settings_;
  std::mt19937_64 random_;
  Router router_;
  TokenBucket budget_;
  Counts counts_;
  std::uint64_t lastId_ = 0;
  std::set<std::shared_ptr<Call>> open_;  ///< each until it has ended, whatever it waits for
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace kestrelhoist::client
