// Implements the election and the lifecycle of leadership. A controller becomes leader, checks
// whether it may remain leader, and steps down.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"
#include "base/hedged_request.hpp"
#include "base/log.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

// If at least this many machines stop reporting at the same time, the network path to them is cut.
// The leader then steps down without waiting until they report to another controller, because each
// worker has less of its lease left after the wait.
constexpr std::size_t kMinMachinesForNetworkCut = 3;
constexpr HedgeTimes kLeasesRequestTimes{Duration{300}, Duration{2000}};

}  // namespace

void Controller::runElection() {
  Instant now = runtime_.now();
  if (!watcher_.isLoaded()) return;
  Election::View view{watcher_.snapshotAge() < Duration{1000}, replica_.leader(),
                      replica_.leaderToken()};
  if (defersCandidacy(view)) return;
  bool wasLeader = election_.leads();
  auto step = election_.nextStep(now, view);
  if (wasLeader && !election_.leads()) {
    stepDown("another leads or the lease ended", false, Duration{0});
    return;
  }
  if (step == Election::Step::grant) claimLeadership();
  if (step == Election::Step::renew) renewLeadership();
  if (election_.leads() && !leader_) beginLeadership();
}

// Returns whether this controller waits before it stands for election, so that a peer that receives
// heartbeats can be elected first.
bool Controller::defersCandidacy(const Election::View& view) {
  if (election_.leads() || !view.fresh || view.leader) {
    leaderMissingSince_.reset();
    return false;
  }
  Instant now = runtime_.now();
  if (!leaderMissingSince_) leaderMissingSince_ = now;
  return now - *leaderMissingSince_ < candidacyDelay();
}

// A controller that no longer receives heartbeats is cut off from the workers. As leader it would
// treat all of them as dead (once, 203 healthy machines were terminated within a second), so it
// gives its peers time to read that there is no leader. A controller that has just started does not
// know yet whether it is cut off and waits for a shorter time.
Duration Controller::candidacyDelay() const {
  Duration sinceHeartbeat = runtime_.now() - lastHeartbeat_;
  if (sinceHeartbeat < heartbeatDueAfter(platform_.reportEvery)) return Duration{0};
  return lastHeartbeat_ < startedAt_ ? Duration{400} : Duration{1500};
}

// Requests the leader's lease first. Then writes the leader key with this lease, on the condition
// that no controller holds the key.
void Controller::claimLeadership() {
  store_.grantLease(kLeaderLeaseDuration, kStoreTimeout, [this](std::optional<LeaseId> lease) {
    election_.onGranted(lease);
    if (election_.role() != Election::Role::claiming) return;
    Transaction t;
    t.compares.push_back({keys::kLeader, Revision{election_.expectedToken().value}});
    t.writes.push_back(leaderKeyWrite());
    store_.commit(t, kStoreTimeout, [this, t](CommitResult r) {
      election_.onClaimed(runtime_.now(), r);
      if (r.outcome == CommitOutcome::applied) {
        replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
        beginLeadership();
      }
    });
  });
}

Write Controller::leaderKeyWrite() const {
  return {keys::kLeader, toJson(election_.record()), election_.lease()};
}

void Controller::adoptRaisedToken() {
  if (!leader_ || !election_.adoptRaisedToken(replica_.leader(), replica_.leaderToken())) return;
  lastToken_ = std::max(lastToken_, election_.token());
  leader_->adoptToken(election_.token());
}

// A peer or a worker may hear of the raised token before this leader does. The next read shows who
// wrote the leader key.
bool Controller::mayBeOwnRaisedToken() const {
  return leader_ && leader_->isRaisingToken() && watcher_.snapshotAge() < kStoreUnreachableAfter;
}

void Controller::renewLeadership() {
  store_.renewLease(*election_.lease(), kStoreTimeout, [this](LeaseOutcome o) {
    bool leads = election_.leads();
    election_.onRenewed(o);
    if (leads && !election_.leads()) {
      stepDown("the lease has ended", false, Duration{0});
    }
  });
}

// Starts the leader only after a linearizable read that includes the record of its election.
void Controller::beginLeadership() {
  if (beginningLeadership_ || leader_ || !election_.leads()) return;
  beginningLeadership_ = true;
  watcher_.linearizableRead([this](bool ok) {
    beginningLeadership_ = false;
    if (!ok || leader_ || !election_.leads()) return;
    if (!election_.isMine(replica_.leader()) || replica_.leaderToken() != election_.token()) return;
    startLeader();
  });
}

void Controller::startLeader() {
  watcher_.setInterval(kLeaderReadInterval);
  workerTransport_.forgetNextHops();
  LeaderContext context{runtime_,         store_,    watcher_,  replica_,          cloud_,
                        workerTransport_, platform_, settings_, election_.token(), runtime_.now()};
  context.workersReachedSince = [this](Instant sent) {
    return workerTransport_.reachedSince(sent);
  };
  context.effectivePolicy = &policyReplica_;
  context.allMembersRead = [this](unsigned format) { return versions_.allSupport(format); };
  context.timeOfDay = [this] { return timeOfDay(); };
  context.hasUnreachablePeer = [this] {
    return std::any_of(platform_.peers.begin(), platform_.peers.end(), [this](const Peer& peer) {
      return !peerMembership_.recentStatus(peer.member, kPeerReachableWithin) &&
             peerMembership_.mayBeAlive(peer.member);
    });
  };
  context.leaderKeyWrite = [this] { return leaderKeyWrite(); };
  context.onLeaderKeyWritten = [this] { adoptRaisedToken(); };
  context.zoneAckBounds = [this] { return zoneAckBounds(); };
  context.onCommandsRepeated = [this] { countRepeat("commands"); };
  if (metrics_) {
    context.onLostBySilence = [this](Duration silence) { metrics_->terminationRequested(silence); };
    context.onTokenRaised = [this] { metrics_->tokenRaised(); };
    context.onClearedAttemptReported = [this] { metrics_->clearedAttemptReported(); };
    context.onLeaseEndProbe = [this](const char* answer) { metrics_->leaseEndProbed(answer); };
  }
  leader_ = std::make_unique<Leader>(context, planner_, policyReplica_, [this](const ZoneId& zone) {
    return std::any_of(platform_.peers.begin(), platform_.peers.end(), [&](const Peer& p) {
      return p.zone == zone && peerMembership_.mayBeAlive(p.member);
    });
  });
  for (const auto& [machine, at] : ackLog_.entries()) leader_->fleet().noteAckByPeer(machine, at);
  requestAckTimesFromPeers();
  leader_->fleet().adoptLeases(leaseLog_.observations(runtime_.now()));
  requestLeasesFromPeers();
}

// The last acknowledgement of a worker's heartbeat shows since when the worker has been
// unreachable. Without it a new leader would count from its own election, and it would reschedule
// the worker's tasks long after they have ended.
void Controller::requestAckTimesFromPeers() {
  for (const auto& peer : platform_.peers) {
    peerMembership_.send(
        peer.member, {"POST", "/mesh/answered", encodeBody(Json::object())}, Duration{2000},
        [this, token = election_.token()](const std::optional<Response>& r) {
          if (!leader_ || leader_->token() != token || !r || r->status != 200) return;
          auto body = decodeBody(r->body, kInternalLimits);
          if (!body) return;
          for (const auto& [machine, at] : HeartbeatAckLog::parse(*body, runtime_.now())) {
            leader_->fleet().noteAckByPeer(machine, at);
          }
        });
  }
}

// Peers of the previous version answer 404. The leader then estimates the leases from the
// acknowledgement times alone.
void Controller::requestLeasesFromPeers() {
  using Answer = std::optional<Response>;
  for (const auto& peer : platform_.peers) {
    auto request = std::make_shared<HedgedRequest<Answer>>(
        runtime_,
        [this, member = peer.member](Duration timeout, OnReply done) {
          peerMembership_.send(member, {"POST", kLeasesPath, encodeBody(Json::object())}, timeout,
                               std::move(done));
        },
        [](const Answer& answer) { return !answer; },
        [this, token = election_.token()](Instant, const Answer& answer) {
          if (!leader_ || leader_->token() != token || !answer || answer->status != 200) return;
          auto body = decodeBody(answer->body, kInternalLimits);
          if (!body) return;
          leader_->fleet().adoptLeases(leaseObservationsFromJson(*body, runtime_.now()));
        });
    request->start(kLeasesRequestTimes, nullptr);
  }
}

void Controller::stepDown(const std::string& why, bool dropLease, Duration backOff) {
  logInfo("stepped down as leader", "token", election_.token(), "why", why);
  lastToken_ = std::max(lastToken_, election_.token());
  auto lease = election_.lease();
  if (dropLease && lease) store_.revokeLease(*lease);
  election_.stepDown(runtime_.now() + backOff);
  watcher_.setInterval(kFollowerReadInterval);
  // The leader is destroyed later, because this function may run within a call of the leader.
  if (leader_) {
    std::shared_ptr<Leader> old(std::move(leader_));
    runtime_.after(Duration{0}, [old] {});
  }
}

void Controller::watchLeadership() {
  if (!election_.leads()) return;
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    if (seen.first.token > election_.token() && !mayBeOwnRaisedToken()) {
      return stepDown("member " + member.value + " knows a higher token", false, Duration{500});
    }
  }
  if (watcher_.isLoaded() && !mayRenew()) {
    return stepDown("no contact with the state service for too long", false, Duration{1000});
  }
  if (watcher_.isLoaded() && watcher_.snapshotAge() > kStoreUnreachableAfter &&
      peerMembership_.peerReachingStore(watcher_.failingSince())) {
    return stepDown("the state service answers others but not this node", false, Duration{3000});
  }
  if (leader_) watchWorkers();
}

// Steps down if workers should report but none does, because this controller may be cut off from
// them.
void Controller::watchWorkers() {
  std::size_t reporting = reportingMachines();
  bool expectsHeartbeats =
      reporting > 0 || std::any_of(replica_.machines().begin(), replica_.machines().end(),
                                   [](const auto& m) { return !m.second.tasks.empty(); });
  Duration sinceHeartbeat =
      runtime_.now() - std::max(lastHeartbeat_, leader_->fleet().newestReportAt());
  Duration timeout = platform_.reportEvery * 3 / 2 + Duration{2000};
  // After a failover each worker waits 4 s for the old leader and then tries the controllers one
  // after another, 1 s each. Heartbeats that reach other controllers meanwhile must not make the
  // new leader step down, because all workers' leases would expire.
  if (reporting == 0) timeout += Duration{6000};
  if (!expectsHeartbeats || sinceHeartbeat < timeout) return;
  bool anyPeer = platform_.peers.empty() || peerMembership_.anyReachable(kPeerReachableWithin);
  bool peersReceiveHeartbeats = false;
  for (const auto& peer : platform_.peers) {
    const auto* s = peerMembership_.recentStatus(peer.member, kPeerReachableWithin);
    // This peer forwards the heartbeats that it receives to this leader. A different leader would
    // receive no more heartbeats than this one.
    if (s && s->supportsForwarding && sinceHeartbeat < timeout + platform_.workerLease / 2) return;
    peersReceiveHeartbeats = peersReceiveHeartbeats || (s && s->workersAge < sinceHeartbeat);
  }
  if (peersReceiveHeartbeats || !anyPeer || reporting >= kMinMachinesForNetworkCut) {
    stepDown("no worker reports here", true, 5 * platform_.reportEvery + Duration{10000});
  }
}

std::optional<Instant> Controller::renewUntil() const {
  if (!watcher_.isLoaded()) return std::nullopt;
  Instant asOf = watcher_.snapshotTime();
  // While the state service is unreachable, leases may still be renewed up to the time for which
  // the peers' answers rule out a cancellation that this controller has not read. This does not
  // hold while a cancellation committed here has not been read back, because placements may be
  // missing from the replica, or while the cancellation of a flow is incomplete.
  if (auto barrier = cancellationBarrier_.snapshotTime();
      barrier && *barrier > asOf && watcher_.snapshotAge() > kStoreUnreachableAfter &&
      replica_.newestCancellation() <= replica_.revision() &&
      !replica_.isFlowCancellationInProgress()) {
    asOf = *barrier;
  }
  return renewal_.renewableUntil(asOf);
}

bool Controller::mayRenew() const {
  auto until = renewUntil();
  return until && runtime_.now() <= *until;
}

std::size_t Controller::reportingMachines() const {
  return leader_ ? leader_->fleet().reportingCount() : 0;
}

}  // namespace kestrelhoist
