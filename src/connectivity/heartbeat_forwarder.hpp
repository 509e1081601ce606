/// \file
/// Declares the forwarding of heartbeats from a follower to the leader in batches. The leader's
/// commands are the responses. Batches are sent as hedged requests: the leader recognizes a
/// heartbeat that it has already received by its worker epoch and report sequence. Each response is
/// returned to the worker whose heartbeat it answers, unless that worker has already timed out.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

/// Queues heartbeats on a follower and sends them to the leader, with one queue per leader. The
/// class is not thread-safe.
class HeartbeatForwarder {
 public:
  HeartbeatForwarder(Runtime& runtime, PeerMembership& peers, MemberId self)
      : runtime_(runtime), peerMembership_(peers), self_(std::move(self)) {}

  /// Forwards the encoded heartbeat `report`. `done` is called without a response if the leader
  /// does not respond in time.
  void forward(const MemberId& leader, std::string report, OnReply done);
  /// Returns for how long the leader has not responded to forwarded heartbeats, or 0 if it
  /// responds.
  Duration failingFor(const MemberId& leader) const;
  std::uint64_t forwarded() const { return forwarded_; }
  std::uint64_t batches() const { return batches_; }
  /// Is called when a batch is sent again. It may be null.
  std::function<void()> onRepeated;

 private:
  struct QueuedHeartbeat {
    std::string report;
    Instant queuedAt;
    OnReply done;
  };
  using Callbacks = std::vector<OnReply>;
  struct Batch {
    std::string body;
    Callbacks callbacks;
  };
  struct PeerQueue {
    std::deque<QueuedHeartbeat> heartbeats;
    int inFlight = 0;
    bool scheduled = false;
    LinkHealth link;
  };
  void schedule(const MemberId& leader, Duration wait);
  void flush(const MemberId& leader);
  void dropExpired(PeerQueue& queue, Instant now);
  static Batch takeBatch(PeerQueue& queue);
  void send(const MemberId& leader, const std::string& body, Duration timeout, OnReply done);
  void onBatchResponse(const MemberId& leader, Instant sent, const Callbacks& callbacks,
                       const std::optional<Response>& response);

  Runtime& runtime_;
  PeerMembership& peerMembership_;
  MemberId self_;
  std::map<MemberId, PeerQueue> queues_;
  std::uint64_t forwarded_ = 0, batches_ = 0;
};

/// Handles a batch on the leader. It calls `serve` for each heartbeat and returns all responses in
/// the order of the heartbeats.
Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve);

}  // namespace kestrelhoist
