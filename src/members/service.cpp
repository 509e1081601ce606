#include "members/service.hpp"

#include <sodium.h>

#include <stdexcept>

#include "base/log.hpp"
#include "base/query.hpp"

namespace kestrelhoist {
namespace {

// Members' writes may use half of the state service's write rate, shared equally by all
// controllers. The leader's own writes (placements, task ends) have the other half. Writes above
// the share wait in the fair queue of this controller instead of at the state service.
double writesPerS(const Platform& p) {
  return std::max(1.0, 0.5 * p.stateWritesPerS / static_cast<double>(p.controllerCount()));
}
constexpr std::size_t kMaxWritesInProgress = 8;
constexpr std::size_t kMaxWaitingWrites = 1024;
// Held watches may use this share of the sockets. The rest stays free for other requests.
constexpr double kWatchSocketShare = 0.7;

// Every kind of invalid key gets the same answer, so that a client can't tell the kinds apart.
Response invalidKeyResponse() { return jsonResponse(401, {{"error", "not a valid key"}}); }
Response forbiddenResponse() {
  return jsonResponse(403, {{"error", "the key does not permit this"}});
}

struct Route {
  RequestKind kind;
  unsigned right;
};

Route routeOf(const std::string& method, const std::string& path) {
  bool read = method == "GET";
  if (path.starts_with("/v2/keys")) {
    return {read ? RequestKind::list : RequestKind::submit, right::kAdmin};
  }
  if (read) {
    bool lists = path == "/v2/jobs" || path == "/v2/flows";
    return {lists ? RequestKind::list : RequestKind::poll, path == "/v2/whoami" ? 0 : right::kRead};
  }
  if (path.ends_with("/abort") || path.ends_with("/cancel")) {
    return {RequestKind::cancel, right::kCancel};
  }
  return {RequestKind::submit, right::kSubmit};
}

}  // namespace

MemberService::MemberService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher,
                             Replica& replica, const Platform& platform,
                             const MemberSettings& settings, JobService& jobs, FlowService& flows,
                             Metrics* metrics, std::uint64_t seed)
    : runtime_(runtime),
      store_(store),
      watcher_(watcher),
      replica_(replica),
      platform_(platform),
      settings_(settings),
      jobs_(jobs),
      flows_(flows),
      metrics_(metrics),
      rates_(settings.limits, seed),
      writes_(writesPerS(platform), std::max(2.0, writesPerS(platform))),
      fairQueue_(kMaxWritesInProgress, settings.limits.queued, kMaxWaitingWrites,
                 [this] { return writes_.take(runtime_.now(), 1); }),
      watches_(settings.limits.watches,
               static_cast<std::size_t>(static_cast<double>(platform.maxConnections) *
                                        kWatchSocketShare)) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't be used");
}

std::optional<MemberService::Caller> MemberService::callerOf(const KeyId& key) const {
  if (key == settings_.rootKey) return Caller{key, {}, right::kAdmin, true};
  const auto* entry = replica_.keyRing().find(key);
  if (!entry || entry->record.isExpiredAt(runtime_.wallMillis())) return std::nullopt;
  return Caller{key, entry->record.owner, entry->record.rights, false};
}

std::optional<MemberService::AuthResult> MemberService::authenticate(const std::string& text,
                                                                     bool afterRead) const {
  auto credential = parseCredential(text);
  if (!credential) return invalidKeyResponse();
  // An unknown key is hashed and compared like a known one, so that response times don't show
  // which keys exist.
  std::string hash = hashOfSecret(*credential);
  const auto* entry = replica_.keyRing().find(credential->id);
  std::string known = credential->id == settings_.rootKey ? settings_.rootHash
                      : entry                             ? entry->record.hash
                                                          : std::string(hash.size(), '0');
  bool same = sameHash(hash, known);
  // Another controller may have made the key a moment ago, so a linearizable read comes first.
  if (!entry && !same && !afterRead) return std::nullopt;
  // A replica older than `maxReplicaAge` is not used, because a revocation may be missing from it.
  if (watcher_.snapshotAge() > settings_.maxReplicaAge) return retryLater(503);
  auto caller = callerOf(credential->id);
  if (!same || !caller) return invalidKeyResponse();
  return *caller;
}

bool MemberService::handle(const Request& request, const Respond& respond, bool hold) {
  std::string path = request.path.substr(0, request.path.find('?'));
  if (!path.starts_with("/v2/")) return false;
  // Workers' requests carry no key (docs/members.md, "What keys do not cover").
  if (path.starts_with("/v2/flows/tasks/")) return flows_.handle(request, respond);
  if (request.credential.empty()) {
    if (!settings_.open) {
      respond(jsonResponse(401, {{"error", "a key is needed"}}));
      return true;
    }
    return jobs_.handle(request, respond) || flows_.handle(request, respond);
  }
  auto checked = authenticate(request.credential, false);
  auto proceed = [this, request, respond, hold](const AuthResult& c) {
    if (const auto* refusal = std::get_if<Response>(&c)) {
      if (metrics_) metrics_->shed("any", "key");
      return respond(*refusal);
    }
    handleAuthenticated(std::get<Caller>(c), request, respond, hold);
  };
  if (checked) {
    proceed(*checked);
  } else {
    watcher_.linearizableRead([this, text = request.credential, respond, proceed](bool ok) {
      if (!ok) return respond(retryLater(503));
      proceed(*authenticate(text, true));
    });
  }
  return true;
}

Respond MemberService::counted(const Owner& owner, const char* kindName, const Respond& respond) {
  return [this, owner, kindName, respond, since = runtime_.now()](const Response& r) {
    Instant now = runtime_.now();
    rates_.charge(now, owner, r.body.size());
    if (metrics_) metrics_->answered(kindName, r.status, now - since);
    respond(r);
  };
}

void MemberService::handleAuthenticated(const Caller& caller, const Request& request,
                                        const Respond& uncounted, bool hold) {
  auto mark = request.path.find('?');
  std::string path = request.path.substr(0, mark);
  std::string query = mark == std::string::npos ? "" : request.path.substr(mark + 1);
  Route route = routeOf(request.method, path);
  const char* kindName = toString(route.kind);
  if (!request.id.empty()) {
    logDebug("request", "request", request.id, "key", caller.key, "kind", kindName);
  }
  auto shed = [&](const char* why, int seconds) {
    if (metrics_) metrics_->shed(kindName, why);
    uncounted(retryLater(429, seconds));
  };
  if (!gauge_.admits(route.kind)) return shed("load", rates_.jitteredDelayS(gauge_.lateness()));
  if (auto seconds = rates_.refuse(runtime_.now(), caller.owner, route.kind, request.body.size())) {
    return shed("rate", *seconds);
  }
  if (path == "/v2/jobs" && request.method == "GET" && (caller.rights & right::kRead) != 0) {
    // list() counts its answers itself, since it may hold the request open.
    return list(caller, query, hold, uncounted);
  }
  Respond respond = counted(caller.owner, kindName, uncounted);
  if ((caller.rights & route.right) != route.right) return respond(forbiddenResponse());
  if (path == "/v2/whoami") {
    return respond(jsonResponse(200, {{"key", caller.key.value},
                                      {"team", caller.owner.team.value},
                                      {"member", caller.owner.member},
                                      {"rights", rightsToString(caller.rights)}}));
  }
  if (path.starts_with("/v2/keys") && handleKeys(caller, request, path, respond)) return;
  // The root key manages other keys and has no jobs or flows.
  if (caller.root) return respond(forbiddenResponse());
  bool writes = route.kind == RequestKind::submit || route.kind == RequestKind::cancel;
  auto start = [this, caller, request, path](const Respond& answer) {
    if (path.starts_with("/v2/flows")) return flows(caller, request, path, answer);
    if (!jobs_.handle(request, answer, &caller.owner)) {
      answer(jsonResponse(404, {{"error", "no such path"}}));
    }
  };
  if (!writes) return start(respond);
  write(caller, route.kind, respond, start);
}

void MemberService::write(const Caller& caller, RequestKind kind, const Respond& respond,
                          std::function<void(const Respond&)> start) {
  auto respondAndRelease = [this, respond](const Response& r) {
    respond(r);
    fairQueue_.finished();
  };
  auto begin = [this, respondAndRelease, start = std::move(start), since = runtime_.now()] {
    if (metrics_) metrics_->queued(runtime_.now() - since);
    // finished() must be called also after an exception, or the queue's slot stays occupied.
    try {
      start(respondAndRelease);
    } catch (const std::exception& e) {
      logError("request handler of a member threw an exception", "what", e.what());
      respondAndRelease(jsonResponse(500, {{"error", "internal"}}));
    }
  };
  if (fairQueue_.offer(caller.owner, kind, begin)) return;
  if (metrics_) metrics_->shed(toString(kind), "queue");
  respond(retryLater(429, rates_.jitteredDelayS(Duration{1000})));
}

void MemberService::flows(const Caller& caller, const Request& request, const std::string& path,
                          const Respond& respond) {
  auto pass = [this, request](const Respond& answer) {
    if (!flows_.handle(request, answer)) answer(jsonResponse(404, {{"error", "no such path"}}));
  };
  auto mark = request.path.find('?');
  std::string query = mark == std::string::npos ? "" : request.path.substr(mark + 1);
  const Owner& who = caller.owner;
  if (path == "/v2/flows") {
    bool own =
        queryValue(query, "owner") == who.team.value && queryValue(query, "member") == who.member;
    return own ? pass(respond) : respond(forbiddenResponse());
  }
  if (path == "/v2/flows/account") {
    // The account covers all members of the team, so it needs the admin right.
    bool may = (caller.rights & right::kAdmin) != 0 && queryValue(query, "owner") == who.team.value;
    return may ? pass(respond) : respond(forbiddenResponse());
  }
  if (path.ends_with("/commit")) {
    auto body = decodeBody(request.body);
    if (!body || textField(*body, "owner") != who.team.value ||
        textField(*body, "member") != who.member) {
      return respond(forbiddenResponse());
    }
  }
  std::string rest = path.substr(std::string("/v2/flows/").size());
  FlowId id{rest.substr(0, rest.find('/'))};
  watcher_.linearizableRead([this, id, who, pass, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const FlowState* flow = replica_.flows().find(id);
    if (flow && flow->head &&
        (flow->head->team != who.team.value || flow->head->member != who.member)) {
      return respond(jsonResponse(404, {{"error", "no such flow"}}));
    }
    pass(respond);
  });
}

void MemberService::onTimer(Duration due, Duration took) {
  gauge_.recordTimer(due, took);
  fairQueue_.startWaiting();
  if (watcher_.isLoaded() && replica_.cursorKey().empty()) createCursorSecret();
}

void MemberService::fill(MetricGauges& g) const {
  g.watches = static_cast<double>(watches_.size());
  g.waiting = static_cast<double>(fairQueue_.waiting());
  g.working = static_cast<double>(fairQueue_.inProgress());
  g.lateS = toSeconds(gauge_.lateness());
  g.memberJobs = static_cast<double>(replica_.memberJobs().size());
  g.keys = static_cast<double>(replica_.keyRing().all().size());
}

}  // namespace kestrelhoist
