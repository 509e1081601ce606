#include "client/src/caller.hpp"

#include <algorithm>

namespace kestrelhoist::client {
namespace {
// The protocol (PROTOCOL) requires users to wait this long for a response.
constexpr Duration kReadAttemptTimeout{2000}, kChangeAttemptTimeout{5000};
// The delay before a failed request goes to another controller.
constexpr Duration kNextControllerDelay{50};
constexpr Duration kMaxRetryAfter{30000};
constexpr double kRetriesPerCall = 0.1;

bool parseBody(const Response& r, Json& body) {
  auto decoded = decodeBody(r.body, kInternalLimits);
  if (!decoded || !decoded->is_object()) return false;
  body = std::move(*decoded);
  return true;
}
}  // namespace

struct Caller::Call {
  CallRequest request;
  Done done;
  Instant deadline{};
  Backoff backoff;
  int tries = 0;
  // The number of failures since the last long pause.
  std::size_t consecutiveFailures = 0;
  // Whether the service may have made the change although no response confirms it.
  bool mayHaveChanged = false;
  // Whether the last response had the status 429.
  bool lastWasThrottled = false;
  // Whether the body of the last response was not a CBOR map.
  bool lastWasUnreadable = false;
  int lastStatus = 0;
  Duration retryAfter{0};
  std::string lastAddress, lastWhy, requestId;
  std::optional<std::size_t> lastAddressIndex;
  int inFlight = 0;
  // The number of the current attempt. Responses to requests of earlier attempts are ignored.
  std::uint64_t attemptNumber = 0;
  // The addresses whose responses to the current attempt are pending.
  std::vector<std::size_t> pendingAddresses;
  bool hasEnded = false;
};

Caller::Caller(Runtime& runtime, HttpClient& http, std::vector<std::string> servers,
               std::uint64_t seed, CallerSettings settings)
    : runtime_(runtime),
      http_(http),
      settings_(std::move(settings)),
      random_(seed),
      router_(std::move(servers), seed * 0x9E3779B97F4A7C15ULL + 1),
      budget_(settings_.retriesPerS, settings_.retryBurst) {}

Caller::~Caller() = default;

Caller::Handle Caller::call(CallRequest request, Done done) {
  auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->done = std::move(done);
  call->deadline = runtime_.now() + call->request.totalTimeout;
  // All attempts of a call share one request id, because they repeat the same request.
  call->requestId = settings_.agent + "-" + std::to_string(random_() % 100000000) + "-" +
                    std::to_string(++lastId_);
  call->request.request.id = call->requestId;
  call->request.request.credential = settings_.credential;
  openCalls_.insert(call);
  ++counts_.calls;
  budget_.charge(runtime_.now(), -kRetriesPerCall);
  auto later = [this, weak = std::weak_ptr<int>(alive_)](std::function<void()> f) {
    runtime_.after(Duration{0}, [weak, f = std::move(f)] {
      if (!weak.expired()) f();
    });
  };
  later([this, call] { attempt(call); });
  // This timer ends the call at its deadline even if the call is pausing before a retry.
  runtime_.after(call->request.totalTimeout,
                 [this, late = std::weak_ptr<Call>(call), weak = std::weak_ptr<int>(alive_)] {
                   auto call = late.lock();
                   if (!weak.expired() && call) finish(call, timeoutError(*call));
                 });
  return [this, call, weak = std::weak_ptr<int>(alive_)] {
    if (weak.expired() || call->hasEnded) return;
    runtime_.after(Duration{0}, [this, call, weak] {
      if (!weak.expired()) finish(call, errorOf(*call, ErrorKind::cancelled, "given up"));
    });
  };
}

void Caller::attempt(const std::shared_ptr<Call>& call) {
  if (call->hasEnded) return;
  if (router_.size() == 0) {
    return finish(call, errorOf(*call, ErrorKind::unusable, "no server is known"));
  }
  Instant now = runtime_.now();
  if (call->tries > 0 && !budget_.take(now, 1)) {
    return scheduleRetry(call, budget_.waitFor(now, 1));
  }
  auto choice =
      router_.choose(now, call->consecutiveFailures > 0 ? call->lastAddressIndex : std::nullopt);
  if (!choice.address) {
    if (call->tries > 0) budget_.charge(now, -1);
    return scheduleRetry(call, choice.wait);
  }
  if (call->tries > 0) ++counts_.retries;
  Duration attemptTimeout = call->request.attemptTimeout.count() > 0 ? call->request.attemptTimeout
                            : call->request.isChange                 ? kChangeAttemptTimeout
                                                                     : kReadAttemptTimeout;
  Duration timeout = std::min(attemptTimeout, call->deadline - now);
  // The timer of the deadline ends the call.
  if (timeout.count() <= 0) return;
  ++call->attemptNumber;
  call->pendingAddresses.clear();
  send(call, *choice.address, timeout);
  bool hedged = settings_.hedgeReads && !call->request.isChange && !call->request.mayBeDelayed;
  if (hedged) hedge(call, *choice.address, timeout);
}

// Sends a slow read to a second controller as well. Only reads are hedged, because a repeated read
// changes no data.
void Caller::hedge(const std::shared_ptr<Call>& call, std::size_t first, Duration timeout) {
  Duration after = router_.slowThreshold();
  if (after >= timeout) return;
  runtime_.after(after, [this, call, first, attemptNumber = call->attemptNumber,
                         left = timeout - after, weak = std::weak_ptr<int>(alive_)] {
    if (weak.expired() || call->hasEnded || call->attemptNumber != attemptNumber ||
        call->inFlight != 1)
      return;
    auto second = router_.alternativeTo(first);
    if (!second || !budget_.take(runtime_.now(), 1)) return;
    ++counts_.hedges;
    send(call, *second, left);
  });
}

void Caller::send(const std::shared_ptr<Call>& call, std::size_t address, Duration timeout) {
  ++call->tries;
  ++call->inFlight;
  ++counts_.requests;
  call->lastAddress = router_.name(address);
  call->lastAddressIndex = address;
  call->pendingAddresses.push_back(address);
  http_.send(router_.name(address), call->request.request, timeout,
             [this, call, address, attemptNumber = call->attemptNumber, sentAt = runtime_.now(),
              weak = std::weak_ptr<int>(alive_)](std::optional<Response> r) {
               if (weak.expired()) return;
               if (call->hasEnded || call->attemptNumber != attemptNumber) return;
               std::erase(call->pendingAddresses, address);
               --call->inFlight;
               onReply(call, address, sentAt, std::move(r));
             });
}

void Caller::onReply(const std::shared_ptr<Call>& call, std::size_t address, Instant sentAt,
                     std::optional<Response> r) {
  Instant now = runtime_.now();
  call->lastAddress = router_.name(address);
  Json body = Json::object();
  bool read = r && parseBody(*r, body);
  call->lastWasUnreadable = r && !read;
  call->lastStatus = r ? r->status : 0;
  call->lastWasThrottled = r && r->status == 429;
  call->lastWhy = read ? textField(body, "error").value_or("")
                  : r  ? "an answer that is no map"
                       : "";
  auto recordResponse = [&] { router_.recordResponse(address, now - sentAt); };
  auto end = [&](ErrorKind kind) {
    recordResponse();
    Error e = errorOf(*call, kind, call->lastWhy);
    e.version = countField(body, "version").value_or(0);
    finish(call, std::move(e));
  };
  switch (call->lastStatus) {
    case 200:
    case 201:
      if (!read) break;
      recordResponse();
      return finish(call, Answer{call->lastStatus, std::move(body), call->tries == 1});
    case 400:
      return end(ErrorKind::malformed);
    case 401:
    case 403:
      return end(ErrorKind::notPermitted);
    case 404:
      return end(ErrorKind::unknown);
    case 409:
    case 410:
      return end(ErrorKind::conflict);
    case 422:
      return end(ErrorKind::neverRuns);
    case 0:
    case 429:
    case 500:
    case 502:
    case 503:
    case 504:
      break;
    default:
      return end(ErrorKind::protocolViolated);
  }
  Duration retryAfter = r && r->retryAfterS > 0
                            ? std::min(kMaxRetryAfter, Duration{r->retryAfterS * 1000})
                            : Duration{0};
  if (call->lastWasThrottled) {
    // The status 429 is no failure of the controller: the rate limit of the client is the same at
    // all controllers.
    recordResponse();
    call->retryAfter = std::max(retryAfter, Duration{1000});
  } else {
    // A controller also responds with 503 if it does not know whether it made the change.
    call->mayHaveChanged = call->mayHaveChanged || call->request.isChange;
    router_.recordFailure(address, now, retryAfter);
  }
  // The response to the hedged request may still arrive.
  if (call->inFlight > 0) return;
  ++call->consecutiveFailures;
  if (call->lastWasThrottled) {
    call->consecutiveFailures = 0;
    return scheduleRetry(call, std::max(call->retryAfter, call->backoff.next(router_)));
  }
  if (call->consecutiveFailures < router_.size()) return scheduleRetry(call, kNextControllerDelay);
  call->consecutiveFailures = 0;
  scheduleRetry(call, std::max(Duration{500}, call->backoff.next(router_)));
}

void Caller::scheduleRetry(const std::shared_ptr<Call>& call, Duration pause) {
  runtime_.after(std::max(pause, Duration{1}), [this, call, weak = std::weak_ptr<int>(alive_)] {
    if (!weak.expired()) attempt(call);
  });
}

void Caller::finish(const std::shared_ptr<Call>& call, Result<Answer> result) {
  if (call->hasEnded) return;
  call->hasEnded = true;
  openCalls_.erase(call);
  for (auto address : call->pendingAddresses) router_.recordCancellation(address);
  auto done = std::move(call->done);
  done(std::move(result));
}

Error Caller::errorOf(const Call& call, ErrorKind kind, const std::string& why) const {
  Error e;
  e.kind = kind;
  e.tried = call.request.operation;
  e.where = call.lastAddress;
  e.tries = call.tries;
  e.status = call.lastStatus;
  e.why = why;
  e.requestId = call.requestId;
  if (kind == ErrorKind::throttled) e.comeBack = call.retryAfter;
  return e;
}

Error Caller::timeoutError(const Call& call) const {
  // The service may still make a change for which a response is pending.
  bool mayHaveChanged = call.mayHaveChanged || (call.request.isChange && call.inFlight > 0);
  if (mayHaveChanged) {
    return errorOf(call, ErrorKind::outcomeUnknown, "sent, and no answer says what came of it");
  }
  if (call.lastWasThrottled) return errorOf(call, ErrorKind::throttled, "too much at once");
  if (call.lastWasUnreadable) return errorOf(call, ErrorKind::protocolViolated, call.lastWhy);
  bool anyResponse = call.tries - call.inFlight > 0;
  if (!anyResponse) return errorOf(call, ErrorKind::deadlinePassed, "no answer in the time given");
  return errorOf(call, ErrorKind::unavailable,
                 call.lastWhy.empty() ? "no controller answers" : call.lastWhy);
}

}  // namespace kestrelhoist::client
