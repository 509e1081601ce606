#include "connectivity/peer_proxy.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kPeerStatusMaxAge{1500};
// A peer's successful request may have been sent slightly before the direct link of this controller
// failed, so a peer must have reached the service at least this long after the failure.
constexpr Duration kInFlightMargin{300};
constexpr Duration kPeerBackoff{2000};
constexpr Duration kServeTimeout{2500};
}  // namespace

std::optional<MemberId> chooseProxyPeer(const PeerProxyView& view) {
  if (!view.failingSince) return std::nullopt;
  const PeerProxyView::PeerView* best = nullptr;
  for (const auto& p : view.peers) {
    if (!p.supportsForwarding || !p.recentlyReachable || p.blocked) continue;
    if (p.reachedAt <= *view.failingSince + kInFlightMargin) continue;
    if (!best || p.reachedAt > best->reachedAt) best = &p;
  }
  return best ? std::optional(best->member) : std::nullopt;
}

PeerProxy::PeerProxy(Runtime& runtime, HttpClient& http, PeerMembership& peers, Settings settings,
                     std::function<Duration(const PeerStatus&)> serviceAge)
    : runtime_(runtime),
      http_(http),
      peerMembership_(peers),
      settings_(std::move(settings)),
      serviceAge_(std::move(serviceAge)) {}

PeerProxyView PeerProxy::view() const {
  PeerProxyView v;
  v.failingSince = link_.failingSince();
  Instant now = runtime_.now();
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    const auto& [status, receivedAt] = seen;
    auto block = blockedUntil_.find(member);
    v.peers.push_back({member, status.supportsForwarding, receivedAt - serviceAge_(status),
                       now - receivedAt < kPeerStatusMaxAge,
                       block != blockedUntil_.end() && now < block->second});
  }
  return v;
}

void PeerProxy::send(const std::string& address, Request request, Duration timeout, OnReply done) {
  if (!link_.failing() || address != settings_.address) {
    return sendDirectly(std::move(request), timeout, std::move(done));
  }
  auto peer = chooseProxyPeer(view());
  if (peer.has_value() != isProxying_) {
    isProxying_ = peer.has_value();
    logInfo(isProxying_ ? "direct link to service fails; proxying requests through peer"
                        : "no peer reaches the service; using the direct link",
            "service", settings_.name, "peer", peer ? peer->value : "-");
  }
  if (!peer) return sendDirectly(std::move(request), timeout, std::move(done));
  probe();
  ++proxiedRequests_;
  request.path = "/mesh/" + settings_.name + request.path;
  peerMembership_.send(*peer, std::move(request), timeout,
                       [this, peer = *peer, done = std::move(done)](std::optional<Response> r) {
                         if (!r || r->status == kNotReached) {
                           blockedUntil_[peer] = runtime_.now() + kPeerBackoff;
                           return done(std::nullopt);
                         }
                         done(std::move(r));
                       });
}

void PeerProxy::sendDirectly(Request request, Duration timeout, OnReply done) {
  http_.send(settings_.address, std::move(request), timeout,
             [this, sent = runtime_.now(), done = std::move(done)](std::optional<Response> r) {
               bool up = r && r->status != 503;
               up ? link_.onAnswered(sent) : link_.onFailed(sent);
               if (up && isProxying_ && !link_.failing()) {
                 isProxying_ = false;
                 logInfo("direct link to service restored", "service", settings_.name);
               }
               done(std::move(r));
             });
}

void PeerProxy::probe() {
  Instant now = runtime_.now();
  if (isProbing_ || now - probedAt_ < settings_.probeEvery) return;
  isProbing_ = true;
  probedAt_ = now;
  sendDirectly(settings_.probe, settings_.probeEvery,
               [this](const std::optional<Response>&) { isProbing_ = false; });
}

void PeerProxy::serve(const Request& request, const Respond& respond) {
  sendDirectly(request, kServeTimeout, [respond](std::optional<Response> r) {
    respond(r ? std::move(*r) : Response{kNotReached, encodeBody(Json::object())});
  });
}

}  // namespace kestrelhoist
