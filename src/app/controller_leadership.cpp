// The election and the lifecycle of leadership: becoming leader, checking whether to continue, and
// stepping down.
#include <algorithm>

#include "app/controller.hpp"
#include "app/controller_constants.hpp"
#include "base/hedged_request.hpp"
#include "base/log.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

// Several machines do not stop reporting at the same moment unless the network path to them is cut.
// There is then no need to wait until they report elsewhere, which costs each worker part of its
// lease.
constexpr std::size_t kSeveralMachines = 3;
constexpr HedgeTimes kLeasesRequest{Duration{300}, Duration{2000}};

}  // namespace

void Controller::runElection() {
  Instant now = runtime_.now();
  if (!watcher_.loaded()) return;
  Election::View view{watcher_.contactAge() < Duration{1000}, replica_.leader(),
                      replica_.leaderToken()};
  if (defersCandidacy(view)) return;
  bool led = election_.leads();
  auto step = election_.nextStep(now, view);
  if (led && !election_.leads()) {
    stepDown("another leads or the lease ended", false, Duration{0});
    return;
  }
  if (step == Election::Step::grant) claimLeadership();
  if (step == Election::Step::renew) renewLeadership();
  if (election_.leads() && !leader_) beginLeadership();
}

// Candidates that receive heartbeats stand first; the others follow a little later.
bool Controller::defersCandidacy(const Election::View& view) {
  if (election_.leads() || !view.fresh || view.leader) {
    leaderMissingSince_.reset();
    return false;
  }
  Instant now = runtime_.now();
  if (!leaderMissingSince_) leaderMissingSince_ = now;
  return now - *leaderMissingSince_ < candidacyDelay();
}

// A controller that used to receive heartbeats and no longer does is cut off from the workers. As
// leader it would take all of them for dead (203 healthy machines were released within a second),
// so it leaves the others time to read that the leadership is free. A controller that has just
// started does not know yet whether it is cut off.
Duration Controller::candidacyDelay() const {
  Duration sinceHeartbeat = runtime_.now() - lastWorker_;
  if (sinceHeartbeat < heartbeatDueAfter(platform_.reportEvery)) return Duration{0};
  return lastWorker_ < started_ ? Duration{400} : Duration{1500};
}

// Grants the lease first, then writes the key with it on the condition that nobody holds the key.
void Controller::claimLeadership() {
  store_.grantLease(kLeaseLife, kStoreTimeout, [this](std::optional<LeaseId> lease) {
    election_.onGranted(lease);
    if (election_.role() != Election::Role::claiming) return;
    Transaction t;
    t.compares.push_back({keys::kLeader, Revision{election_.expectedToken().value}});
    t.writes.push_back({keys::kLeader, toJson(election_.record()), lease});
    store_.commit(t, kStoreTimeout, [this, t](CommitResult r) {
      election_.onClaimed(runtime_.now(), r);
      if (r.outcome == CommitOutcome::applied) {
        replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
        beginLeadership();
      }
    });
  });
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

// Acts only once everything up to the election has been read.
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
  watcher_.setInterval(kLeaderRead);
  workerTransport_.forgetNextHops();
  LeaderContext context{runtime_,         store_,    watcher_,  replica_,          cloud_,
                        workerTransport_, platform_, settings_, election_.token(), runtime_.now()};
  context.workersReachedSince = [this](Instant sent) {
    return workerTransport_.reachedSince(sent);
  };
  context.effectivePolicy = &policyReplica_;
  context.allMembersRead = [this](unsigned format) { return versions_.allAtLeast(format); };
  context.timeOfDay = [this] { return timeOfDay(); };
  context.hasUnheardPeer = [this] {
    return std::any_of(platform_.peers.begin(), platform_.peers.end(), [this](const Peer& peer) {
      return !peerMembership_.recentStatus(peer.member, kPeerPresence) &&
             peerMembership_.mayBeAlive(peer.member);
    });
  };
  context.zoneAckBounds = [this] { return zoneAckBounds(); };
  context.onCommandsRepeated = [this] { countRepeat("commands"); };
  if (metrics_) {
    context.onGivenUpForSilence = [this](Duration silence) {
      metrics_->terminationRequested(silence);
    };
    context.onLeaseEndProbe = [this](const char* answer) { metrics_->leaseEndProbed(answer); };
  }
  leader_ = std::make_unique<Leader>(context, planner_, policyReplica_, [this](const ZoneId& zone) {
    return std::any_of(platform_.peers.begin(), platform_.peers.end(), [&](const Peer& p) {
      return p.zone == zone && peerMembership_.mayBeAlive(p.member);
    });
  });
  for (const auto& [machine, at] : ackLog_.entries()) leader_->fleet().noteAckByPeer(machine, at);
  requestAckTimesFromPeers();
  leader_->fleet().adoptLeases(leaseLog_.sightings(runtime_.now()));
  requestLeasesFromPeers();
}

// For a worker that no controller answers any more, the last acknowledgement tells how long it has
// been unreachable. Without it a new leader would count from its own election, and the worker's
// tasks would be long over before they are rescheduled.
void Controller::requestAckTimesFromPeers() {
  for (const auto& peer : platform_.peers) {
    peerMembership_.send(
        peer.member, {"POST", "/mesh/answered", encodeBody(Json::object())}, Duration{2000},
        [this, token = election_.token()](const std::optional<Response>& r) {
          if (!leader_ || leader_->token() != token || !r || r->status != 200) return;
          auto body = decodeBody(r->body);
          if (!body) return;
          for (const auto& [machine, at] : HeartbeatAckLog::parse(*body, runtime_.now())) {
            leader_->fleet().noteAckByPeer(machine, at);
          }
        });
  }
}

// The previous version answers 404: then only the acknowledgement times tell of leases.
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
          auto body = decodeBody(answer->body);
          if (!body) return;
          leader_->fleet().adoptLeases(leaseSightingsFrom(*body, runtime_.now()));
        });
    request->start(kLeasesRequest, nullptr);
  }
}

void Controller::stepDown(const std::string& why, bool dropLease, Duration backOff) {
  logInfo("stepped down as leader", "token", election_.token(), "why", why);
  lastToken_ = std::max(lastToken_, election_.token());
  auto lease = election_.lease();
  if (dropLease && lease) store_.dropLease(*lease);
  election_.stepDown(runtime_.now() + backOff);
  watcher_.setInterval(kFollowerRead);
  // Not from within one of its own calls.
  if (leader_) {
    std::shared_ptr<Leader> old(std::move(leader_));
    runtime_.after(Duration{0}, [old] {});
  }
}

void Controller::watchLeadership() {
  if (!election_.leads()) return;
  for (const auto& [member, seen] : peerMembership_.statuses()) {
    if (seen.first.token > election_.token()) {
      return stepDown("member " + member.value + " knows a higher token", false, Duration{500});
    }
  }
  if (watcher_.loaded() && !mayRenew()) {
    return stepDown("no contact with the state service for too long", false, Duration{1000});
  }
  if (watcher_.loaded() && watcher_.contactAge() > kStoreSilent &&
      peerMembership_.peerReachingStore(watcher_.failingSince())) {
    return stepDown("the state service answers others but not this node", false, Duration{3000});
  }
  if (leader_) watchWorkers();
}

// Steps down when no worker reports although there are some: this controller is cut off from them,
// or all have ended.
void Controller::watchWorkers() {
  std::size_t reporting = reportingMachines();
  bool expectsHeartbeats =
      reporting > 0 || std::any_of(replica_.machines().begin(), replica_.machines().end(),
                                   [](const auto& m) { return !m.second.tasks.empty(); });
  Duration sinceHeartbeat =
      runtime_.now() - std::max(lastWorker_, leader_->fleet().lastReportOfAny());
  Duration timeout = platform_.reportEvery * 3 / 2 + Duration{2000};
  // After a failover workers first give up on the old leader (4 s) and try nodes in turn (1 s
  // each). A new leader that resigned meanwhile, because they were heard elsewhere in passing,
  // would cost all of them their leases.
  if (reporting == 0) timeout += Duration{6000};
  if (!expectsHeartbeats || sinceHeartbeat < timeout) return;
  bool anyPeer = platform_.peers.empty() || peerMembership_.anyReachable(kPeerPresence);
  bool peersReceiveHeartbeats = false;
  for (const auto& peer : platform_.peers) {
    const auto* s = peerMembership_.recentStatus(peer.member, kPeerPresence);
    // A peer that receives heartbeats forwards them to here; another leader would receive no more.
    if (s && s->supportsForwarding && sinceHeartbeat < timeout + platform_.workerLease / 2) return;
    peersReceiveHeartbeats = peersReceiveHeartbeats || (s && s->workersAge < sinceHeartbeat);
  }
  if (peersReceiveHeartbeats || !anyPeer || reporting >= kSeveralMachines) {
    stepDown("no worker reports here", true, 5 * platform_.reportEvery + Duration{10000});
  }
}

std::optional<Instant> Controller::renewUntil() const {
  if (!watcher_.loaded()) return std::nullopt;
  Instant asOf = watcher_.snapshotTime();
  // Running work need not end when nobody can have told of a cancellation that is not known here.
  // Own commits that were not read back yet may hide placements, and a flow's are not effective
  // yet.
  if (auto barrier = cancellationBarrier_.snapshotTime();
      barrier && *barrier > asOf && watcher_.contactAge() > kStoreSilent &&
      replica_.newestCancellation() <= replica_.cursor() && !replica_.flowCancellationUnderWay()) {
    asOf = *barrier;
  }
  return renewal_.until(asOf);
}

bool Controller::mayRenew() const {
  auto until = renewUntil();
  return until && runtime_.now() <= *until;
}

std::size_t Controller::reportingMachines() const {
  return leader_ ? leader_->fleet().reportingCount() : 0;
}

}  // namespace kestrelhoist
