#include "app/controller.hpp"

#include <algorithm>

#include "app/controller_constants.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr Duration kTimerInterval{100};
constexpr Duration kStatusExchangeInterval{500};
constexpr Duration kExpiryInterval{30000};
// If a peer's last contact to a service is older than this, it is unknown whether the peer can
// reach the service.
constexpr Duration kContactUnknownAfter{10000};

ChangeWatcher::Settings watcherSettings(const Platform& p, Duration staleAfter) {
  ChangeWatcher::Settings s;
  // The reads of all controllers together use at most about half of the state service's rate limit.
  double gapS = static_cast<double>(p.controllerCount()) / (0.5 * p.stateRequestsPerS);
  s.minReadInterval = std::max(Duration{10}, fromSeconds(gapS));
  s.timeout = kStoreTimeout;
  s.staleAfter = staleAfter;
  return s;
}

}  // namespace

Controller::Controller(Runtime& runtime, HttpClient& http, PlanRunner& planner,
                       const Platform& platform, const OperatorSettings& settings,
                       const std::string& incarnation)
    : runtime_(runtime),
      http_(http),
      planner_(planner),
      platform_(platform),
      settings_(settings),
      renewal_(platform),
      cancellationBarrier_(platform.peers),
      peerMembership_(runtime, http, platform),
      stateProxy_(runtime, http, peerMembership_,
                  {"state",
                   platform.stateAddress,
                   {"GET", std::string("/store/") + keys::kLeader, ""},
                   kStoreTimeout},
                  [](const PeerStatus& s) { return s.storeAge; }),
      cloudProxy_(
          runtime, http, peerMembership_,
          {"cloud", platform.cloudAddress, {"GET", "/machine_types", ""}, 3 * kStoreTimeout},
          // Only leaders call the cloud, so for most followers it is unknown whether they can reach
          // it. An unknown age counts as zero, so that these peers are tried first.
          [](const PeerStatus& s) {
            return s.cloudAge < kContactUnknownAfter ? s.cloudAge : Duration{0};
          }),
      workerTransport_(runtime, http, peerMembership_, platform.reportEvery),
      forwarder_(runtime, peerMembership_, platform.member),
      leaseLog_(platform),
      zoneAcks_(platform, runtime.now()),
      store_(runtime, stateProxy_, platform.stateAddress,
             platform.stateRequestsPerS / static_cast<double>(platform.controllerCount()),
             CommitLimits({platform.transactionOps, platform.valueBytes}, platform.valueBytesNow)),
      cloud_(runtime, cloudProxy_, platform.cloudAddress, platform.cloudRequestsPerS * 0.9),
      versions_(platform),
      versionWriter_(runtime, store_, replica_, versions_, platform.member),
      watcher_(runtime, store_, replica_, watcherSettings(platform, kStoreUnreachableAfter)),
      jobs_(runtime, store_, watcher_, replica_, platform, versions_),
      flows_(runtime, store_, watcher_, replica_, platform, settings,
             [this] { return jobs_.catalogue(); }),
      policy_(runtime, store_, watcher_, replica_, policyReplica_, platform),
      election_({platform.member, incarnation, kLeaderLeaseDuration, kLeaderLeaseRenewInterval}),
      canary_(kWorkerRetryAfterLostAnswer * static_cast<int>(platform.controllerCount() - 1) +
                  kWorkerNextControllerDelay,
              platform.workerLease, platform.reportEvery) {
  replica_.add(policyReplica_);
  replica_.add(versions_);
  policyReplica_.timeOfDay = [this] { return timeOfDay(); };
  if (settings.members.enabled) enableMembers(incarnation);
}

void Controller::enableMembers(const std::string& incarnation) {
  metrics_ = std::make_unique<Metrics>();
  members_ = std::make_unique<MemberService>(runtime_, store_, watcher_, replica_, platform_,
                                             settings_.members, jobs_, flows_, metrics_.get(),
                                             std::hash<std::string>{}(incarnation));
  store_.onCommitOutcome = [this](CommitOutcome o) { metrics_->committed(toString(o), leads()); };
  store_.limits().onSetAside = [this] { metrics_->writeSetAside(); };
  metrics_->gauges = [this] {
    MetricGauges g;
    members_->fill(g);
    g.liveJobs = static_cast<double>(replica_.liveJobs().size());
    g.machines = static_cast<double>(replica_.machines().size());
    g.leading = leads() ? 1 : 0;
    g.storeAgeS = toSeconds(std::min(Duration{3600000}, watcher_.snapshotAge()));
    return g;
  };
}

void Controller::start() {
  startedAt_ = runtime_.now();
  lastHeartbeat_ = startedAt_ - Duration{3600000};
  watcher_.setInterval(kFollowerReadInterval);
  watcher_.onApplied = [this](const std::vector<Change>& changes) {
    adoptRaisedToken();
    if (leader_) leader_->onChangesApplied(changes);
  };
  watcher_.onChanged = [this] { onRecordsChanged(); };
  watcher_.onRepeated = [this] { countRepeat("state_read"); };
  forwarder_.onRepeated = [this] { countRepeat("forward"); };
  watcher_.onReload = [this] {
    if (election_.leads()) stepDown("records must be read again", true, Duration{1000});
  };
  jobs_.onCommitted = flows_.onCommitted = [this] {
    if (leader_) {
      leader_->onRecordsChanged();
    } else if (replica_.leader()) {
      peerMembership_.notifyLeader(replica_.leader()->member);
    }
  };
  watcher_.start();
  peerMembership_.onAnswer = [this](const PeerStatus& s, Instant asked) {
    cancellationBarrier_.onPeerStatus(s.member, asked, s.newestCancellation, replica_.revision());
    zoneAcks_.onPeerAnswer(s.member, asked, runtime_.now(), s.zoneAcks);
    leaseLog_.adopt(s.uncertainLeases);
  };
  peerMembership_.onAnnouncement = [this](const PeerStatus& s) {
    if (s.zoneAcks) zoneAcks_.onPeerAnnouncement(runtime_.now(), *s.zoneAcks);
    leaseLog_.adopt(s.uncertainLeases);
  };
  peerMembership_.onRefused = [this](const MemberId& peer) {
    zoneAcks_.onPeerRefused(peer, runtime_.now());
  };
  peerMembership_.start([this] { return status(); }, kStatusExchangeInterval);
  onTimer();
}

void Controller::countRepeat(const char* what) {
  if (metrics_) metrics_->repeated(what);
}

void Controller::onRecordsChanged() {
  if (members_) members_->onRecordsChanged();
  lastToken_ = std::max(lastToken_, replica_.leaderToken());
  if (leader_ && replica_.leaderToken() != election_.token()) {
    stepDown("another leads or the lease ended", false, Duration{0});
  }
  if (leader_) leader_->onRecordsChanged();
  runElection();
}

void Controller::onTimer() {
  runtime_.after(kTimerInterval, [this] { onTimer(); });
  Instant now = runtime_.now();
  if (members_ && lastTimer_ != Instant{}) members_->onTimer(kTimerInterval, now - lastTimer_);
  lastTimer_ = now;
  if (watcher_.isLoaded()) versionWriter_.onTimer();
  if (peerMembership_.anyReachable(kPeerReachableWithin)) lastPeerContact_ = now;
  trackUnreachableLeader(now);
  if (now - lastExpiry_ > kExpiryInterval) expireWorkers(now);
  runElection();
  watchLeadership();
}

// Tracks since when the holder of the leader key has been unreachable, if the holder is a peer.
void Controller::trackUnreachableLeader(Instant now) {
  const auto& keyHolder = replica_.leader();
  if (!keyHolder || keyHolder->member == platform_.member ||
      peerMembership_.recentStatus(keyHolder->member, kPeerReachableWithin)) {
    leaderUnreachableSince_.reset();
  } else if (!leaderUnreachableSince_) {
    leaderUnreachableSince_ = now;
  }
}

// Removes the state of workers that have not sent a heartbeat for a long time.
void Controller::expireWorkers(Instant now) {
  lastExpiry_ = now;
  ackLog_.expire(now);
  leaseLog_.expire(now);
  workerTransport_.expire();
  std::erase_if(redirectedAt_, [&](const auto& e) { return now - e.second > kExpiryInterval; });
}

}  // namespace kestrelhoist
