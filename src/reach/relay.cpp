#include "reach/relay.hpp"

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
constexpr Duration kForgetVia{5 * 60 * 1000};
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

void Relay::pass(const MemberId& leader, std::string report, OnReply done) {
  Line& line = lines_[leader];
  line.waiting.push_back({std::move(report), runtime_.now(), std::move(done)});
  schedule(leader, kLinger);
}

void Relay::schedule(const MemberId& leader, Duration wait) {
  Line& line = lines_[leader];
  if (line.scheduled) return;
  line.scheduled = true;
  runtime_.after(wait, [this, leader] {
    lines_[leader].scheduled = false;
    flush(leader);
  });
}

void Relay::flush(const MemberId& leader) {
  Line& line = lines_[leader];
  Instant now = runtime_.now();
  while (!line.waiting.empty() && now - line.waiting.front().since > kPatience) {
    auto late = std::move(line.waiting.front());
    line.waiting.pop_front();
    late.done(std::nullopt);
  }
  if (line.waiting.empty()) return;
  if (line.inFlight >= kInFlight) return schedule(leader, Duration{100});
  auto calls = std::make_shared<std::vector<OnReply>>();
  std::deque<std::string> reports;
  std::size_t bytes = 0;
  while (!line.waiting.empty() && calls->size() < kMostReports) {
    auto& next = line.waiting.front();
    if (!reports.empty() && bytes + next.report.size() > kMostBytes) break;
    bytes += next.report.size();
    reports.push_back(std::move(next.report));
    calls->push_back(std::move(next.done));
    line.waiting.pop_front();
  }
  ++line.inFlight;
  ++batches_;
  passed_ += calls->size();
  peerMembership_.send(
      leader, {"POST", "/mesh/reports/" + self_.value, arrayOf(reports)}, kPatience,
      [this, leader, calls, sent = now](std::optional<Response> r) {
        Line& line = lines_[leader];
        --line.inFlight;
        auto body = r && r->status == 200 ? decodeBody(r->body) : std::nullopt;
        bool ok = body && body->is_array() && body->size() == calls->size();
        ok ? line.link.answered(sent) : line.link.failed(sent);
        for (std::size_t i = 0; i < calls->size(); ++i) {
          const Json* answer = ok ? &(*body)[i] : nullptr;
          auto status = answer ? countField(*answer, "status") : std::nullopt;
          if (!status || !answer->contains("body")) {
            (*calls)[i](std::nullopt);
          } else {
            (*calls)[i](jsonResponse(static_cast<int>(*status), answer->at("body")));
          }
        }
        if (!line.waiting.empty()) schedule(leader, Duration{0});
      });
  if (!line.waiting.empty()) schedule(leader, Duration{0});
}

Duration Relay::failingFor(const MemberId& leader) const {
  auto it = lines_.find(leader);
  if (it == lines_.end() || !it->second.link.failing()) return Duration{0};
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

void WorkerLine::heard(const std::string& address, const std::optional<MemberId>& via) {
  if (via) {
    via_[address] = {*via, runtime_.now()};
  } else {
    via_.erase(address);
    link_.answered(runtime_.now());
  }
}

void WorkerLine::sweep() {
  std::erase_if(failedDirectly_,
                [&](const auto& f) { return runtime_.now() - f.second > kOtherWayFor; });
  std::erase_if(via_, [&](const auto& v) { return runtime_.now() - v.second.at > kForgetVia; });
}

bool WorkerLine::reachedSince(Instant sent) const {
  return (link_.lastGood() && *link_.lastGood() >= sent) ||
         std::any_of(throughPeer_.begin(), throughPeer_.end(),
                     [&](const auto& p) { return p.second >= sent; });
}

// Who passed on the worker's last report; who heard any worker last; one that heard none may still
// reach them. Last of all those that failed a moment ago.
std::optional<MemberId> WorkerLine::peerFor(const std::string& address) const {
  std::optional<MemberId> best;
  std::tuple<bool, bool, Duration> bestRank{};
  Instant now = runtime_.now();
  auto via = via_.find(address);
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    const auto& [status, heardAt] = seen;
    if (!status.supportsForwarding || now - heardAt >= kPatience) continue;
    auto failed = failedThrough_.find(member);
    bool doubtful = failed != failedThrough_.end() && now - failed->second < kTryAgainAfter;
    std::tuple rank{doubtful, via == via_.end() || via->second.peer != member, status.workersAge};
    if (!best || rank < bestRank) {
      best = member;
      bestRank = rank;
    }
  }
  return best;
}

void WorkerLine::send(const std::string& address, Request request, Duration timeout, OnReply done) {
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
                        r ? link_.answered(now) : link_.failed(now);
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
                 if (r) link_.answered(now);
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

void WorkerLine::serve(const std::string& address, const Request& request, const Respond& respond) {
  // Within the time that the leader gives a question.
  constexpr Duration kTimeout{1200};
  http_.send(address, request, kTimeout,
             [this, sent = runtime_.now(), respond](std::optional<Response> r) {
               if (r) {
                 link_.answered(sent);
                 return respond(std::move(*r));
               }
               bool works = link_.lastGood() && *link_.lastGood() >= sent;
               respond(works ? notReached() : Response{kUnknown, encodeBody(Json::object())});
             });
}

}  // namespace kestrelhoist
