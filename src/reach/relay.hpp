// Workers' reports that came to a controller which does not lead are passed on to the leader, many
// at a time, and its orders go back as their answers. An answer reaches the report that it answers
// or nobody: the worker has then given up on it.
#pragma once

#include <deque>

#include "leadership/peer_membership.hpp"
#include "reach/link.hpp"

namespace kestrelhoist {

class Relay {
 public:
  Relay(Runtime& runtime, PeerMembership& peers, MemberId self)
      : runtime_(runtime), peerMembership_(peers), self_(std::move(self)) {}

  // `report`: its encoded body. Empty answer: none from the leader within a worker's patience.
  void pass(const MemberId& leader, std::string report, OnReply done);
  // For how long nothing passed to it was answered; 0: all is well.
  Duration failingFor(const MemberId& leader) const;
  std::uint64_t passed() const { return passed_; }
  std::uint64_t batches() const { return batches_; }

 private:
  struct Waiting {
    std::string report;
    Instant since;
    OnReply done;
  };
  struct Line {
    std::deque<Waiting> waiting;
    int inFlight = 0;
    bool scheduled = false;
    Link link;
  };
  void schedule(const MemberId& leader, Duration wait);
  void flush(const MemberId& leader);

  Runtime& runtime_;
  PeerMembership& peerMembership_;
  MemberId self_;
  std::map<MemberId, Line> lines_;
  std::uint64_t passed_ = 0, batches_ = 0;
};

// The leader's side: takes a batch apart, asks `serve` for each, puts the answers together.
Response answerBatch(const Request& request, const std::function<Response(const Json&)>& serve);

// Commands to workers that the leader can't reach itself go through the controller that passed on
// their last report. A command without an answer may still arrive, on either way.
class WorkerLine : public HttpClient {
 public:
  WorkerLine(Runtime& runtime, HttpClient& http, PeerMembership& peers)
      : runtime_(runtime), http_(http), peerMembership_(peers) {}

  // No answer: not known why. kNotReached: others were reached the same way by what was sent since.
  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  // A report came from this worker: directly, or through `via`.
  void heard(const std::string& address, const std::optional<MemberId>& via);
  void serve(const std::string& address, const Request& request, const Respond& respond);
  const Link& link() const { return link_; }
  // Whether a worker was reached, directly or through a peer, by something sent then or later.
  bool reachedSince(Instant sent) const;
  void forget() { via_.clear(); }
  // Forgets workers that were not heard for long.
  void sweep();

 private:
  Runtime& runtime_;
  HttpClient& http_;
  PeerMembership& peerMembership_;
  Link link_;
  std::optional<MemberId> peerFor(const std::string& address) const;
  Instant probedAt_{};
  std::map<MemberId, Instant> throughPeer_;  // when what was answered through it had been sent
  // Workers that did not answer directly: the next command goes through a peer, since the way to
  // some of them alone may be cut.
  std::map<std::string, Instant> failedDirectly_;
  std::map<MemberId, Instant> failedThrough_;
  struct Via {
    MemberId peer;
    Instant at;
  };
  std::map<std::string, Via> via_;  // by the worker's address
};

}  // namespace kestrelhoist
