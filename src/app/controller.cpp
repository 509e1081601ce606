#include "app/controller.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTick{100};
constexpr Duration kFollowerRead{500};
constexpr Duration kLeaderRead{250};
constexpr Duration kMeshEvery{500};
constexpr Duration kForwardTimeout{1800};
constexpr Duration kLeaseRenew{700};
constexpr Duration kStoreTimeout{1000};
constexpr Duration kSweepEvery{30000};
constexpr Duration kUnknownAfter{10000};

Feed::Settings feedSettings(const Platform& p, Duration staleAfter) {
  Feed::Settings s;
  // Reads of all nodes together take at most about half of the state service's rate.
  double gapS = static_cast<double>(p.nodes()) / (0.5 * p.stateRequestsPerS);
  s.minGap = std::max(Duration{10}, fromSeconds(gapS));
  s.timeout = kStoreTimeout;
  s.staleAfter = staleAfter;
  return s;
}

}  // namespace

Controller::Controller(Runtime& runtime, HttpClient& http, PlanRunner& planner,
                       const Platform& platform, const OperatorSettings& settings,
                       const std::string& boot)
    : runtime_(runtime),
      http_(http),
      planner_(planner),
      platform_(platform),
      settings_(settings),
      renewal_(platform),
      witnesses_(platform.peers),
      mesh_(runtime, http, platform),
      stateWay_(runtime, http, mesh_,
                {"state",
                 platform.stateAddress,
                 {"GET", std::string("/store/") + keys::kLeader, ""},
                 kStoreTimeout},
                [](const PeerStatus& s) { return s.storeAge; }),
      cloudWay_(
          runtime, http, mesh_,
          {"cloud", platform.cloudAddress, {"GET", "/machine_types", ""}, 3 * kStoreTimeout},
          // Only leaders ask the cloud: of a follower it is mostly not known, and worth a try.
          [](const PeerStatus& s) {
            return s.cloudAge < kUnknownAfter ? s.cloudAge : Duration{0};
          }),
      workerLine_(runtime, http, mesh_),
      relay_(runtime, mesh_, platform.member),
      store_(runtime, stateWay_, platform.stateAddress,
             platform.stateRequestsPerS / static_cast<double>(platform.nodes())),
      cloud_(runtime, cloudWay_, platform.cloudAddress, platform.cloudRequestsPerS * 0.9),
      versions_(platform),
      versionWriter_(runtime, store_, replica_, versions_, platform.member),
      feed_(runtime, store_, replica_, feedSettings(platform, kStoreSilent)),
      jobs_(runtime, store_, feed_, replica_, platform),
      flows_(runtime, store_, feed_, replica_, platform, settings,
             [this] { return jobs_.catalogue(); }),
      policy_(runtime, store_, feed_, replica_, policyCopy_, platform),
      election_({platform.member, boot, kLeaseLife, kLeaseRenew}),
      // A worker that hangs in a try waits 4 s and then 1 s before the next (PROTOCOL, "Workers").
      scouts_(Duration{5000} * static_cast<int>(platform.nodes() - 1) + Duration{1000},
              platform.workerLease, platform.reportEvery) {
  replica_.add(policyCopy_);
  replica_.add(versions_);
  policyCopy_.timeOfDay = [this] { return timeOfDay(); };
  if (!settings.members.enabled) return;
  metrics_ = std::make_unique<Metrics>();
  members_ = std::make_unique<MemberService>(runtime, store_, feed_, replica_, platform,
                                             settings.members, jobs_, flows_, metrics_.get(),
                                             std::hash<std::string>{}(boot));
  store_.onCommitted = [this](Outcome o) { metrics_->committed(wordOf(o), leads()); };
  metrics_->gauges = [this] {
    MetricGauges g;
    members_->fill(g);
    g.liveJobs = static_cast<double>(replica_.live().size());
    g.machines = static_cast<double>(replica_.machines().size());
    g.leading = leads() ? 1 : 0;
    g.storeAgeS = toSeconds(std::min(Duration{3600000}, feed_.contactAge()));
    return g;
  };
}

void Controller::start() {
  started_ = runtime_.now();
  lastWorker_ = started_ - Duration{3600000};
  feed_.setInterval(kFollowerRead);
  feed_.onChanged = [this] { onRecordsChanged(); };
  feed_.onReload = [this] {
    if (election_.leads()) stepDown("records must be read again", true, Duration{1000});
  };
  jobs_.onCommitted = flows_.onCommitted = [this] {
    if (leader_) {
      leader_->onRecordsChanged();
    } else if (replica_.leader()) {
      mesh_.nudge(replica_.leader()->member);
    }
  };
  feed_.start();
  mesh_.onAnswer = [this](const PeerStatus& s, Instant asked) {
    witnesses_.heard(s.member, asked, s.newestCancellation, replica_.cursor());
  };
  mesh_.start([this] { return status(); }, kMeshEvery);
  tick();
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

void Controller::tick() {
  runtime_.after(kTick, [this] { tick(); });
  Instant now = runtime_.now();
  if (members_ && ticked_ != Instant{}) members_->tick(kTick, now - ticked_);
  ticked_ = now;
  if (feed_.loaded()) versionWriter_.tick();
  if (std::any_of(platform_.peers.begin(), platform_.peers.end(),
                  [&](const Peer& p) { return mesh_.heard(p.member, kMeshHeard); })) {
    lastPeer_ = now;
  }
  const auto& holder = replica_.leader();
  if (!holder || holder->member == platform_.member || mesh_.heard(holder->member, kMeshHeard)) {
    holderUnheardSince_.reset();
  } else if (!holderUnheardSince_) {
    holderUnheardSince_ = now;
  }
  if (now - sweptAt_ > kSweepEvery) {
    sweptAt_ = now;
    answered_.sweep(now);
    workerLine_.sweep();
    std::erase_if(sentAway_, [&](const auto& e) { return now - e.second > kSweepEvery; });
  }
  runElection();
  watchLeadership();
}

// One that has heard workers and hears them no more is cut off from them: it would hold the
// leadership and take all of them for dead (203 healthy machines given back within a second). It
// leaves time for the others to read that the leadership is free. One that has just started does
// not know yet.
Duration Controller::standsAfter() const {
  Duration silence = runtime_.now() - lastWorker_;
  if (silence < platform_.reportEvery * 5 / 4 + Duration{1000}) return Duration{0};
  return lastWorker_ < started_ ? Duration{400} : Duration{1500};
}

void Controller::runElection() {
  Instant now = runtime_.now();
  if (!feed_.loaded()) return;
  Election::View view{feed_.contactAge() < Duration{1000}, replica_.leader(),
                      replica_.leaderToken()};
  // Candidates that hear workers go first; the others follow a little later.
  if (!election_.leads() && view.fresh && !view.leader) {
    if (!leaderMissingSince_) leaderMissingSince_ = now;
    if (now - *leaderMissingSince_ < standsAfter()) return;
  } else {
    leaderMissingSince_.reset();
  }
  bool led = election_.leads();
  auto step = election_.tick(now, view);
  if (led && !election_.leads()) {
    stepDown("another leads or the lease ended", false, Duration{0});
    return;
  }
  switch (step) {
    case Election::Step::none:
    case Election::Step::claim:
      break;
    case Election::Step::grant:
      store_.grantLease(kLeaseLife, kStoreTimeout, [this](std::optional<LeaseId> lease) {
        election_.onGranted(lease);
        if (election_.role() != Election::Role::claiming) return;
        Transaction t;
        t.conditions.push_back({keys::kLeader, Revision{election_.claimStamp().value}});
        t.writes.push_back({keys::kLeader, toJson(election_.record()), lease});
        store_.commit(t, kStoreTimeout, [this, t](CommitResult r) {
          election_.onClaimed(runtime_.now(), r);
          if (r.outcome == Outcome::applied) {
            replica_.apply({t.writes[0].key, t.writes[0].value, r.epoch});
            beginLeadership();
          }
        });
      });
      break;
    case Election::Step::renew:
      store_.renewLease(*election_.lease(), kStoreTimeout, [this](LeaseOutcome o) {
        bool leads = election_.leads();
        election_.onRenewed(o);
        if (leads && !election_.leads()) {
          stepDown("the lease has ended", false, Duration{0});
        }
      });
      break;
  }
  if (election_.leads() && !leader_) beginLeadership();
}

// Acts only once everything up to the election has been read.
void Controller::beginLeadership() {
  if (beginningLeadership_ || leader_ || !election_.leads()) return;
  beginningLeadership_ = true;
  feed_.fresh([this](bool ok) {
    beginningLeadership_ = false;
    if (!ok || leader_ || !election_.leads()) return;
    if (!election_.isMine(replica_.leader()) || replica_.leaderToken() != election_.token()) return;
    feed_.setInterval(kLeaderRead);
    workerLine_.forget();
    Leadership leadership{runtime_,    store_,    feed_,     replica_,          cloud_,
                          workerLine_, platform_, settings_, election_.token(), runtime_.now()};
    leadership.workersReached = [this](Instant sent) { return workerLine_.reachedSince(sent); };
    leadership.inForce = &policyCopy_;
    leadership.allRead = [this](unsigned format) { return versions_.allAtLeast(format); };
    leadership.timeOfDay = [this] { return timeOfDay(); };
    leader_ =
        std::make_unique<Leader>(leadership, planner_, policyCopy_, [this](const ZoneId& zone) {
          return std::any_of(platform_.peers.begin(), platform_.peers.end(), [&](const Peer& p) {
            return p.zone == zone && mesh_.mayLive(p.member);
          });
        });
    for (const auto& [machine, at] : answered_.all())
      leader_->fleet().answeredElsewhere(machine, at);
    askPeersForAnswered();
  });
}

void Controller::stepDown(const std::string& why, bool dropLease, Duration holdBack) {
  logInfo("no longer leading", "token", election_.token(), "why", why);
  lastToken_ = std::max(lastToken_, election_.token());
  auto lease = election_.lease();
  if (dropLease && lease) store_.dropLease(*lease);
  election_.stepDown(runtime_.now() + holdBack);
  feed_.setInterval(kFollowerRead);
  // Not from within one of its own calls.
  if (leader_) {
    std::shared_ptr<Leader> old(std::move(leader_));
    runtime_.after(Duration{0}, [old] {});
  }
}

void Controller::watchLeadership() {
  if (!election_.leads()) return;
  Instant now = runtime_.now();
  for (const auto& [member, seen] : mesh_.statuses()) {
    if (seen.first.token > election_.token()) {
      return stepDown("member " + member.value + " knows a higher token", false, Duration{500});
    }
  }
  Duration silent = feed_.contactAge();
  if (feed_.loaded() && !mayRenew()) {
    return stepDown("no contact with the state service for too long", false, Duration{1000});
  }
  if (feed_.loaded() && silent > kStoreSilent && mesh_.peerWithStore(feed_.failingSince())) {
    return stepDown("the state service answers others but not this node", false, Duration{3000});
  }
  if (!leader_) return;
  // Hears no worker although there are some: cut off from them, or all are gone.
  std::size_t heard = heardMachines();
  bool expects = heard > 0 || std::any_of(replica_.machines().begin(), replica_.machines().end(),
                                          [](const auto& m) { return !m.second.tasks.empty(); });
  Duration unheard = now - std::max(lastWorker_, leader_->fleet().lastHeardAny());
  Duration patience = platform_.reportEvery * 3 / 2 + Duration{2000};
  // After a failover workers first give up on the old leader (4 s) and try nodes in turn (1 s
  // each). A new leader that resigned meanwhile, because they were heard elsewhere in passing,
  // would cost all of them their leases.
  if (heard == 0) patience += Duration{6000};
  if (!expects || unheard < patience) return;
  bool peersHear = false, anyPeer = platform_.peers.empty();
  for (const auto& peer : platform_.peers) {
    const auto* s = mesh_.heard(peer.member, kMeshHeard);
    anyPeer = anyPeer || s;
    // Whoever hears workers passes their reports on to here: another leader would hear no more.
    if (s && s->relays && unheard < patience + platform_.workerLease / 2) return;
    peersHear = peersHear || (s && s->workersAge < unheard);
  }
  // Several machines do not fall silent in one moment unless the way to them is cut: no need to
  // wait until they have turned up elsewhere, which takes a worker's patience out of its lease.
  constexpr std::size_t kSeveral = 3;
  if (peersHear || !anyPeer || heard >= kSeveral) {
    stepDown("no worker reports here", true, 5 * platform_.reportEvery + Duration{10000});
  }
}

PeerStatus Controller::status() const {
  PeerStatus s;
  s.member = platform_.member;
  s.token = std::max(election_.leads() ? election_.token() : Token{}, replica_.leaderToken());
  s.leading = leader_ != nullptr;
  // By its own links: what peers reach for it is not for others to build on.
  auto ageOf = [now = runtime_.now()](const Link& link) {
    if (!link.lastGood()) return Duration{3600000};
    return std::clamp(now - *link.lastGood(), Duration{0}, Duration{3600000});
  };
  s.storeAge = ageOf(stateWay_.link());
  s.cloudAge = ageOf(cloudWay_.link());
  s.relays = true;
  s.wallMs = runtime_.wallMillis();
  s.workersAge = std::min(Duration{3600000}, std::max(Duration{0}, runtime_.now() - lastWorker_));
  if (feed_.loaded()) s.newestCancellation = replica_.newestCancellation();
  s.ready = feed_.loaded() && jobs_.catalogue() != nullptr;
  s.deaf = leader_ && heardMachines() > 0 &&
           s.workersAge > platform_.reportEvery * 3 / 2 + Duration{500};
  return s;
}

// The middle of what this controller's clock and its peers' say: one whose clock steps by minutes
// neither opens a period nor closes one.
std::int64_t Controller::timeOfDay() const {
  std::vector<std::int64_t> clocks{runtime_.wallMillis()};
  for (const auto& peer : platform_.peers) {
    if (const auto* s = mesh_.heard(peer.member, kMeshHeard); s && s->wallLessSteady) {
      clocks.push_back(runtime_.now().ms + *s->wallLessSteady);
    }
  }
  std::sort(clocks.begin(), clocks.end());
  return clocks[(clocks.size() - 1) / 2];
}

std::size_t Controller::heardMachines() const {
  return leader_ ? leader_->fleet().heardCount() : 0;
}

Response Controller::ready() {
  bool serves = feed_.loaded() && jobs_.catalogue();
  // A common outage must not take all nodes out of the balancer; a node that alone lost the
  // state service passes requests on to its peers; one that hears nobody steps out.
  if (serves && !feed_.reachable() && feed_.contactAge() > kStoreSilent) {
    serves = std::any_of(platform_.peers.begin(), platform_.peers.end(),
                         [&](const Peer& p) { return mesh_.heard(p.member, kMeshHeard); });
  }
  return jsonResponse(serves ? 200 : 503, Json::object());
}

bool Controller::answerUser(const Request& request, const Respond& respond, bool hold) {
  if (members_) return members_->handle(request, respond, hold);
  return jobs_.handle(request, respond) || flows_.handle(request, respond);
}

void Controller::onApi(const Request& request, const Respond& respond, bool secure) {
  std::string path = request.path.substr(0, request.path.find('?'));
  if (path == "/agent/beat") {
    if (request.method != "POST") return respond(jsonResponse(405, {{"error", "wrong method"}}));
    return onBeat(request, respond);
  }
  if (path == "/ready") {
    if (request.method != "GET") return respond(jsonResponse(405, {{"error", "wrong method"}}));
    return respond(ready());
  }
  bool ofUsers = path.starts_with("/v2/runs") ||
                 (settings_.flows && path.starts_with("/v2/flows")) ||
                 (members_ && path.starts_with("/v2/"));
  if (ofUsers && members_ && !secure && !settings_.members.plainUsers &&
      !path.starts_with("/v2/flows/tasks/")) {
    return respond(jsonResponse(403, {{"error", "members come with TLS, see docs/members.md"}}));
  }
  if (ofUsers && !feed_.reachable()) {
    if (auto peer = mesh_.peerWithStore(feed_.failingSince())) {
      mesh_.forward(*peer, request, kForwardTimeout, [respond](std::optional<Response> r) {
        respond(r ? Response{r->status, r->body, r->status >= 429 ? 1 : 0} : retryLater(503));
      });
      return;
    }
  }
  const auto query = request.path.find("?why");
  bool why = query != std::string::npos && request.method == "GET" && path.starts_with("/v2/runs/");
  if (!answerUser(request, why ? withReasons(respond) : respond, true))
    respond(jsonResponse(404, {{"error", "no such path"}}));
}

Respond Controller::withReasons(const Respond& respond) {
  return [this, respond](const Response& r) {
    auto body = r.status == 200 ? decodeBody(r.body) : std::nullopt;
    auto ref = body ? textField(*body, body->contains("job") ? "job" : "ref") : std::nullopt;
    if (!ref) return respond(r);
    auto tell = [respond, body = *body](const Json& why) mutable {
      body["why"] = why;
      respond(jsonResponse(200, body));
    };
    const Json nobody = {{"leader", nullptr}, {"waits", Json::array()}};
    if (leader_) return tell(leader_->why(JobId{*ref}));
    std::optional<MemberId> leader;
    Token newest;
    for (const auto& peer : platform_.peers) {
      const auto* seen = mesh_.heard(peer.member, kMeshHeard);
      if (seen && seen->leading && seen->token >= newest) {
        leader = peer.member;
        newest = seen->token;
      }
    }
    if (!leader) return tell(nobody);
    mesh_.send(*leader, {"GET", "/mesh/why/" + *ref, ""}, kForwardTimeout,
               [tell, nobody](const std::optional<Response>& answer) mutable {
                 auto why =
                     answer && answer->status == 200 ? decodeBody(answer->body) : std::nullopt;
                 tell(why ? *why : nobody);
               });
  };
}

void Controller::onMesh(const Request& request, const Respond& respond) {
  std::string path = request.path.substr(0, request.path.find('?'));
  if (path == "/mesh/hello" && request.method == "POST") return respond(mesh_.onHello(request));
  if (path == "/mesh/nudge" && request.method == "POST") {
    feed_.fresh([](bool) {});
    return respond(jsonResponse(200, Json::object()));
  }
  if (policy_.handle(request, respond) || onMeshService(request, respond)) return;
  const std::string user = "/mesh/user";
  if (path.starts_with(user + "/")) {
    // Answered from this node's own reads; never passed on again.
    Request inner = request;
    inner.path = request.path.substr(user.size());
    if (answerUser(inner, respond, false)) return;
  }
  respond(jsonResponse(404, {{"error", "no such path"}}));
}

}  // namespace kestrelhoist
