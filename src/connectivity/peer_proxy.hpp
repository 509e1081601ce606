/// Proxies requests to a service of the region (state service, cloud) through a peer while the
/// direct link to it fails, so that one lost link costs neither the leadership nor this
/// controller's users. Requests and responses pass unchanged, so what a response proves, and what a
/// missing one leaves open, is the same on both paths (docs/safety.md, "Links").
#pragma once

#include <map>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

/// Inputs for choosing the peer that proxies a request.
struct PeerProxyView {
  struct PeerView {
    MemberId member;
    bool supportsForwarding{};  ///< its version can proxy requests
    Instant reachedAt{};        ///< when its own link last reached the service
    bool recentlyReachable{};
    bool blocked{};  ///< a proxied request through it failed a moment ago
  };
  std::optional<Instant> failingSince;  ///< of the direct link
  std::vector<PeerView> peers;
};

/// Returns the peer that reached the service last, provided that this was after it began to fail
/// here. A peer that reached it only before that may be in the same outage.
std::optional<MemberId> chooseProxyPeer(const PeerProxyView& view);

/// An HTTP client for one service that falls back to a peer. Single-threaded.
class PeerProxy : public HttpClient {
 public:
  struct Settings {
    std::string name;     ///< as in the mesh paths: "state", "cloud"
    std::string address;  ///< of the service
    Request probe;        ///< sent over the direct link while proxying, to detect recovery
    Duration probeEvery{1000};
  };
  /// @param ageAt How long ago a peer's own link reached the service, according to its status.
  PeerProxy(Runtime& runtime, HttpClient& http, PeerMembership& peers, Settings settings,
            std::function<Duration(const PeerStatus&)> ageAt);

  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  /// Serves a peer's proxied request. It always takes the direct link, so that proxying cannot
  /// loop.
  void serve(const Request& request, const Respond& respond);

  const LinkHealth& link() const { return link_; }
  std::uint64_t proxiedRequests() const { return proxiedRequests_; }

 private:
  PeerProxyView view() const;
  void direct(Request request, Duration timeout, OnReply done);
  void probe();

  Runtime& runtime_;
  HttpClient& http_;
  PeerMembership& peerMembership_;
  Settings settings_;
  std::function<Duration(const PeerStatus&)> ageAt_;
  LinkHealth link_;
  std::map<MemberId, Instant> blockedUntil_;
  Instant probedAt_{};
  bool probing_ = false;
  bool viaPeer_ = false;
  std::uint64_t proxiedRequests_ = 0;
};

}  // namespace kestrelhoist
