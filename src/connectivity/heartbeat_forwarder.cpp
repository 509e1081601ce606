#include "connectivity/heartbeat_forwarder.hpp"

#include <memory>
#include <utility>

#include "base/hedged_request.hpp"
#include "base/log.hpp"

namespace kestrelhoist {
namespace {
// A worker waits 4 s for the response to its heartbeat (see the PROTOCOL document). A heartbeat
// stays in the queue for at most this time, and its batch then waits at most this time for a
// response.
constexpr Duration kBatchTimeout{1500};
// The leader responds to a batch immediately, so a response that takes longer is most likely lost.
constexpr Duration kHedgeDelay{500};
constexpr Duration kBatchDelay{15};
constexpr Duration kBusyRetryDelay{100};
constexpr int kMaxBatchesInFlight = 2;
constexpr std::size_t kMaxBatchReports = 64;
constexpr std::size_t kMaxBatchBytes = 48 * 1024;  // The body of a request is limited to 64 KiB.
constexpr Duration kFailedLeaderRetryDelay{2 * kBatchTimeout};

// Encodes a CBOR array of indefinite length. The items are already encoded and are copied as they
// are.
std::string encodeArray(const std::deque<std::string>& items) {
  std::string out(1, '\x9f');
  for (const auto& i : items) out += i;
  out += '\xff';
  return out;
}
}  // namespace

void HeartbeatForwarder::forward(const MemberId& leader, std::string report, OnReply done) {
  PeerQueue& queue = queues_[leader];
  queue.heartbeats.push_back({std::move(report), runtime_.now(), std::move(done)});
  schedule(leader, kBatchDelay);
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
  while (!queue.heartbeats.empty() && now - queue.heartbeats.front().queuedAt > kBatchTimeout) {
    auto expired = std::move(queue.heartbeats.front());
    queue.heartbeats.pop_front();
    expired.done(std::nullopt);
  }
}

void HeartbeatForwarder::flush(const MemberId& leader) {
  PeerQueue& queue = queues_[leader];
  Instant now = runtime_.now();
  dropExpired(queue, now);
  if (queue.heartbeats.empty()) return;
  if (queue.inFlight >= kMaxBatchesInFlight) return schedule(leader, kBusyRetryDelay);
  Batch batch = takeBatch(queue);
  ++queue.inFlight;
  ++batches_;
  forwarded_ += batch.callbacks.size();
  using Answer = std::optional<Response>;
  auto request = std::make_shared<HedgedRequest<Answer>>(
      runtime_,
      [this, leader, body = std::move(batch.body)](Duration timeout, OnReply done) {
        send(leader, body, timeout, std::move(done));
      },
      [](const Answer& answer) { return !answer; },
      [this, leader, sent = now, callbacks = std::move(batch.callbacks)](
          Instant, const Answer& answer) { onBatchResponse(leader, sent, callbacks, answer); });
  request->start({kHedgeDelay, kBatchTimeout}, onRepeated);
  if (!queue.heartbeats.empty()) schedule(leader, Duration{0});
}

HeartbeatForwarder::Batch HeartbeatForwarder::takeBatch(PeerQueue& queue) {
  Batch batch;
  std::deque<std::string> reports;
  std::size_t bytes = 0;
  while (!queue.heartbeats.empty() && reports.size() < kMaxBatchReports) {
    auto& next = queue.heartbeats.front();
    if (!reports.empty() && bytes + next.report.size() > kMaxBatchBytes) break;
    bytes += next.report.size();
    reports.push_back(std::move(next.report));
    batch.callbacks.push_back(std::move(next.done));
    queue.heartbeats.pop_front();
  }
  batch.body = encodeArray(reports);
  return batch;
}

void HeartbeatForwarder::send(const MemberId& leader, const std::string& body, Duration timeout,
                              OnReply done) {
  peerMembership_.send(leader, {"POST", "/mesh/reports/" + self_.value, body}, timeout,
                       std::move(done));
}

void HeartbeatForwarder::onBatchResponse(const MemberId& leader, Instant sent,
                                         const Callbacks& callbacks,
                                         const std::optional<Response>& response) {
  PeerQueue& queue = queues_[leader];
  --queue.inFlight;
  auto body = response && response->status == 200 ? decodeBody(response->body, kInternalLimits)
                                                  : std::nullopt;
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
  if (!queue.heartbeats.empty()) schedule(leader, Duration{0});
}

Duration HeartbeatForwarder::failingFor(const MemberId& leader) const {
  auto it = queues_.find(leader);
  if (it == queues_.end() || !it->second.link.failing()) return Duration{0};
  // The leader counts as responding again some time after its last failure. No heartbeat is
  // forwarded to a leader that counts as failing, so its recovery would otherwise never be noticed.
  if (runtime_.now() - *it->second.link.lastFailed() > kFailedLeaderRetryDelay) return Duration{0};
  return runtime_.now() - *it->second.link.failingSince();
}

Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve) {
  auto body = decodeBody(request.body, kInternalLimits);
  if (!body || !body->is_array()) return jsonResponse(400, {{"error", "not a list of reports"}});
  Json answers = Json::array();
  for (const auto& report : *body) {
    Response r = serve(report);
    auto inner = decodeBody(r.body, kInternalLimits);
    answers.push_back({{"status", r.status}, {"body", inner ? std::move(*inner) : Json::object()}});
  }
  return jsonResponse(200, answers);
}

}  // namespace kestrelhoist
