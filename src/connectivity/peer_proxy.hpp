/// \file
/// Declares the client for a service of the region (the state service or the cloud) that sends its
/// requests through a peer while the direct link to the service fails. With it, one failed link
/// does not end the leadership of this controller and does not affect its users. Requests and
/// responses pass unchanged, so a response, or the lack of one, has the same meaning on both paths
/// (see docs/safety.md, "Links").
#pragma once

#include <map>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

/// Holds the inputs for choosing the peer that proxies a request.
struct PeerProxyView {
  struct PeerView {
    MemberId member;
    bool supportsForwarding{};  ///< Is true if the peer's version can proxy requests.
    Instant reachedAt{};        ///< Holds when the peer last reached the service directly.
    bool recentlyReachable{};
    bool blocked{};  ///< Is true if a request through the peer failed recently.
  };
  std::optional<Instant> failingSince;  ///< Holds when the direct link began to fail.
  std::vector<PeerView> peers;
};

/// Returns the peer that reached the service most recently. Peers that last reached it before the
/// direct link of this controller began to fail are excluded, since they may be affected by the
/// same outage.
std::optional<MemberId> chooseProxyPeer(const PeerProxyView& view);

/// Sends HTTP requests to one service, directly or through a peer. The class is not thread-safe.
class PeerProxy : public HttpClient {
 public:
  struct Settings {
    std::string name;     ///< Is the service's name in mesh paths ("state" or "cloud").
    std::string address;  ///< Holds the address of the service.
    Request probe;        ///< Is sent over the direct link during proxying to detect its recovery.
    Duration probeEvery{1000};
  };
  /// Creates a client for the service in `settings`.
  /// @param serviceAge Returns the time since a peer last reached the service directly, from its
  /// status.
  PeerProxy(Runtime& runtime, HttpClient& http, PeerMembership& peers, Settings settings,
            std::function<Duration(const PeerStatus&)> serviceAge);

  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  /// Sends a request of a peer to the service. The request always uses the direct link, so that
  /// proxying cannot loop.
  void serve(const Request& request, const Respond& respond);

  const LinkHealth& link() const { return link_; }
  std::uint64_t proxiedRequests() const { return proxiedRequests_; }

 private:
  PeerProxyView view() const;
  void sendDirectly(Request request, Duration timeout, OnReply done);
  void probe();

  Runtime& runtime_;
  HttpClient& http_;
  PeerMembership& peerMembership_;
  Settings settings_;
  std::function<Duration(const PeerStatus&)> serviceAge_;
  LinkHealth link_;
  std::map<MemberId, Instant> blockedUntil_;
  Instant probedAt_{};
  bool isProbing_ = false;
  bool isProxying_ = false;
  std::uint64_t proxiedRequests_ = 0;
};

}  // namespace kestrelhoist
