/// Forwards heartbeats that reach a follower to the leader in batches and returns the leader's
/// commands as responses. Batches are hedged: the leader tells a heartbeat that it has received by
/// its worker epoch and sequence. A response reaches the
/// heartbeat that it answers, or is dropped because the worker has already timed out.
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
  /// Called when a batch is sent once more; may be null.
  std::function<void()> onRepeated;

 private:
  struct Waiting {
    std::string report;
    Instant since;
    OnReply done;
  };
  using Callbacks = std::vector<OnReply>;
  struct Batch {
    std::string body;
    Callbacks callbacks;
  };
  struct PeerQueue {
    std::deque<Waiting> waiting;
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

/// The leader's side: answers each heartbeat of a batch by `serve` and returns all responses.
Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve);

}  // namespace kestrelhoist
