// One controller: the election, the users' interface, the workers' reports, the mesh.
#pragma once

#include <memory>

#include "app/leader.hpp"
#include "connectivity/heartbeat_ack_log.hpp"
#include "connectivity/heartbeat_forwarder.hpp"
#include "connectivity/heartbeat_route.hpp"
#include "connectivity/peer_proxy.hpp"
#include "connectivity/redirect_canary.hpp"
#include "flows/service.hpp"
#include "jobs/service.hpp"
#include "leadership/cancellation_barrier.hpp"
#include "leadership/election.hpp"
#include "leadership/peer_membership.hpp"
#include "members/service.hpp"
#include "policy/service.hpp"
#include "versions/versions.hpp"

namespace kestrelhoist {

// Everything that one process of the cluster does; its parts are in the files named below.
class Controller {
 public:
  // `boot` must differ between the lives of a process.
  Controller(Runtime& runtime, HttpClient& http, PlanRunner& planner, const Platform& platform,
             const OperatorSettings& settings, const std::string& incarnation);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void start();
  // Users, workers and health checks; `secure`: it came over TLS.
  void onApi(const Request& request, const Respond& respond, bool secure = false);
  // The other controllers.
  void onMesh(const Request& request, const Respond& respond);

  // In the Prometheus text form.
  std::string metricsText() { return metrics_ ? metrics_->text() : ""; }

  bool leads() const { return leader_ != nullptr; }
  const Replica& replica() const { return replica_; }
  const PolicyReplica& policy() const { return policyReplica_; }
  const MemberVersions& versions() const { return versions_; }

 private:
  // controller.cpp
  void enableMembers(const std::string& incarnation);
  void onTimer();
  void trackUnreachableLeader(Instant now);
  void expireWorkers(Instant now);
  void onRecordsChanged();

  // controller_leadership.cpp
  void runElection();
  bool defersCandidacy(const Election::View& view);
  // How long it leaves the leadership to others that are nearer to the workers.
  Duration candidacyDelay() const;
  void claimLeadership();
  void renewLeadership();
  void beginLeadership();
  void startLeader();
  // What peers know of workers that this new leader has not heard.
  void requestAckTimesFromPeers();
  void stepDown(const std::string& why, bool dropLease, Duration backOff);
  void watchLeadership();
  void watchWorkers();
  // Until when leases may be renewed; empty: not at all. Every 200 to a worker asks it.
  std::optional<Instant> renewUntil() const;
  bool mayRenew() const;
  // How many machines this leadership has heard.
  std::size_t reportingMachines() const;

  // controller_users.cpp
  void onUserRequest(const std::string& path, const Request& request, const Respond& respond,
                     bool secure);
  bool isUserPath(const std::string& path) const;
  void forwardToPeer(const MemberId& peer, const Request& request, const Respond& respond);
  // Users' requests, as this node's own records answer them; false: not a path of users.
  bool answerUser(const Request& request, const Respond& respond, bool hold);
  // Adds to a job's state, once it is answered, why its tasks wait, as the leader knows.
  Respond withReasons(const Respond& respond);
  Response ready();

  // controller_reports.cpp
  void onHeartbeat(const Request& request, const Respond& respond);
  Instant noteHeartbeat(const Report& report);
  HeartbeatView heartbeatView(const Report& report) const;
  void addUnreachableLeader(const Report& report, HeartbeatView& v) const;
  // As the leader. `via`: the peer that passed the report on.
  Response serveReport(const Report& report, const std::optional<MemberId>& via);
  Response answerUnforwarded(const Report& report);
  Response answerLocally(const Report& report, const Route& route);
  Response leaseOnlyResponse(const Report& report) const;
  Response redirect(const Report& report, const std::optional<MemberId>& to);

  // controller_peers.cpp
  bool onMeshService(const Request& request, const Respond& respond);
  PeerStatus status() const;
  // The time of day, as this controller and its peers have it.
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
  StoreClient store_;
  CloudClient cloud_;
  Replica replica_;
  PolicyReplica policyReplica_;
  MemberVersions versions_;
  VersionWriter versionWriter_;
  ChangeWatcher watcher_;
  JobService jobs_;
  FlowService flows_;
  PolicyService policy_;
  std::unique_ptr<Metrics> metrics_;        // null: nobody asks
  std::unique_ptr<MemberService> members_;  // null: off
  Instant lastTimer_{};
  Instant expiredAt_{};
  Election election_;
  std::unique_ptr<Leader> leader_;
  bool beginningLeadership_ = false;
  FencingToken lastToken_;  // of the newest leader known of
  Instant lastWorker_{};
  Instant lastForeignWorker_{};  // a worker of another zone
  Instant lastPeer_{};           // any other controller was heard
  RedirectCanary canary_;
  std::map<MachineId, Instant> redirectedAt_;  // workers told to go elsewhere, when
  std::optional<Instant> leaderUnreachableSince_;
  Instant started_{};
  std::optional<Instant> leaderMissingSince_;
};

}  // namespace kestrelhoist
