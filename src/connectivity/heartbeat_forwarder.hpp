// Workers' reports that came to a controller which does not lead are passed on to the leader, many
// at a time, and its orders go back as their answers. An answer reaches the report that it answers
// or nobody: the worker has then given up on it.
#pragma once

#include <deque>

#include "connectivity/link_health.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

class HeartbeatForwarder {
 public:
  HeartbeatForwarder(Runtime& runtime, PeerMembership& peers, MemberId self)
      : runtime_(runtime), peerMembership_(peers), self_(std::move(self)) {}

  // `report`: its encoded body. Empty answer: none from the leader within a worker's patience.
  void forward(const MemberId& leader, std::string report, OnReply done);
  // For how long nothing passed to it was answered; 0: all is well.
  Duration failingFor(const MemberId& leader) const;
  std::uint64_t forwarded() const { return forwarded_; }
  std::uint64_t batches() const { return batches_; }

 private:
  struct Waiting {
    std::string report;
    Instant since;
    OnReply done;
  };
  struct PeerQueue {
    std::deque<Waiting> waiting;
    int inFlight = 0;
    bool scheduled = false;
    LinkHealth link;
  };
  void schedule(const MemberId& leader, Duration wait);
  void flush(const MemberId& leader);

  Runtime& runtime_;
  PeerMembership& peerMembership_;
  MemberId self_;
  std::map<MemberId, PeerQueue> queues_;
  std::uint64_t forwarded_ = 0, batches_ = 0;
};

// The leader's side: takes a batch apart, asks `serve` for each, puts the answers together.
Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve);

// Commands to workers that the leader can't reach itself go through the controller that passed on
// their last report. A command without an answer may still arrive, on either way.
class WorkerTransport : public HttpClient {
 public:
  WorkerTransport(Runtime& runtime, HttpClient& http, PeerMembership& peers)
      : runtime_(runtime), http_(http), peerMembership_(peers) {}

  // No answer: not known why. kNotReached: others were reached the same way by what was sent since.
  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  // A report came from this worker: directly, or through `via`.
  void noteReport(const std::string& address, const std::optional<MemberId>& via);
  void serve(const std::string& address, const Request& request, const Respond& respond);
  const LinkHealth& link() const { return link_; }
  // Whether a worker was reached, directly or through a peer, by something sent then or later.
  bool reachedSince(Instant sent) const;
  void forgetNextHops() { nextHops_.clear(); }
  // Forgets workers that were not heard for long.
  void expire();

 private:
  Runtime& runtime_;
  HttpClient& http_;
  PeerMembership& peerMembership_;
  LinkHealth link_;
  std::optional<MemberId> peerFor(const std::string& address) const;
  Instant probedAt_{};
  std::map<MemberId, Instant> throughPeer_;  // when what was answered through it had been sent
  // Workers that did not answer directly: the next command goes through a peer, since the way to
  // some of them alone may be cut.
  std::map<std::string, Instant> failedDirectly_;
  std::map<MemberId, Instant> failedThrough_;
  struct NextHop {
    MemberId peer;
    Instant at;
  };
  std::map<std::string, NextHop> nextHops_;  // by the worker's address
};

}  // namespace kestrelhoist
