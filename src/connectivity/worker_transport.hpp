/// \file
/// The way of requests to workers: directly, or through a peer while the direct way fails.
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

/// What came of a probe.
enum class ProbeOutcome {
  answered,
  unreachable,  ///< no answer, while another worker answered on the same way at about the same time
  unknown       ///< no answer, and nothing shows that the way to the worker works
};
/// The outcome's name as it appears in logs.
const char* toString(ProbeOutcome outcome);

/// What is known of a probe so far.
struct ProbeResult {
  ProbeOutcome outcome = ProbeOutcome::unknown;  ///< by now
  std::optional<Response> response;              ///< set if it was answered
  std::optional<MemberId> through;  ///< the peer through which it went; empty: directly
};
/// Receives what is known of a probe; see WorkerTransport::probe().
using OnProbeResult = std::function<void(const ProbeResult&)>;

/// Sends requests to workers. Those that the leader cannot reach directly go through the peer that
/// forwarded their last heartbeat. A request without a response may still arrive, on either path.
class WorkerTransport : public HttpClient {
 public:
  /// @param reportEvery The workers' heartbeat interval.
  WorkerTransport(Runtime& runtime, HttpClient& http, PeerMembership& peers,
                  Duration reportEvery = Duration{1000});

  /// Without a response the cause is unknown. kNotReached says that other workers answered
  /// requests sent since on the same path.
  void send(const std::string& address, Request request, Duration timeout, OnReply done) override;
  /// Asks a worker, and with it one that reported lately, preferably of the same zone, whose answer
  /// shows that the way works. `done` is called when the worker has answered or its answer is
  /// overdue, whichever comes first, and again if more is known later: an overdue answer that
  /// arrives after all, or `unreachable` after `unknown`. A worker that lately did not answer
  /// directly is probed through a peer, too, and each way has its results.
  void probe(const std::string& address, const ZoneId& zone, Request request, OnProbeResult done);
  /// Records that this worker reported directly, or through the peer `via`.
  void noteReport(const std::string& address, const ZoneId& zone,
                  const std::optional<MemberId>& via);
  /// Sends a request to a worker directly, on behalf of a peer.
  void serve(const std::string& address, const Request& request, const Respond& respond);
  /// The health of the direct link to the workers.
  const LinkHealth& link() const { return link_; }
  /// Whether a request sent at `sent` or later reached a worker, directly or through a peer.
  bool reachedSince(Instant sent) const;
  /// Forgets through which peers workers reported.
  void forgetNextHops() { nextHops_.clear(); }
  /// Drops the state of workers that have not reported for long.
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
  void onDirectProbeOver(const std::shared_ptr<DirectProbe>& probe);
  void probeThrough(const MemberId& peer, const std::string& address, Request request,
                    OnProbeResult done);
  std::optional<MemberId> detourFor(const std::string& address) const;
  std::optional<std::string> askReference(const std::string& address, const ZoneId& zone);
  bool answeredSince(const std::string& address, Instant sent) const;
  Duration answerDueAfter(const std::string& address) const;
  void noteAnswered(const std::string& address, Instant sent);
  void sendDirectly(const std::string& address, Request request, Duration timeout, OnReply done);
  void sendThrough(const MemberId& peer, const std::string& address, Request request,
                   Duration timeout, OnReply done);
  void probeDirectLink(const std::string& address);
  std::optional<MemberId> peerFor(const std::string& address) const;
  Instant probedAt_{};
  ReporterLog reporters_;
  /// The send time of the newest request that any worker answered directly. Heartbeats don't count:
  /// they say nothing of the way from here to the workers.
  std::optional<Instant> lastAnsweredRequest_;
  std::map<std::string, Instant> answeredDirectly_;  ///< the same by address
  std::map<std::string, Instant> referenceAskedAt_;
  struct LateAnswer {
    Duration roundTrip{};
    Instant at;
  };
  std::map<std::string, LateAnswer> lateAnswers_;  ///< by the worker's address
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
