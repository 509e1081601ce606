#include "connectivity/worker_transport.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kPeerStatusMaxAge{1500};
constexpr Duration kDirectProbeTimeout{1500};
// Direct commands that fail in a row before the link to the workers counts as failing: single
// machines die all the time.
constexpr int kFailuresUntilLinkFails = 3;
constexpr Duration kProbeEvery{2000};
constexpr Duration kThroughPeerFor{6000};
constexpr int kPeerReachesNoWorker =
    504;  // between controllers: the peer tried, and reaches no worker either
constexpr Duration kForgetNextHop{5 * 60 * 1000};
// When the answer to a probe is overdue, and for how long it is accepted after all. A worker that
// waits longer for an answer of its own gives up (PROTOCOL, "Workers").
constexpr Duration kProbeAnswerDue{1500};
constexpr Duration kProbePatience = kWorkerAnswerTimeout;
constexpr int kLateAnswerFactor = 2;  // times the round trip of a worker that answered late
constexpr Duration kForgetLateAnswer{5 * 60 * 1000};
// Requests sent within this time of each other count as sent at the same time.
constexpr Duration kSameTime{100};
constexpr Duration kRetryPeerAfter{3000};

Response notReached() { return {kNotReached, encodeBody(Json::object())}; }
}  // namespace

// A heartbeat of a worker that lives arrives within its interval, give or take a quarter, and the
// time that it waits for an answer (PROTOCOL, "Workers").
WorkerTransport::WorkerTransport(Runtime& runtime, HttpClient& http, PeerMembership& peers,
                                 Duration reportEvery)
    : runtime_(runtime),
      http_(http),
      peerMembership_(peers),
      reporters_(maxHeartbeatInterval(reportEvery) + kProbePatience) {}

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

void WorkerTransport::noteReport(const std::string& address, const ZoneId& zone,
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
                [&](const auto& f) { return runtime_.now() - f.second > kThroughPeerFor; });
  std::erase_if(nextHops_,
                [&](const auto& v) { return runtime_.now() - v.second.at > kForgetNextHop; });
  std::erase_if(lateAnswers_,
                [&](const auto& l) { return runtime_.now() - l.second.at > kForgetLateAnswer; });
  auto overdue = [&](const auto& sent) { return runtime_.now() - sent.second > kProbePatience; };
  std::erase_if(answeredDirectly_, overdue);
  std::erase_if(referenceAskedAt_, overdue);
  reporters_.expire(runtime_.now());
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
    if (!status.supportsForwarding || now - heardAt >= kPeerStatusMaxAge) continue;
    auto failed = failedThrough_.find(member);
    bool degraded = failed != failedThrough_.end() && now - failed->second < kRetryPeerAfter;
    std::tuple rank{degraded, via == nextHops_.end() || via->second.peer != member,
                    status.workersAge};
    if (!best || rank < bestRank) {
      best = member;
      bestRank = rank;
    }
  }
  return best;
}

// The peer through which a request should go; empty: directly.
std::optional<MemberId> WorkerTransport::detourFor(const std::string& address) const {
  auto failed = failedDirectly_.find(address);
  const bool failedLately =
      failed != failedDirectly_.end() && runtime_.now() - failed->second < kThroughPeerFor;
  if (!failedLately && link_.failures() < kFailuresUntilLinkFails) return std::nullopt;
  return peerFor(address);
}

void WorkerTransport::send(const std::string& address, Request request, Duration timeout,
                           OnReply done) {
  auto peer = detourFor(address);
  if (!peer) return sendDirectly(address, std::move(request), timeout, std::move(done));
  probeDirectLink(address);
  sendThrough(*peer, address, std::move(request), timeout, std::move(done));
}

void WorkerTransport::probe(const std::string& address, const ZoneId& zone, Request request,
                            OnProbeResult done) {
  auto peer = detourFor(address);
  if (!peer) return probeDirectly(address, zone, std::move(request), std::move(done));
  // On both ways: the peer may have no other worker to ask for comparison. A probe has no content
  // that could be carried out twice.
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

// The peer asks a reference of its own.
void WorkerTransport::probeThrough(const MemberId& peer, const std::string& address,
                                   Request request, OnProbeResult done) {
  sendThrough(peer, address, std::move(request), kProbeAnswerDue,
              [peer, done = std::move(done)](std::optional<Response> response) {
                if (!response) return done({ProbeOutcome::unknown, std::nullopt, peer});
                if (response->status == kNotReached) {
                  return done({ProbeOutcome::unreachable, std::nullopt, peer});
                }
                done({ProbeOutcome::answered, std::move(response), peer});
              });
}

/// A probe that was sent directly and may still be answered.
struct WorkerTransport::DirectProbe {
  std::string address;
  Instant sent;
  std::optional<std::string> reference;  ///< the worker that was asked with it
  OnProbeResult done;
  bool answered = false;
  bool overdue = false;
  bool unreachable = false;  ///< as reported to `done`
};

void WorkerTransport::probeDirectly(const std::string& address, const ZoneId& zone, Request request,
                                    OnProbeResult done) {
  auto probe = std::make_shared<DirectProbe>(
      DirectProbe{address, runtime_.now(), askReference(address, zone), std::move(done)});
  runtime_.after(answerDueAfter(address), [this, probe] { onDirectProbeOverdue(probe); });
  http_.send(address, std::move(request), kProbePatience,
             [this, probe](const std::optional<Response>& response) {
               response ? onDirectProbeAnswered(probe, *response) : onDirectProbeOver(probe);
             });
}

void WorkerTransport::onDirectProbeAnswered(const std::shared_ptr<DirectProbe>& probe,
                                            const Response& response) {
  probe->answered = true;
  noteAnswered(probe->address, probe->sent);
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

// On a slow link the answer of the reference may have taken longer than was allowed to be overdue.
void WorkerTransport::onDirectProbeOver(const std::shared_ptr<DirectProbe>& probe) {
  if (!probe->overdue || probe->unreachable || !probe->reference) return;
  if (!answeredSince(*probe->reference, probe->sent)) return;
  probe->unreachable = true;
  probe->done({ProbeOutcome::unreachable, std::nullopt, std::nullopt});
}

// Asks another worker, once for all probes of the same time; returns its address.
std::optional<std::string> WorkerTransport::askReference(const std::string& address,
                                                         const ZoneId& zone) {
  auto reference = reporters_.newestBeside(address, zone, runtime_.now());
  if (!reference) return std::nullopt;
  const Instant now = runtime_.now();
  auto asked = referenceAskedAt_.find(*reference);
  if (asked != referenceAskedAt_.end() && now - asked->second <= kSameTime) return reference;
  referenceAskedAt_[*reference] = now;
  http_.send(*reference, {"GET", "/inspect", ""}, kProbePatience,
             [this, now, to = *reference](const std::optional<Response>& response) {
               if (response) noteAnswered(to, now);
             });
  return reference;
}

bool WorkerTransport::answeredSince(const std::string& address, Instant sent) const {
  auto answered = answeredDirectly_.find(address);
  return answered != answeredDirectly_.end() && answered->second >= sent - kSameTime;
}

void WorkerTransport::noteAnswered(const std::string& address, Instant sent) {
  link_.onAnswered(sent);
  lastAnsweredRequest_ = std::max(lastAnsweredRequest_.value_or(sent), sent);
  Instant& newest = answeredDirectly_.try_emplace(address, sent).first->second;
  newest = std::max(newest, sent);
}

Duration WorkerTransport::answerDueAfter(const std::string& address) const {
  auto late = lateAnswers_.find(address);
  if (late == lateAnswers_.end()) return kProbeAnswerDue;
  return std::clamp(kLateAnswerFactor * late->second.roundTrip, kProbeAnswerDue, kProbePatience);
}

void WorkerTransport::sendDirectly(const std::string& address, Request request, Duration timeout,
                                   OnReply done) {
  http_.send(address, std::move(request), timeout,
             [this, sent = runtime_.now(), address,
              done = std::move(done)](std::optional<Response> response) {
               response ? noteAnswered(address, sent) : link_.onFailed(sent);
               if (!response) failedDirectly_[address] = sent;
               const bool linkWorks = lastAnsweredRequest_ && *lastAnsweredRequest_ >= sent;
               done(response || !linkWorks ? std::move(response) : std::optional(notReached()));
             });
}

// The probe is a read-only request. A command sent on both paths might be carried out late on one
// of them, after the response on the other has settled it.
void WorkerTransport::probeDirectLink(const std::string& address) {
  Instant now = runtime_.now();
  if (now - probedAt_ < kProbeEvery) return;
  probedAt_ = now;
  http_.send(address, {"GET", "/inspect", ""}, kDirectProbeTimeout,
             [this, now, address](const std::optional<Response>& response) {
               if (response) noteAnswered(address, now);
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
  // Shorter than the timeout of the leader's probes.
  constexpr Duration kTimeout{1200};
  const Instant sent = runtime_.now();
  auto reference = askReference(address, reporters_.zoneOf(address).value_or(ZoneId{}));
  http_.send(
      address, request, kTimeout,
      [this, address, sent, reference, respond](std::optional<Response> response) {
        if (response) {
          noteAnswered(address, sent);
          return respond(std::move(*response));
        }
        const bool works = reference && answeredSince(*reference, sent);
        respond(works ? notReached() : Response{kPeerReachesNoWorker, encodeBody(Json::object())});
      });
}

}  // namespace kestrelhoist
