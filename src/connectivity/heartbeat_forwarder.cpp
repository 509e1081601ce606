#include "connectivity/heartbeat_forwarder.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
// A worker waits 4 s for its answer (PROTOCOL): a report waits at most this long to be sent on, and
// a batch as long again for its answer.
constexpr Duration kBatchTimeout{1500};
constexpr Duration kLinger{15};
constexpr Duration kBusyRetry{100};
constexpr int kMaxBatchesInFlight = 2;
constexpr std::size_t kMaxBatchReports = 64;
constexpr std::size_t kMaxBatchBytes = 48 * 1024;  // a body may have 64 KiB
// Direct commands that fail in a row before the link to the workers counts as failing: single
// machines die all the time.
constexpr int kFailuresUntilLinkFails = 3;
constexpr Duration kProbeEvery{2000};
constexpr Duration kThroughPeerFor{6000};
constexpr int kPeerReachesNoWorker =
    504;  // between controllers: the peer tried, and reaches no worker either
constexpr Duration kForgetNextHop{5 * 60 * 1000};
constexpr Duration kRetryAfter{2 * kBatchTimeout};

// Encodes a CBOR array of indefinite length from encoded items, which need not be decoded.
std::string encodeArray(const std::deque<std::string>& items) {
  std::string out(1, '\x9f');
  for (const auto& i : items) out += i;
  out += '\xff';
  return out;
}
Response notReached() { return {kNotReached, encodeBody(Json::object())}; }
}  // namespace

void HeartbeatForwarder::forward(const MemberId& leader, std::string report, OnReply done) {
  PeerQueue& queue = queues_[leader];
  queue.waiting.push_back({std::move(report), runtime_.now(), std::move(done)});
  schedule(leader, kLinger);
}

void HeartbeatForwarder::schedule(const MemberId& leader, Duration wait) {
  PeerQueue& queue = queues_[leader];
  if (queue.scheduled) return;
  queue.scheduled = true;
  runtime_.after(wait, [this, leader] {
    queues_[leader].scheduled = false;
    flush(leader);
  });
}

void HeartbeatForwarder::dropExpired(PeerQueue& queue, Instant now) {
  while (!queue.waiting.empty() && now - queue.waiting.front().since > kBatchTimeout) {
    auto expired = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    expired.done(std::nullopt);
  }
}

void HeartbeatForwarder::flush(const MemberId& leader) {
  PeerQueue& queue = queues_[leader];
  Instant now = runtime_.now();
  dropExpired(queue, now);
  if (queue.waiting.empty()) return;
  if (queue.inFlight >= kMaxBatchesInFlight) return schedule(leader, kBusyRetry);
  auto callbacks = std::make_shared<Callbacks>();
  std::deque<std::string> reports;
  std::size_t bytes = 0;
  while (!queue.waiting.empty() && callbacks->size() < kMaxBatchReports) {
    auto& next = queue.waiting.front();
    if (!reports.empty() && bytes + next.report.size() > kMaxBatchBytes) break;
    bytes += next.report.size();
    reports.push_back(std::move(next.report));
    callbacks->push_back(std::move(next.done));
    queue.waiting.pop_front();
  }
  ++queue.inFlight;
  ++batches_;
  forwarded_ += callbacks->size();
  peerMembership_.send(
      leader, {"POST", "/mesh/reports/" + self_.value, encodeArray(reports)}, kBatchTimeout,
      [this, leader, callbacks, sent = now](const std::optional<Response>& response) {
        onBatchResponse(leader, sent, *callbacks, response);
      });
  if (!queue.waiting.empty()) schedule(leader, Duration{0});
}

void HeartbeatForwarder::onBatchResponse(const MemberId& leader, Instant sent,
                                         const Callbacks& callbacks,
                                         const std::optional<Response>& response) {
  PeerQueue& queue = queues_[leader];
  --queue.inFlight;
  auto body = response && response->status == 200 ? decodeBody(response->body) : std::nullopt;
  bool complete = body && body->is_array() && body->size() == callbacks.size();
  complete ? queue.link.onAnswered(sent) : queue.link.onFailed(sent);
  for (std::size_t i = 0; i < callbacks.size(); ++i) {
    const Json* answer = complete ? &(*body)[i] : nullptr;
    auto status = answer ? countField(*answer, "status") : std::nullopt;
    if (!status || !answer->contains("body")) {
      callbacks[i](std::nullopt);
    } else {
      callbacks[i](jsonResponse(static_cast<int>(*status), answer->at("body")));
    }
  }
  if (!queue.waiting.empty()) schedule(leader, Duration{0});
}

Duration HeartbeatForwarder::failingFor(const MemberId& leader) const {
  auto it = queues_.find(leader);
  if (it == queues_.end() || !it->second.link.failing()) return Duration{0};
  // A leader that failed some time ago is tried again. Nothing is forwarded while it counts as
  // failing, so nothing else would ever show its recovery.
  if (runtime_.now() - *it->second.link.lastFailed() > kRetryAfter) return Duration{0};
  return runtime_.now() - *it->second.link.failingSince();
}

Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve) {
  auto body = decodeBody(request.body);
  if (!body || !body->is_array()) return jsonResponse(400, {{"error", "not a list of reports"}});
  Json answers = Json::array();
  for (const auto& report : *body) {
    Response r = serve(report);
    auto inner = decodeBody(r.body);
    answers.push_back({{"status", r.status}, {"body", inner ? std::move(*inner) : Json::object()}});
  }
  return jsonResponse(200, answers);
}

void WorkerTransport::noteReport(const std::string& address, const std::optional<MemberId>& via) {
  if (via) {
    nextHops_[address] = {*via, runtime_.now()};
  } else {
    nextHops_.erase(address);
    link_.onAnswered(runtime_.now());
  }
}

void WorkerTransport::expire() {
  std::erase_if(failedDirectly_,
                [&](const auto& f) { return runtime_.now() - f.second > kThroughPeerFor; });
  std::erase_if(nextHops_,
                [&](const auto& v) { return runtime_.now() - v.second.at > kForgetNextHop; });
}

bool WorkerTransport::reachedSince(Instant sent) const {
  return (link_.lastGood() && *link_.lastGood() >= sent) ||
         std::any_of(throughPeer_.begin(), throughPeer_.end(),
                     [&](const auto& p) { return p.second >= sent; });
}

// Prefers the peer that forwarded the worker's last heartbeat, then the one that last received a
// heartbeat from any worker (a peer that received none may still reach them). Peers that failed
// recently come last.
std::optional<MemberId> WorkerTransport::peerFor(const std::string& address) const {
  std::optional<MemberId> best;
  std::tuple<bool, bool, Duration> bestRank{};
  Instant now = runtime_.now();
  auto via = nextHops_.find(address);
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    const auto& [status, heardAt] = seen;
    if (!status.supportsForwarding || now - heardAt >= kBatchTimeout) continue;
    auto failed = failedThrough_.find(member);
    bool degraded = failed != failedThrough_.end() && now - failed->second < kRetryAfter;
    std::tuple rank{degraded, via == nextHops_.end() || via->second.peer != member,
                    status.workersAge};
    if (!best || rank < bestRank) {
      best = member;
      bestRank = rank;
    }
  }
  return best;
}

void WorkerTransport::send(const std::string& address, Request request, Duration timeout,
                           OnReply done) {
  auto failed = failedDirectly_.find(address);
  bool failedLately =
      failed != failedDirectly_.end() && runtime_.now() - failed->second < kThroughPeerFor;
  std::optional<MemberId> peer;
  if (failedLately || link_.failures() >= kFailuresUntilLinkFails) peer = peerFor(address);
  if (!peer) return sendDirectly(address, std::move(request), timeout, std::move(done));
  probeDirectLink(address);
  sendThrough(*peer, address, std::move(request), timeout, std::move(done));
}

void WorkerTransport::sendDirectly(const std::string& address, Request request, Duration timeout,
                                   OnReply done) {
  http_.send(address, std::move(request), timeout,
             [this, sent = runtime_.now(), address,
              done = std::move(done)](std::optional<Response> response) {
               response ? link_.onAnswered(sent) : link_.onFailed(sent);
               if (!response) failedDirectly_[address] = sent;
               bool linkWorks = link_.lastGood() && *link_.lastGood() >= sent;
               done(response || !linkWorks ? std::move(response) : std::optional(notReached()));
             });
}

// The probe is a read-only request. A command sent on both paths might be carried out late on one
// of them, after the response on the other has settled it.
void WorkerTransport::probeDirectLink(const std::string& address) {
  Instant now = runtime_.now();
  if (now - probedAt_ < kProbeEvery) return;
  probedAt_ = now;
  http_.send(address, {"GET", "/inspect", ""}, kBatchTimeout,
             [this, now](const std::optional<Response>& response) {
               if (response) link_.onAnswered(now);
             });
}

void WorkerTransport::sendThrough(const MemberId& peer, const std::string& address, Request request,
                                  Duration timeout, OnReply done) {
  request.path = "/mesh/worker/" + address + request.path;
  peerMembership_.send(peer, std::move(request), timeout,
                       [this, sent = runtime_.now(), address, peer,
                        done = std::move(done)](std::optional<Response> response) {
                         failedDirectly_.erase(address);
                         // With kNotReached the peer failed to reach this worker, but reaches other
                         // workers.
                         if (response && response->status != kPeerReachesNoWorker) {
                           if (response->status != kNotReached) throughPeer_[peer] = sent;
                           return done(std::move(response));
                         }
                         failedThrough_[peer] = sent;
                         done(std::nullopt);
                       });
}

void WorkerTransport::serve(const std::string& address, const Request& request,
                            const Respond& respond) {
  // Shorter than the timeout of the leader's read-only requests.
  constexpr Duration kTimeout{1200};
  http_.send(
      address, request, kTimeout,
      [this, sent = runtime_.now(), respond](std::optional<Response> r) {
        if (r) {
          link_.onAnswered(sent);
          return respond(std::move(*r));
        }
        bool works = link_.lastGood() && *link_.lastGood() >= sent;
        respond(works ? notReached() : Response{kPeerReachesNoWorker, encodeBody(Json::object())});
      });
}

}  // namespace kestrelhoist
