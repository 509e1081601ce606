#include "connectivity/worker_transport.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kPeerStatusMaxAge{1500};
constexpr Duration kDirectProbeTimeout{1500};
// The link to the workers counts as failing only after this many consecutive failed requests, since
// single machines die often.
constexpr int kMinFailuresOfFailingLink = 3;
constexpr Duration kDirectProbeInterval{2000};
constexpr Duration kRelayPeriod{6000};
// A peer responds with this status if neither the requested worker nor the other worker that the
// peer probed for comparison responded.
constexpr int kPeerReachesNoWorker = 504;
constexpr Duration kNextHopRetention{5 * 60 * 1000};
// The response to a probe is overdue after kProbeOverdueAfter but is accepted until kProbeTimeout.
// The latter is also the time that a worker waits for the response to its heartbeat (see PROTOCOL,
// "Workers").
constexpr Duration kProbeOverdueAfter{1500};
constexpr Duration kProbeTimeout = kWorkerAnswerTimeout;
// After a late response, the next response of that worker is due after this many times the late
// round trip.
constexpr int kLateAnswerFactor = 2;
constexpr Duration kLateAnswerRetention{5 * 60 * 1000};
// Two requests that are sent at most this long apart count as sent at the same time.
constexpr Duration kSimultaneousWithin{100};
constexpr Duration kPeerRetryDelay{3000};

Response notReachedResponse() { return {kNotReached, encodeBody(Json::object())}; }
}  // namespace

// A running worker sends its next heartbeat within 1.25 intervals after a response, and it waits
// for that response no longer than kProbeTimeout (see PROTOCOL, "Workers"). A reference worker
// whose last heartbeat is older is unlikely to be running.
WorkerTransport::WorkerTransport(Runtime& runtime, HttpClient& http, PeerMembership& peers,
                                 Duration reportEvery)
    : runtime_(runtime),
      http_(http),
      peerMembership_(peers),
      reporters_(maxHeartbeatInterval(reportEvery) + kProbeTimeout) {}

const char* toString(ProbeOutcome outcome) {
  switch (outcome) {
    case ProbeOutcome::answered:
      return "answered";
    case ProbeOutcome::unreachable:
      return "unreachable";
    case ProbeOutcome::unknown:
      return "unknown";
  }
  return "";
}

void WorkerTransport::recordHeartbeat(const std::string& address, const ZoneId& zone,
                                      const std::optional<MemberId>& via) {
  reporters_.record(address, zone, runtime_.now());
  if (via) {
    nextHops_[address] = {*via, runtime_.now()};
  } else {
    nextHops_.erase(address);
    link_.onAnswered(runtime_.now());
  }
}

void WorkerTransport::expire() {
  std::erase_if(failedDirectly_,
                [&](const auto& f) { return runtime_.now() - f.second > kRelayPeriod; });
  std::erase_if(nextHops_,
                [&](const auto& v) { return runtime_.now() - v.second.at > kNextHopRetention; });
  std::erase_if(lateAnswers_,
                [&](const auto& l) { return runtime_.now() - l.second.at > kLateAnswerRetention; });
  auto overdue = [&](const auto& sent) { return runtime_.now() - sent.second > kProbeTimeout; };
  std::erase_if(answeredDirectly_, overdue);
  std::erase_if(referenceProbedAt_, overdue);
  reporters_.expire(runtime_.now());
}

bool WorkerTransport::reachedSince(Instant sent) const {
  return (link_.lastGood() && *link_.lastGood() >= sent) ||
         std::any_of(lastAnsweredThrough_.begin(), lastAnsweredThrough_.end(),
                     [&](const auto& p) { return p.second >= sent; });
}

// Returns the peer through which a request to the worker should go. The first choice is the peer
// that forwarded the worker's last heartbeat. The second choice is the peer that most recently
// received a heartbeat from any worker, although a peer that received none may still reach the
// workers. Peers through which a request failed recently come last.
std::optional<MemberId> WorkerTransport::peerFor(const std::string& address) const {
  std::optional<MemberId> best;
  std::tuple<bool, bool, Duration> bestRank{};
  Instant now = runtime_.now();
  auto via = nextHops_.find(address);
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    const auto& [status, receivedAt] = seen;
    if (!status.supportsForwarding || now - receivedAt >= kPeerStatusMaxAge) continue;
    auto failed = failedThrough_.find(member);
    bool degraded = failed != failedThrough_.end() && now - failed->second < kPeerRetryDelay;
    std::tuple rank{degraded, via == nextHops_.end() || via->second.peer != member,
                    status.workersAge};
    if (!best || rank < bestRank) {
      best = member;
      bestRank = rank;
    }
  }
  return best;
}

// Returns the peer through which a request should go, or no value if it should go directly.
std::optional<MemberId> WorkerTransport::relayPeerFor(const std::string& address) const {
  auto failed = failedDirectly_.find(address);
  const bool failedRecently =
      failed != failedDirectly_.end() && runtime_.now() - failed->second < kRelayPeriod;
  if (!failedRecently && link_.failures() < kMinFailuresOfFailingLink) return std::nullopt;
  return peerFor(address);
}

void WorkerTransport::send(const std::string& address, Request request, Duration timeout,
                           OnReply done) {
  auto peer = relayPeerFor(address);
  if (!peer) return sendDirectly(address, std::move(request), timeout, std::move(done));
  probeDirectLink(address);
  sendThrough(*peer, address, std::move(request), timeout, std::move(done));
}

void WorkerTransport::probe(const std::string& address, const ZoneId& zone, Request request,
                            OnProbeResult done) {
  auto peer = relayPeerFor(address);
  if (!peer) return probeDirectly(address, zone, std::move(request), std::move(done));
  // The probe is sent on both paths, because the peer may have no reference worker. A probe can be
  // sent twice safely, since it contains no commands.
  auto answered = std::make_shared<bool>(false);
  probeThrough(*peer, address, request, [answered, done](const ProbeResult& result) {
    *answered = *answered || result.outcome == ProbeOutcome::answered;
    done(result);
  });
  probeDirectly(address, zone, std::move(request), [answered, done](const ProbeResult& result) {
    if (result.outcome == ProbeOutcome::unknown || *answered) return;
    done(result);
  });
}

// Probes a worker through a peer. The peer probes a reference worker of its own.
void WorkerTransport::probeThrough(const MemberId& peer, const std::string& address,
                                   Request request, OnProbeResult done) {
  sendThrough(peer, address, std::move(request), kProbeOverdueAfter,
              [peer, done = std::move(done)](std::optional<Response> response) {
                if (!response) return done({ProbeOutcome::unknown, std::nullopt, peer});
                if (response->status == kNotReached) {
                  return done({ProbeOutcome::unreachable, std::nullopt, peer});
                }
                done({ProbeOutcome::answered, std::move(response), peer});
              });
}

/// Holds the state of a probe that was sent directly and may still get a response.
struct WorkerTransport::DirectProbe {
  std::string address;
  Instant sent;
  std::optional<std::string> reference;  ///< Holds the reference worker's address.
  OnProbeResult done;
  bool answered = false;
  bool overdue = false;
  bool unreachable = false;  ///< Is true if `done` was called with `unreachable`.
};

void WorkerTransport::probeDirectly(const std::string& address, const ZoneId& zone, Request request,
                                    OnProbeResult done) {
  auto probe = std::make_shared<DirectProbe>(
      DirectProbe{address, runtime_.now(), probeReference(address, zone), std::move(done)});
  runtime_.after(answerDueAfter(address), [this, probe] { onDirectProbeOverdue(probe); });
  http_.send(address, std::move(request), kProbeTimeout,
             [this, probe](const std::optional<Response>& response) {
               response ? onDirectProbeAnswered(probe, *response) : onDirectProbeTimeout(probe);
             });
}

void WorkerTransport::onDirectProbeAnswered(const std::shared_ptr<DirectProbe>& probe,
                                            const Response& response) {
  probe->answered = true;
  recordAnswered(probe->address, probe->sent);
  failedDirectly_.erase(probe->address);
  if (probe->overdue) {
    lateAnswers_[probe->address] = {runtime_.now() - probe->sent, runtime_.now()};
  }
  probe->done({ProbeOutcome::answered, response, std::nullopt});
}

void WorkerTransport::onDirectProbeOverdue(const std::shared_ptr<DirectProbe>& probe) {
  if (probe->answered) return;
  probe->overdue = true;
  link_.onFailed(probe->sent);
  failedDirectly_[probe->address] = probe->sent;
  probe->unreachable = probe->reference && answeredSince(*probe->reference, probe->sent);
  probe->done({probe->unreachable ? ProbeOutcome::unreachable : ProbeOutcome::unknown, std::nullopt,
               std::nullopt});
}

// Handles a probe without a response at its final timeout. On a slow link, the response of the
// reference worker may have arrived only after the probe became overdue, so it is checked again.
void WorkerTransport::onDirectProbeTimeout(const std::shared_ptr<DirectProbe>& probe) {
  if (!probe->overdue || probe->unreachable || !probe->reference) return;
  if (!answeredSince(*probe->reference, probe->sent)) return;
  probe->unreachable = true;
  probe->done({ProbeOutcome::unreachable, std::nullopt, std::nullopt});
}

// Probes a reference worker and returns its address. Probes that are sent at the same time share
// one request to the reference worker.
std::optional<std::string> WorkerTransport::probeReference(const std::string& address,
                                                           const ZoneId& zone) {
  auto reference = reporters_.newestExcept(address, zone, runtime_.now());
  if (!reference) return std::nullopt;
  const Instant now = runtime_.now();
  auto probed = referenceProbedAt_.find(*reference);
  if (probed != referenceProbedAt_.end() && now - probed->second <= kSimultaneousWithin)
    return reference;
  referenceProbedAt_[*reference] = now;
  http_.send(*reference, {"GET", "/inspect", ""}, kProbeTimeout,
             [this, now, to = *reference](const std::optional<Response>& response) {
               if (response) recordAnswered(to, now);
             });
  return reference;
}

bool WorkerTransport::answeredSince(const std::string& address, Instant sent) const {
  auto answered = answeredDirectly_.find(address);
  return answered != answeredDirectly_.end() && answered->second >= sent - kSimultaneousWithin;
}

void WorkerTransport::recordAnswered(const std::string& address, Instant sent) {
  link_.onAnswered(sent);
  lastAnsweredRequest_ = std::max(lastAnsweredRequest_.value_or(sent), sent);
  Instant& newest = answeredDirectly_.try_emplace(address, sent).first->second;
  newest = std::max(newest, sent);
}

Duration WorkerTransport::answerDueAfter(const std::string& address) const {
  auto late = lateAnswers_.find(address);
  if (late == lateAnswers_.end()) return kProbeOverdueAfter;
  return std::clamp(kLateAnswerFactor * late->second.roundTrip, kProbeOverdueAfter, kProbeTimeout);
}

void WorkerTransport::sendDirectly(const std::string& address, Request request, Duration timeout,
                                   OnReply done) {
  http_.send(
      address, std::move(request), timeout,
      [this, sent = runtime_.now(), address,
       done = std::move(done)](std::optional<Response> response) {
        response ? recordAnswered(address, sent) : link_.onFailed(sent);
        if (!response) failedDirectly_[address] = sent;
        const bool linkWorks = lastAnsweredRequest_ && *lastAnsweredRequest_ >= sent;
        done(response || !linkWorks ? std::move(response) : std::optional(notReachedResponse()));
      });
}

// Sends a read-only request to detect the recovery of the direct link. Commands are never sent on
// both paths, because the copy on one path could be executed after the response on the other path
// has settled the command.
void WorkerTransport::probeDirectLink(const std::string& address) {
  Instant now = runtime_.now();
  if (now - probedAt_ < kDirectProbeInterval) return;
  probedAt_ = now;
  http_.send(address, {"GET", "/inspect", ""}, kDirectProbeTimeout,
             [this, now, address](const std::optional<Response>& response) {
               if (response) recordAnswered(address, now);
             });
}

void WorkerTransport::sendThrough(const MemberId& peer, const std::string& address, Request request,
                                  Duration timeout, OnReply done) {
  request.path = "/mesh/worker/" + address + request.path;
  peerMembership_.send(peer, std::move(request), timeout,
                       [this, sent = runtime_.now(), address, peer,
                        done = std::move(done)](std::optional<Response> response) {
                         failedDirectly_.erase(address);
                         // The status kNotReached means that the peer reaches other workers, but
                         // not this one.
                         if (response && response->status != kPeerReachesNoWorker) {
                           if (response->status != kNotReached) lastAnsweredThrough_[peer] = sent;
                           return done(std::move(response));
                         }
                         failedThrough_[peer] = sent;
                         done(std::nullopt);
                       });
}

void WorkerTransport::serve(const std::string& address, const Request& request,
                            const Respond& respond) {
  // The timeout is shorter than that of the leader's probes, so that the leader receives the
  // result.
  constexpr Duration kTimeout{1200};
  const Instant sent = runtime_.now();
  auto reference = probeReference(address, reporters_.zoneOf(address).value_or(ZoneId{}));
  http_.send(address, request, kTimeout,
             [this, address, sent, reference, respond](std::optional<Response> response) {
               if (response) {
                 recordAnswered(address, sent);
                 return respond(std::move(*response));
               }
               const bool works = reference && answeredSince(*reference, sent);
               respond(works ? notReachedResponse()
                             : Response{kPeerReachesNoWorker, encodeBody(Json::object())});
             });
}

}  // namespace kestrelhoist
