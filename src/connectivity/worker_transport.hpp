/// \file
/// The way of requests to workers: directly, or through a peer while the direct way fails.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

/// Sends requests to workers. Those that the leader cannot reach directly go through the peer that
/// forwarded their last heartbeat. A request without a response may still arrive, on either path.
class WorkerTransport : public HttpClient {
 public:
  WorkerTransport(Runtime& runtime, HttpClient& http, PeerMembership& peers)
      : runtime_(runtime), http_(http), peerMembership_(peers) {}

  /// Without a response the cause is unknown. kNotReached says that other workers were reached on
  /// the same path by requests sent since.
  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  /// Records that this worker reported directly, or through the peer `via`.
  void noteReport(const std::string& address, const std::optional<MemberId>& via);
  /// Sends a request to a worker directly, on behalf of a peer.
  void serve(const std::string& address, const Request& request, const Respond& respond);
  const LinkHealth& link() const { return link_; }
  /// Whether a request sent at `sent` or later reached a worker, directly or through a peer.
  bool reachedSince(Instant sent) const;
  void forgetNextHops() { nextHops_.clear(); }
  /// Drops the state of workers that have not reported for long.
  void expire();

 private:
  Runtime& runtime_;
  HttpClient& http_;
  PeerMembership& peerMembership_;
  LinkHealth link_;
  void sendDirectly(const std::string& address, Request request, Duration timeout, OnReply done);
  void sendThrough(const MemberId& peer, const std::string& address, Request request,
                   Duration timeout, OnReply done);
  void probeDirectLink(const std::string& address);
  std::optional<MemberId> peerFor(const std::string& address) const;
  Instant probedAt_{};
  std::map<MemberId, Instant>
      throughPeer_;  ///< send time of the newest request answered through it
  /// When workers failed to answer directly. The next request to them goes through a peer, since
  /// the path to some workers alone may be cut.
  std::map<std::string, Instant> failedDirectly_;
  std::map<MemberId, Instant> failedThrough_;
  struct NextHop {
    MemberId peer;
    Instant at;
  };
  std::map<std::string, NextHop> nextHops_;  ///< by the worker's address
};

}  // namespace kestrelhoist
