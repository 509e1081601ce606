#include "connectivity/heartbeat_forwarder.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
// A worker waits 4 s for its answer (PROTOCOL): a report waits at most this long to be sent on, and
// a batch as long again for its answer.
constexpr Duration kPatience{1500};
constexpr Duration kLinger{15};
constexpr int kInFlight = 2;
constexpr std::size_t kMostReports = 64;
constexpr std::size_t kMostBytes = 48 * 1024;  // a body may have 64 KiB
// Direct commands that fail in a row before the link to the workers counts as failing: single
// machines die all the time.
constexpr int kSeveral = 3;
constexpr Duration kProbeEvery{2000};
constexpr Duration kOtherWayFor{6000};
constexpr int kUnknown = 504;  // between controllers: it tried, and no worker reaches it either
constexpr Duration kForgetNextHop{5 * 60 * 1000};
constexpr Duration kTryAgainAfter{2 * kPatience};

// Encoded items one after the other in an array of no stated length: they need not be decoded.
std::string arrayOf(const std::deque<std::string>& items) {
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

void HeartbeatForwarder::flush(const MemberId& leader) {
  PeerQueue& queue = queues_[leader];
  Instant now = runtime_.now();
  while (!queue.waiting.empty() && now - queue.waiting.front().since > kPatience) {
    auto late = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    late.done(std::nullopt);
  }
  if (queue.waiting.empty()) return;
  if (queue.inFlight >= kInFlight) return schedule(leader, Duration{100});
  auto calls = std::make_shared<std::vector<OnReply>>();
  std::deque<std::string> reports;
  std::size_t bytes = 0;
  while (!queue.waiting.empty() && calls->size() < kMostReports) {
    auto& next = queue.waiting.front();
    if (!reports.empty() && bytes + next.report.size() > kMostBytes) break;
    bytes += next.report.size();
    reports.push_back(std::move(next.report));
    calls->push_back(std::move(next.done));
    queue.waiting.pop_front();
  }
  ++queue.inFlight;
  ++batches_;
  forwarded_ += calls->size();
  peerMembership_.send(
      leader, {"POST", "/mesh/reports/" + self_.value, arrayOf(reports)}, kPatience,
      [this, leader, calls, sent = now](std::optional<Response> r) {
        PeerQueue& queue = queues_[leader];
        --queue.inFlight;
        auto body = r && r->status == 200 ? decodeBody(r->body) : std::nullopt;
        bool ok = body && body->is_array() && body->size() == calls->size();
        ok ? queue.link.onAnswered(sent) : queue.link.onFailed(sent);
        for (std::size_t i = 0; i < calls->size(); ++i) {
          const Json* answer = ok ? &(*body)[i] : nullptr;
          auto status = answer ? countField(*answer, "status") : std::nullopt;
          if (!status || !answer->contains("body")) {
            (*calls)[i](std::nullopt);
          } else {
            (*calls)[i](jsonResponse(static_cast<int>(*status), answer->at("body")));
          }
        }
        if (!queue.waiting.empty()) schedule(leader, Duration{0});
      });
  if (!queue.waiting.empty()) schedule(leader, Duration{0});
}

Duration HeartbeatForwarder::failingFor(const MemberId& leader) const {
  auto it = queues_.find(leader);
  if (it == queues_.end() || !it->second.link.failing()) return Duration{0};
  // What failed some time ago is tried again: nothing is passed while it counts as failing, so
  // nothing else would ever show that it is back.
  if (runtime_.now() - *it->second.link.lastFailed() > kTryAgainAfter) return Duration{0};
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
                [&](const auto& f) { return runtime_.now() - f.second > kOtherWayFor; });
  std::erase_if(nextHops_,
                [&](const auto& v) { return runtime_.now() - v.second.at > kForgetNextHop; });
}

bool WorkerTransport::reachedSince(Instant sent) const {
  return (link_.lastGood() && *link_.lastGood() >= sent) ||
         std::any_of(throughPeer_.begin(), throughPeer_.end(),
                     [&](const auto& p) { return p.second >= sent; });
}

// Who passed on the worker's last report; who heard any worker last; one that heard none may still
// reach them. Last of all those that failed a moment ago.
std::optional<MemberId> WorkerTransport::peerFor(const std::string& address) const {
  std::optional<MemberId> best;
  std::tuple<bool, bool, Duration> bestRank{};
  Instant now = runtime_.now();
  auto via = nextHops_.find(address);
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    const auto& [status, heardAt] = seen;
    if (!status.supportsForwarding || now - heardAt >= kPatience) continue;
    auto failed = failedThrough_.find(member);
    bool degraded = failed != failedThrough_.end() && now - failed->second < kTryAgainAfter;
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
  Instant now = runtime_.now();
  std::optional<MemberId> through;
  auto failed = failedDirectly_.find(address);
  bool otherWay = failed != failedDirectly_.end() && now - failed->second < kOtherWayFor;
  if (otherWay || link_.failures() >= kSeveral) {
    through = peerFor(address);
  }
  if (!through) {
    return http_.send(address, std::move(request), timeout,
                      [this, now, address, done = std::move(done)](std::optional<Response> r) {
                        r ? link_.onAnswered(now) : link_.onFailed(now);
                        if (!r) failedDirectly_[address] = now;
                        bool works = link_.lastGood() && *link_.lastGood() >= now;
                        done(r || !works ? std::move(r) : std::optional(notReached()));
                      });
  }
  if (now - probedAt_ >= kProbeEvery) {
    // Only a question: a command sent on both ways might be carried out late on one of them, after
    // the answer on the other has settled it.
    probedAt_ = now;
    http_.send(address, {"GET", "/inspect", ""}, kPatience,
               [this, now](const std::optional<Response>& r) {
                 if (r) link_.onAnswered(now);
               });
  }
  request.path = "/mesh/worker/" + address + request.path;
  peerMembership_.send(
      *through, std::move(request), timeout,
      [this, now, address, through = *through, done = std::move(done)](std::optional<Response> r) {
        failedDirectly_.erase(address);
        // kNotReached: it tried, and other workers reach it.
        if (r && r->status != kUnknown) {
          if (r->status != kNotReached) throughPeer_[through] = now;
          return done(std::move(r));
        }
        failedThrough_[through] = now;
        done(std::nullopt);
      });
}

void WorkerTransport::serve(const std::string& address, const Request& request,
                            const Respond& respond) {
  // Within the time that the leader gives a question.
  constexpr Duration kTimeout{1200};
  http_.send(address, request, kTimeout,
             [this, sent = runtime_.now(), respond](std::optional<Response> r) {
               if (r) {
                 link_.onAnswered(sent);
                 return respond(std::move(*r));
               }
               bool works = link_.lastGood() && *link_.lastGood() >= sent;
               respond(works ? notReached() : Response{kUnknown, encodeBody(Json::object())});
             });
}

}  // namespace kestrelhoist
