/// \file
/// Declares the sending of requests to workers, either directly or, while the direct path fails,
/// through a peer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "connectivity/link_health.hpp"
#include "connectivity/reporter_log.hpp"
#include "leadership/peer_membership.hpp"

namespace kestrelhoist {

/// Lists the outcomes of a probe.
enum class ProbeOutcome {
  answered,
  /// The worker did not respond, but another worker responded over the same path at about the same
  /// time.
  unreachable,
  /// The worker did not respond, and no other response shows that the path to the workers is up.
  unknown
};
/// Returns the name under which the outcome appears in logs.
const char* toString(ProbeOutcome outcome);

/// Holds the result of a probe so far. A later result of the same probe may differ.
struct ProbeResult {
  /// Holds the outcome at the time of this result.
  ProbeOutcome outcome = ProbeOutcome::unknown;
  /// Holds the worker's response. It is empty unless the outcome is `answered`.
  std::optional<Response> response;
  /// Names the peer that relayed the probe. It is empty if the probe was sent directly.
  std::optional<MemberId> through;
};
/// Receives the results of a probe (see WorkerTransport::probe()).
using OnProbeResult = std::function<void(const ProbeResult&)>;

/// Sends requests to workers. A request to a worker that the leader cannot reach directly goes
/// through a peer, preferably the one that forwarded the worker's last heartbeat. A request that
/// got no response may still arrive later, on either path.
class WorkerTransport : public HttpClient {
 public:
  /// Creates a transport for workers with the heartbeat interval `reportEvery`.
  WorkerTransport(Runtime& runtime, HttpClient& http, PeerMembership& peers,
                  Duration reportEvery = Duration{1000});

  /// Sends a request to the worker at `address`. If `done` is called without a response, the cause
  /// of the failure is unknown. The status kNotReached means that this worker did not respond while
  /// other workers responded to requests sent later over the same path.
  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  /// Probes a worker. At the same time a reference worker is probed, whose response shows that the
  /// path works. The reference is a worker that sent a heartbeat recently, preferably one in the
  /// same zone. `done` is called when the worker responds or when its response is overdue,
  /// whichever comes first. It is called again if the result changes: when an overdue response
  /// arrives, or when `unknown` becomes `unreachable`. A worker that recently failed to respond
  /// directly is probed through a peer as well, and `done` receives the results of both paths.
  void probe(const std::string& address, const ZoneId& zone, Request request, OnProbeResult done);
  /// Records that a heartbeat of this worker arrived, either directly or through the peer `via`.
  void recordHeartbeat(const std::string& address, const ZoneId& zone,
                       const std::optional<MemberId>& via);
  /// Sends a request of a peer to a worker directly and passes the response to `respond`.
  void serve(const std::string& address, const Request& request, const Respond& respond);
  /// Returns the health of the direct link to the workers.
  const LinkHealth& link() const { return link_; }
  /// Returns whether a request sent at `sent` or later reached a worker, directly or through a
  /// peer. A heartbeat that arrived directly at `sent` or later counts as well.
  bool reachedSince(Instant sent) const;
  /// Removes the record of which peers forwarded the workers' heartbeats.
  void forgetNextHops() { nextHops_.clear(); }
  /// Removes the state of workers that have sent no heartbeat for a long time.
  void expire();

 private:
  Runtime& runtime_;
  HttpClient& http_;
  PeerMembership& peerMembership_;
  LinkHealth link_;
  struct DirectProbe;
  void probeDirectly(const std::string& address, const ZoneId& zone, Request request,
                     OnProbeResult done);
  void onDirectProbeAnswered(const std::shared_ptr<DirectProbe>& probe, const Response& response);
  void onDirectProbeOverdue(const std::shared_ptr<DirectProbe>& probe);
  void onDirectProbeTimeout(const std::shared_ptr<DirectProbe>& probe);
  void probeThrough(const MemberId& peer, const std::string& address, Request request,
                    OnProbeResult done);
  std::optional<MemberId> relayPeerFor(const std::string& address) const;
  std::optional<std::string> probeReference(const std::string& address, const ZoneId& zone);
  bool answeredSince(const std::string& address, Instant sent) const;
  Duration answerDueAfter(const std::string& address) const;
  void recordAnswered(const std::string& address, Instant sent);
  void sendDirectly(const std::string& address, Request request, Duration timeout, OnReply done);
  void sendThrough(const MemberId& peer, const std::string& address, Request request,
                   Duration timeout, OnReply done);
  void probeDirectLink(const std::string& address);
  std::optional<MemberId> peerFor(const std::string& address) const;
  Instant probedAt_{};
  ReporterLog reporters_;
  /// Holds the send time of the newest direct request to which any worker responded. Heartbeats are
  /// not counted, because they do not show that requests from this controller reach the workers.
  std::optional<Instant> lastAnsweredRequest_;
  /// Holds the send time of the newest direct request to which each worker responded, by address.
  std::map<std::string, Instant> answeredDirectly_;
  std::map<std::string, Instant> referenceProbedAt_;
  struct LateAnswer {
    Duration roundTrip{};
    Instant at;
  };
  /// Holds the last late response of each worker, by address.
  std::map<std::string, LateAnswer> lateAnswers_;
  /// Holds the send time of the newest request to which a worker responded through each peer.
  std::map<MemberId, Instant> lastAnsweredThrough_;
  /// Holds the send time of the newest direct request to which each worker failed to respond, by
  /// address. The next request to that worker goes through a peer, since a partition may affect the
  /// direct path to some of the workers only.
  std::map<std::string, Instant> failedDirectly_;
  std::map<MemberId, Instant> failedThrough_;
  struct NextHop {
    MemberId peer;
    Instant at;
  };
  /// Holds the peer that forwarded the last heartbeat of each worker, by address.
  std::map<std::string, NextHop> nextHops_;
};

}  // namespace kestrelhoist
