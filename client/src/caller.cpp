#include "client/src/caller.hpp"

#include <algorithm>

namespace kestrelhoist::client {
namespace {
// The protocol (PROTOCOL) requires users to wait this long for a response.
constexpr Duration kReadTry{2000}, kChangeTry{5000};
// The delay before a failed request goes to another controller.
constexpr Duration kOtherAddress{50};
constexpr Duration kMostComeBack{30000};
constexpr double kRetriesPerCall = 0.1;

bool readable(const Response& r, Json& body) {
  auto decoded = decodeBody(r.body);
  if (!decoded || !decoded->is_object()) return false;
  body = std::move(*decoded);
  return true;
}
}  // namespace

struct Caller::Call {
  Ask ask;
  Done done;
  Instant until{};
  Backoff backoff;
  int tries = 0;
  // The number of failures since the last long pause.
  std::size_t inRow = 0;
  // Whether the service may have made the change although no response confirms it.
  bool ambiguous = false;
  // Whether the last response had the status 429.
  bool lastThrottled = false;
  // Whether the body of the last response was not a CBOR map.
  bool garbled = false;
  int lastStatus = 0;
  Duration comeBack{0};
  std::string lastAddress, lastWhy, requestId;
  std::optional<std::size_t> lastIndex;
  int inFlight = 0;
  // The number of the current attempt. Responses to requests of earlier attempts are ignored.
  std::uint64_t round = 0;
  // The addresses whose responses to the current attempt are pending.
  std::vector<std::size_t> open;
  bool over = false;
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

Caller::Handle Caller::call(Ask ask, Done done) {
  auto call = std::make_shared<Call>();
  call->ask = std::move(ask);
  call->done = std::move(done);
  call->until = runtime_.now() + call->ask.within;
  // All attempts of a call share one request id, because they repeat the same request.
  call->requestId = settings_.agent + "-" + std::to_string(random_() % 100000000) + "-" +
                    std::to_string(++lastId_);
  call->ask.request.id = call->requestId;
  call->ask.request.credential = settings_.credential;
  open_.insert(call);
  ++counts_.calls;
  budget_.charge(runtime_.now(), -kRetriesPerCall);
  auto later = [this, weak = std::weak_ptr<int>(alive_)](std::function<void()> f) {
    runtime_.after(Duration{0}, [weak, f = std::move(f)] {
      if (!weak.expired()) f();
    });
  };
  later([this, call] { attempt(call); });
  // This timer ends the call at its deadline even if the call is pausing before a retry.
  runtime_.after(call->ask.within,
                 [this, late = std::weak_ptr<Call>(call), weak = std::weak_ptr<int>(alive_)] {
                   auto call = late.lock();
                   if (!weak.expired() && call) finish(call, outOfTime(*call));
                 });
  return [this, call, weak = std::weak_ptr<int>(alive_)] {
    if (weak.expired() || call->over) return;
    runtime_.after(Duration{0}, [this, call, weak] {
      if (!weak.expired()) finish(call, errorOf(*call, ErrorKind::cancelled, "given up"));
    });
  };
}

void Caller::attempt(const std::shared_ptr<Call>& call) {
  if (call->over) return;
  if (router_.size() == 0) {
    return finish(call, errorOf(*call, ErrorKind::unusable, "no server is known"));
  }
  Instant now = runtime_.now();
  if (call->tries > 0 && !budget_.take(now, 1)) {
    return again(call, budget_.waitFor(now, 1));
  }
  auto choice = router_.choose(now, call->inRow > 0 ? call->lastIndex : std::nullopt);
  if (!choice.address) {
    if (call->tries > 0) budget_.charge(now, -1);
    return again(call, choice.wait);
  }
  if (call->tries > 0) ++counts_.retries;
  Duration usual = call->ask.oneTry.count() > 0 ? call->ask.oneTry
                   : call->ask.changes          ? kChangeTry
                                                : kReadTry;
  Duration timeout = std::min(usual, call->until - now);
  // The timer of the deadline ends the call.
  if (timeout.count() <= 0) return;
  ++call->round;
  call->open.clear();
  send(call, *choice.address, timeout);
  bool hedged = settings_.hedgeReads && !call->ask.changes && !call->ask.held;
  if (hedged) hedge(call, *choice.address, timeout);
}

// Sends a slow read to a second controller as well. Only reads are hedged, because a repeated read
// changes no data.
void Caller::hedge(const std::shared_ptr<Call>& call, std::size_t first, Duration timeout) {
  Duration after = router_.slow();
  if (after >= timeout) return;
  runtime_.after(after, [this, call, first, round = call->round, left = timeout - after,
                         weak = std::weak_ptr<int>(alive_)] {
    if (weak.expired() || call->over || call->round != round || call->inFlight != 1) return;
    auto second = router_.other(first);
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
  call->lastIndex = address;
  call->open.push_back(address);
  http_.send(router_.name(address), call->ask.request, timeout,
             [this, call, address, round = call->round, sentAt = runtime_.now(),
              weak = std::weak_ptr<int>(alive_)](std::optional<Response> r) {
               if (weak.expired()) return;
               if (call->over || call->round != round) return;
               std::erase(call->open, address);
               --call->inFlight;
               onReply(call, address, sentAt, std::move(r));
             });
}

void Caller::onReply(const std::shared_ptr<Call>& call, std::size_t address, Instant sentAt,
                     std::optional<Response> r) {
  Instant now = runtime_.now();
  call->lastAddress = router_.name(address);
  Json body = Json::object();
  bool read = r && readable(*r, body);
  call->garbled = r && !read;
  call->lastStatus = r ? r->status : 0;
  call->lastThrottled = r && r->status == 429;
  call->lastWhy = read ? textField(body, "error").value_or("")
                  : r  ? "an answer that is no map"
                       : "";
  auto served = [&] { router_.answered(address, now - sentAt); };
  auto end = [&](ErrorKind kind) {
    served();
    Error e = errorOf(*call, kind, call->lastWhy);
    e.version = countField(body, "version").value_or(0);
    finish(call, std::move(e));
  };
  switch (call->lastStatus) {
    case 200:
    case 201:
      if (!read) break;
      served();
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
  Duration rest = r && r->retryAfterS > 0 ? std::min(kMostComeBack, Duration{r->retryAfterS * 1000})
                                          : Duration{0};
  if (call->lastThrottled) {
    // The status 429 is no failure of the controller: the rate limit of the client is the same at
    // all controllers.
    served();
    call->comeBack = std::max(rest, Duration{1000});
  } else {
    // A controller also responds with 503 if it does not know whether it made the change.
    call->ambiguous = call->ambiguous || call->ask.changes;
    router_.failed(address, now, rest);
  }
  // The response to the hedged request may still arrive.
  if (call->inFlight > 0) return;
  ++call->inRow;
  if (call->lastThrottled) {
    call->inRow = 0;
    return again(call, std::max(call->comeBack, call->backoff.next(router_)));
  }
  if (call->inRow < router_.size()) return again(call, kOtherAddress);
  call->inRow = 0;
  again(call, std::max(Duration{500}, call->backoff.next(router_)));
}

void Caller::again(const std::shared_ptr<Call>& call, Duration pause) {
  runtime_.after(std::max(pause, Duration{1}), [this, call, weak = std::weak_ptr<int>(alive_)] {
    if (!weak.expired()) attempt(call);
  });
}

void Caller::finish(const std::shared_ptr<Call>& call, Result<Answer> result) {
  if (call->over) return;
  call->over = true;
  open_.erase(call);
  for (auto address : call->open) router_.dropped(address);
  auto done = std::move(call->done);
  done(std::move(result));
}

Error Caller::errorOf(const Call& call, ErrorKind kind, const std::string& why) const {
  Error e;
  e.kind = kind;
  e.tried = call.ask.tried;
  e.where = call.lastAddress;
  e.tries = call.tries;
  e.status = call.lastStatus;
  e.why = why;
  e.requestId = call.requestId;
  if (kind == ErrorKind::throttled) e.comeBack = call.comeBack;
  return e;
}

Error Caller::outOfTime(const Call& call) const {
  // The service may still make a change for which a response is pending.
  bool mayBeDone = call.ambiguous || (call.ask.changes && call.inFlight > 0);
  if (mayBeDone) {
    return errorOf(call, ErrorKind::outcomeUnknown, "sent, and no answer says what came of it");
  }
  if (call.lastThrottled) return errorOf(call, ErrorKind::throttled, "too much at once");
  if (call.garbled) return errorOf(call, ErrorKind::protocolViolated, call.lastWhy);
  bool learnt = call.tries - call.inFlight > 0;
  if (!learnt) return errorOf(call, ErrorKind::deadlinePassed, "no answer in the time given");
  return errorOf(call, ErrorKind::unavailable,
                 call.lastWhy.empty() ? "no controller answers" : call.lastWhy);
}

}  // namespace kestrelhoist::client
