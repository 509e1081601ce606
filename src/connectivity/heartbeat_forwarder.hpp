/// Forwards heartbeats that reach a follower to the leader in batches and returns the leader's
/// commands as responses. A response reaches the heartbeat that it answers, or is dropped because
/// the worker has already timed out.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

/// The follower's side: one queue of heartbeats per leader. Single-threaded.
class HeartbeatForwarder {
 public:
  HeartbeatForwarder(Runtime& runtime, PeerMembership& peers, MemberId self)
      : runtime_(runtime), peerMembership_(peers), self_(std::move(self)) {}

  /// Forwards the encoded heartbeat. `done` gets no response if the leader gives none in time.
  void forward(const MemberId& leader, std::string report, OnReply done);
  /// For how long the leader has not answered forwarded heartbeats; 0 if it does.
  Duration failingFor(const MemberId& leader) const;
  std::uint64_t forwarded() const { return forwarded_; }
  std::uint64_t batches() const { return batches_; }

 private:
  struct Waiting {
    std::string report;
    Instant since;
    OnReply done;
  };
  using Callbacks = std::vector<OnReply>;
  struct PeerQueue {
    std::deque<Waiting> waiting;
    int inFlight = 0;
    bool scheduled = false;
    LinkHealth link;
  };
  void schedule(const MemberId& leader, Duration wait);
  void flush(const MemberId& leader);
  void dropExpired(PeerQueue& queue, Instant now);
  void onBatchResponse(const MemberId& leader, Instant sent, const Callbacks& callbacks,
                       const std::optional<Response>& response);

  Runtime& runtime_;
  PeerMembership& peerMembership_;
  MemberId self_;
  std::map<MemberId, PeerQueue> queues_;
  std::uint64_t forwarded_ = 0, batches_ = 0;
};

/// The leader's side: answers each heartbeat of a batch by `serve` and returns all responses.
Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve);

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
