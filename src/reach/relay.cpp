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
constexpr int kNotReached = 502;
// Direct commands that fail in a row before the link to the workers counts as failing: single
// machines die all the time.
constexpr int kSeveral = 3;
constexpr Duration kTryDirectEvery{5000};
constexpr Duration kTryAgainAfter{2 * kPatience};

// Encoded items one after the other in an array of no stated length: they need not be decoded.
std::string arrayOf(const std::deque<std::string>& items) {
  std::string out(1, '\x9f');
  for (const auto& i : items) out += i;
  out += '\xff';
  return out;
}
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
  mesh_.send(leader, {"POST", "/mesh/reports/" + self_.value, arrayOf(reports)}, kPatience,
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
    via_[address] = *via;
  } else {
    via_.erase(address);
    link_.answered(runtime_.now());
  }
}

bool WorkerLine::reachedSince(Instant sent) const {
  return (link_.lastGood() && *link_.lastGood() >= sent) || throughPeer_ >= sent;
}

std::optional<MemberId> WorkerLine::peerWithWorkers() const {
  for (const auto& [member, seen] : mesh_.sightings()) {
    const auto& [sighting, heardAt] = seen;
    Duration age = runtime_.now() - heardAt;
    if (sighting.relays && age < kPatience && sighting.workersAge + age < kTryDirectEvery) {
      return member;
    }
  }
  return std::nullopt;
}

void WorkerLine::send(const std::string& address, Request request, Duration timeout, OnReply done) {
  Instant now = runtime_.now();
  std::optional<MemberId> through;
  if (link_.failures() >= kSeveral) {
    if (now - probedAt_ >= kTryDirectEvery) {
      probedAt_ = now;
    } else if (auto via = via_.find(address); via != via_.end()) {
      through = via->second;
    } else {
      through = peerWithWorkers();
    }
  }
  if (!through) {
    return http_.send(address, std::move(request), timeout,
                      [this, now, done = std::move(done)](std::optional<Response> r) {
                        r ? link_.answered(now) : link_.failed(now);
                        done(std::move(r));
                      });
  }
  request.path = "/mesh/worker/" + address + request.path;
  mesh_.send(*through, std::move(request), timeout,
             [this, now, done = std::move(done)](std::optional<Response> r) {
               if (r && r->status == kNotReached) r.reset();
               if (r) throughPeer_ = std::max(throughPeer_, now);
               done(std::move(r));
             });
}

void WorkerLine::serve(const std::string& address, const Request& request, const Respond& respond) {
  constexpr Duration kTimeout{2500};
  http_.send(address, request, kTimeout, [respond](std::optional<Response> r) {
    respond(r ? std::move(*r) : Response{kNotReached, encodeBody(Json::object())});
  });
}

}  // namespace kestrelhoist
