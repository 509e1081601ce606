#include "reach/detour.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kHeard{1500};
// An answer under way when the link broke: a peer's read may have been sent a little before.
constexpr Duration kUnderWay{300};
constexpr Duration kBlock{2000};
constexpr Duration kServeTimeout{2500};
}  // namespace

std::optional<MemberId> detourPeer(const DetourView& view) {
  if (!view.failingSince) return std::nullopt;
  const DetourView::PeerView* best = nullptr;
  for (const auto& p : view.peers) {
    if (!p.supportsForwarding || !p.heardLately || p.blocked) continue;
    if (p.reachedAt <= *view.failingSince + kUnderWay) continue;
    if (!best || p.reachedAt > best->reachedAt) best = &p;
  }
  return best ? std::optional(best->member) : std::nullopt;
}

Detour::Detour(Runtime& runtime, HttpClient& http, PeerMembership& peers, Settings settings,
               std::function<Duration(const PeerStatus&)> ageAt)
    : runtime_(runtime),
      http_(http),
      peerMembership_(peers),
      settings_(std::move(settings)),
      ageAt_(std::move(ageAt)) {}

DetourView Detour::view() const {
  DetourView v;
  v.failingSince = link_.failingSince();
  Instant now = runtime_.now();
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    const auto& [status, heardAt] = seen;
    auto block = blockedUntil_.find(member);
    v.peers.push_back({member, status.supportsForwarding, heardAt - ageAt_(status),
                       now - heardAt < kHeard,
                       block != blockedUntil_.end() && now < block->second});
  }
  return v;
}

void Detour::send(const std::string& address, Request request, Duration timeout, OnReply done) {
  if (!link_.failing() || address != settings_.address) {
    return direct(std::move(request), timeout, std::move(done));
  }
  auto peer = detourPeer(view());
  if (peer.has_value() != onDetour_) {
    onDetour_ = peer.has_value();
    logInfo(onDetour_ ? "asking a service through a peer" : "no peer reaches the service either",
            "service", settings_.name, "peer", peer ? peer->value : "-");
  }
  if (!peer) return direct(std::move(request), timeout, std::move(done));
  probe();
  ++detours_;
  request.path = "/mesh/" + settings_.name + request.path;
  peerMembership_.send(*peer, std::move(request), timeout,
                       [this, peer = *peer, done = std::move(done)](std::optional<Response> r) {
                         if (!r || r->status == kNotReached) {
                           blockedUntil_[peer] = runtime_.now() + kBlock;
                           return done(std::nullopt);
                         }
                         done(std::move(r));
                       });
}

void Detour::direct(Request request, Duration timeout, OnReply done) {
  http_.send(settings_.address, std::move(request), timeout,
             [this, sent = runtime_.now(), done = std::move(done)](std::optional<Response> r) {
               bool up = r && r->status != 503;
               up ? link_.answered(sent) : link_.failed(sent);
               if (up && onDetour_ && !link_.failing()) {
                 onDetour_ = false;
                 logInfo("own link to the service is back", "service", settings_.name);
               }
               done(std::move(r));
             });
}

void Detour::probe() {
  Instant now = runtime_.now();
  if (probing_ || now - probedAt_ < settings_.probeEvery) return;
  probing_ = true;
  probedAt_ = now;
  direct(settings_.probe, settings_.probeEvery,
         [this](const std::optional<Response>&) { probing_ = false; });
}

void Detour::serve(const Request& request, const Respond& respond) {
  direct(request, kServeTimeout, [respond](std::optional<Response> r) {
    respond(r ? std::move(*r) : Response{kNotReached, encodeBody(Json::object())});
  });
}

}  // namespace kestrelhoist
