// A service of the region (state service, cloud) that is asked through a peer while the own link to
// it fails: one link that is lost costs neither the leadership nor the users of this controller.
// Requests and answers pass unchanged, so what an answer proves, and what none leaves open, is the
// same on both ways (docs/safety.md, "Links").
#pragma once

#include <map>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

// Whom to ask for it, if anybody: what the mesh tells, and what is known of earlier tries.
struct PeerProxyView {
  struct PeerView {
    MemberId member;
    bool supportsForwarding{};  // knows how to
    Instant reachedAt{};        // when it last reached the service by its own link, as it says
    bool recentlyReachable{};
    bool blocked{};  // a detour through it failed a moment ago
  };
  std::optional<Instant> failingSince;  // own link
  std::vector<PeerView> peers;
};

// The peer that reached the service last, if that was since it began to fail here: one that reached
// it before may be in the same outage.
std::optional<MemberId> chooseProxyPeer(const PeerProxyView& view);

class PeerProxy : public HttpClient {
 public:
  struct Settings {
    std::string name;     // as in the paths between controllers: "state", "cloud"
    std::string address;  // of the service
    Request probe;        // asked now and then by the own link, to know when it is back
    Duration probeEvery{1000};
  };
  // `ageAt`: how long ago a peer reached the service by its own link, by what it last told.
  PeerProxy(Runtime& runtime, HttpClient& http, PeerMembership& peers, Settings settings,
            std::function<Duration(const PeerStatus&)> ageAt);

  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  // A peer asks for a detour: always by the own link, so that detours never go in circles.
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
