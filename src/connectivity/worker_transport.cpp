#include "connectivity/worker_transport.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

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
constexpr Duration kRetryPeerAfter{3000};

Response notReached() { return {kNotReached, encodeBody(Json::object())}; }
}  // namespace

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
  http_.send(address, {"GET", "/inspect", ""}, kDirectProbeTimeout,
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
