/// \file
/// Implements one controller, which takes part in the election and serves users, workers and peers.
#pragma once

#include <memory>

#include "app/leader.hpp"
#include "connectivity/heartbeat_ack_log.hpp"
#include "connectivity/heartbeat_forwarder.hpp"
#include "connectivity/heartbeat_route.hpp"
#include "connectivity/peer_proxy.hpp"
#include "connectivity/redirect_canary.hpp"
#include "connectivity/worker_transport.hpp"
#include "flows/service.hpp"
#include "jobs/service.hpp"
#include "leadership/cancellation_barrier.hpp"
#include "leadership/election.hpp"
#include "leadership/peer_membership.hpp"
#include "members/service.hpp"
#include "policy/service.hpp"
#include "versions/versions.hpp"

namespace kestrelhoist {

/// Connects the components of one controller and dispatches requests to them. The class is
/// single-threaded: all calls and callbacks run on the thread of `runtime`. The constructor's
/// arguments must outlive the controller. Comments in the private section name the files that
/// implement the member functions.
class Controller {
 public:
  /// @param incarnation An identifier that differs after each restart of the process.
  Controller(Runtime& runtime, HttpClient& http, PlanRunner& planner, const Platform& platform,
             const OperatorSettings& settings, const std::string& incarnation);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Starts to read records and to take part in elections.
  void start();
  /// Serves users, workers and health checks.
  /// @param secure Whether the request arrived over TLS.
  void onApi(const Request& request, const Respond& respond, bool secure = false);
  /// Serves the requests of peers.
  void onMesh(const Request& request, const Respond& respond);

  /// Returns the metrics in the Prometheus text format. The result is empty if members are
  /// disabled.
  std::string metricsText() { return metrics_ ? metrics_->text() : ""; }

  bool leads() const { return leader_ != nullptr; }
  const Replica& replica() const { return replica_; }
  const PolicyReplica& policy() const { return policyReplica_; }
  const ControllerVersions& versions() const { return versions_; }

 private:
  /// The next functions are implemented in controller.cpp.
  void enableMembers(const std::string& incarnation);
  void onTimer();
  void trackUnreachableLeader(Instant now);
  void expireWorkers(Instant now);
  void countRepeat(const char* what);
  void onRecordsChanged();

  /// The next functions are implemented in controller_leadership.cpp.
  void runElection();
  bool defersCandidacy(const Election::View& view);
  /// Returns how long the candidacy is deferred in favour of controllers that receive heartbeats.
  Duration candidacyDelay() const;
  void claimLeadership();
  /// Returns the write that sets the leader key to this controller's record.
  Write leaderKeyWrite() const;
  /// Adopts the revision of the leader key as the token if this leader has written the key again.
  void adoptRaisedToken();
  /// Returns whether a higher token that another process knows may be this leader's own.
  bool mayBeOwnRaisedToken() const;
  void renewLeadership();
  void beginLeadership();
  void startLeader();
  /// Requests from all peers the times at which they last acknowledged each worker's heartbeat.
  void requestAckTimesFromPeers();
  /// Requests from all peers the workers' leases that they have recorded.
  void requestLeasesFromPeers();
  void stepDown(const std::string& why, bool dropLease, Duration backOff);
  void watchLeadership();
  void watchWorkers();
  /// Returns until when workers' leases may be renewed. The result is empty if no lease may be
  /// renewed. The leader checks this before it acknowledges a heartbeat.
  std::optional<Instant> renewUntil() const;
  bool mayRenew() const;
  /// Returns how many machines have reported to this leader.
  std::size_t reportingMachines() const;

  /// The next functions are implemented in controller_user_api.cpp.
  void onUserRequest(const std::string& path, const Request& request, const Respond& respond,
                     bool secure);
  bool isUserPath(const std::string& path) const;
  void forwardToPeer(const MemberId& peer, const Request& request, const Respond& respond);
  /// Answers a user's request from this controller's own records. Returns false if the path does
  /// not belong to the user API.
  /// @param hold Whether the request may be held until a watched record changes.
  bool answerUser(const Request& request, const Respond& respond, bool hold);
  /// Returns a callback that adds the leader's pending reasons to the answer for a job.
  Respond withReasons(const Respond& respond);
  Response ready();

  /// The next functions are implemented in controller_heartbeats.cpp.
  void onHeartbeat(const Request& request, const Respond& respond);
  Instant recordHeartbeat(const Report& report);
  void recordAcknowledged(const MachineId& machine, const ZoneId& zone, Instant receivedAt);
  HeartbeatView heartbeatView(const Report& report) const;
  void addUnreachableLeader(const Report& report, HeartbeatView& view) const;
  RedirectCandidate redirectCandidate(const Report& report) const;
  /// Answers a heartbeat as the leader.
  /// @param via The peer that forwarded the heartbeat; empty if the worker sent it to this
  ///        controller.
  Response serveReport(const Report& report, const std::optional<MemberId>& via);
  Response answerUnforwarded(const Report& report);
  Response answerLocally(const Report& report, const Route& route);
  Response leaseOnlyResponse(const Report& report) const;
  Response redirect(const Report& report, const std::optional<MemberId>& to);

  /// The next functions are implemented in controller_peer_api.cpp.
  bool onMeshService(const Request& request, const Respond& respond);
  PeerStatus status() const;
  /// Returns a function that calls PeerMembership::mayBeAlive() for a peer.
  std::function<bool(const MemberId&)> peerMayBeAlive() const;
  /// Returns for each zone a time after which no controller has acknowledged a heartbeat of the
  /// zone's workers; see ZoneAckLog.
  std::map<ZoneId, Instant> zoneAckBounds() const;
  /// Returns the median wall clock time of this controller and its peers, in milliseconds since
  /// 1970.
  std::int64_t timeOfDay() const;

  Runtime& runtime_;
  HttpClient& http_;
  PlanRunner& planner_;
  const Platform& platform_;
  const OperatorSettings& settings_;
  const LeaseRenewal renewal_;
  CancellationBarrier cancellationBarrier_;
  PeerMembership peerMembership_;
  PeerProxy stateProxy_;
  PeerProxy cloudProxy_;
  WorkerTransport workerTransport_;
  HeartbeatForwarder forwarder_;
  HeartbeatAckLog ackLog_;
  LeaseLog leaseLog_;
  ZoneAckLog zoneAcks_;
  StoreClient store_;
  CloudClient cloud_;
  Replica replica_;
  PolicyReplica policyReplica_;
  ControllerVersions versions_;
  VersionWriter versionWriter_;
  ChangeWatcher watcher_;
  JobService jobs_;
  FlowService flows_;
  PolicyService policy_;
  std::unique_ptr<Metrics> metrics_;        ///< Is null if members are disabled.
  std::unique_ptr<MemberService> members_;  ///< Is null if members are disabled.
  Instant lastTimer_{};
  Instant lastExpiry_{};
  Election election_;
  std::unique_ptr<Leader> leader_;
  bool beginningLeadership_ = false;
  FencingToken lastToken_;   ///< Holds the token of the newest known leader.
  Instant lastHeartbeat_{};  ///< Stores when the last heartbeat arrived.
  /// Stores when the last heartbeat from a worker of another zone arrived.
  Instant lastOtherZoneHeartbeat_{};
  Instant lastPeerContact_{};  ///< Stores when a peer was last reachable.
  RedirectCanary canary_;
  std::map<MachineId, Instant> redirectedAt_;  ///< Stores when each worker was last redirected.
  std::optional<Instant> leaderUnreachableSince_;
  Instant startedAt_{};
  std::optional<Instant> leaderMissingSince_;
};

}  // namespace kestrelhoist
