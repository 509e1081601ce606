/// One controller process: the election, the user API, the workers' heartbeats and the mesh.
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

/// Wires the parts of one controller together and dispatches requests to them. Single-threaded: all
/// calls and callbacks run on the thread of `runtime`. The constructor's arguments must outlive it.
/// The member functions are implemented in the files named in the private section.
class Controller {
 public:
  /// @param incarnation Must differ between restarts of a process.
  Controller(Runtime& runtime, HttpClient& http, PlanRunner& planner, const Platform& platform,
             const OperatorSettings& settings, const std::string& incarnation);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Starts reading records and taking part in elections.
  void start();
  /// Serves users, workers and health checks. `secure` says that the request came over TLS.
  void onApi(const Request& request, const Respond& respond, bool secure = false);
  /// Serves the other controllers.
  void onMesh(const Request& request, const Respond& respond);

  /// The metrics in the Prometheus text format.
  std::string metricsText() { return metrics_ ? metrics_->text() : ""; }

  bool leads() const { return leader_ != nullptr; }
  const Replica& replica() const { return replica_; }
  const PolicyReplica& policy() const { return policyReplica_; }
  const ControllerVersions& versions() const { return versions_; }

 private:
  /// controller.cpp
  void enableMembers(const std::string& incarnation);
  void onTimer();
  void trackUnreachableLeader(Instant now);
  void expireWorkers(Instant now);
  void countRepeat(const char* what);
  void onRecordsChanged();

  /// controller_leadership.cpp
  void runElection();
  bool defersCandidacy(const Election::View& view);
  /// How long the candidacy is deferred in favour of controllers that receive heartbeats.
  Duration candidacyDelay() const;
  void claimLeadership();
  void renewLeadership();
  void beginLeadership();
  void startLeader();
  /// Asks peers for the acknowledgement times of workers that this new leader has not heard from.
  void requestAckTimesFromPeers();
  /// Asks peers for what they know of workers' leases.
  void requestLeasesFromPeers();
  void stepDown(const std::string& why, bool dropLease, Duration backOff);
  void watchLeadership();
  void watchWorkers();
  /// Until when worker leases may be renewed; empty if not at all. Checked for every 200 to a
  /// worker.
  std::optional<Instant> renewUntil() const;
  bool mayRenew() const;
  /// How many machines have reported to this leader.
  std::size_t reportingMachines() const;

  /// controller_user_api.cpp
  void onUserRequest(const std::string& path, const Request& request, const Respond& respond,
                     bool secure);
  bool isUserPath(const std::string& path) const;
  void forwardToPeer(const MemberId& peer, const Request& request, const Respond& respond);
  /// Answers a user's request from this node's own records; false if the path is not a user path.
  bool answerUser(const Request& request, const Respond& respond, bool hold);
  /// Wraps a response callback so that it adds the leader's explanation of why tasks wait.
  Respond withReasons(const Respond& respond);
  Response ready();

  /// controller_heartbeats.cpp
  void onHeartbeat(const Request& request, const Respond& respond);
  Instant noteHeartbeat(const Report& report);
  void noteAcknowledged(const MachineId& machine, const ZoneId& zone, Instant receivedAt);
  HeartbeatView heartbeatView(const Report& report) const;
  void addUnreachableLeader(const Report& report, HeartbeatView& v) const;
  RedirectCandidate redirectCandidate(const Report& report) const;
  /// Answers as the leader. `via` is the peer that forwarded the heartbeat.
  Response serveReport(const Report& report, const std::optional<MemberId>& via);
  Response answerUnforwarded(const Report& report);
  Response answerLocally(const Report& report, const Route& route);
  Response leaseOnlyResponse(const Report& report) const;
  Response redirect(const Report& report, const std::optional<MemberId>& to);

  /// controller_peer_api.cpp
  bool onMeshService(const Request& request, const Respond& respond);
  PeerStatus status() const;
  /// PeerMembership::mayBeAlive() as a function of the peer.
  std::function<bool(const MemberId&)> peerMayBeAlive() const;
  /// Per zone, an instant after which no controller acknowledged a heartbeat; see ZoneAckLog.
  std::map<ZoneId, Instant> zoneAckBounds() const;
  /// The median time of day of this controller and its peers, in milliseconds since 1970.
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
  std::unique_ptr<Metrics> metrics_;        ///< null if members are disabled
  std::unique_ptr<MemberService> members_;  ///< null if members are disabled
  Instant lastTimer_{};
  Instant expiredAt_{};
  Election election_;
  std::unique_ptr<Leader> leader_;
  bool beginningLeadership_ = false;
  FencingToken lastToken_;       ///< of the newest known leader
  Instant lastWorker_{};         ///< last heartbeat from any worker
  Instant lastForeignWorker_{};  ///< last heartbeat from a worker of another zone
  Instant lastPeer_{};           ///< last time that any peer was reachable
  RedirectCanary canary_;
  std::map<MachineId, Instant> redirectedAt_;  ///< when each worker was last redirected
  std::optional<Instant> leaderUnreachableSince_;
  Instant started_{};
  std::optional<Instant> leaderMissingSince_;
};

}  // namespace kestrelhoist
