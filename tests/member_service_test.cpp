// These tests run complete controllers with member keys in virtual time. They check the isolation
// between members, the answers to invalid and revoked keys, the delays that a flood of requests by
// one member causes for others, and the handling of malformed requests.
#include <rapidcheck.h>

#include "base/log.hpp"
#include "member_user.hpp"

namespace kestrelhoist::sim {
namespace {

WorldSettings quiet(std::uint64_t seed = 1) {
  spdlog::set_level(spdlog::level::off);
  WorldSettings s;
  s.seed = seed;
  s.members = true;
  s.onDemandPerZone = s.spotPerZone = 0;  // No machine can be rented, so no task runs.
  return s;
}

Request with(const std::string& key, const std::string& method, const std::string& path,
             const Json& body = nullptr) {
  return {method, path, body.is_null() ? "" : encodeBody(body), key};
}

Json submission(const std::string& ref, int tasks = 1) { return client::toBody(jobOf(tasks), ref); }

struct MemberCall {
  int what, ref, tasks, limit;
  bool other;  // Whether the rival member makes this call, in the world that has a rival.
};

Request requestOf(const MemberCall& c, const std::string& key, const std::string& team,
                  const std::string& cursor) {
  std::string ref = "j-" + std::to_string(100 + c.ref);
  Json job = submission(ref, c.tasks);
  job["owner"] = team;
  switch (c.what) {
    case 0:
    case 1:
      return with(key, "POST", "/v2/runs", job);
    case 2:
      return with(key, "GET", "/v2/runs/" + ref);
    case 3:
      return with(key, "POST", "/v2/runs/" + ref + "/abort");
    case 4:
      return with(key, "GET", "/v2/jobs?limit=" + std::to_string(c.limit) + "&since=" + cursor);
    case 5:
      return with(key, "GET", "/v2/jobs?phase=pending&since=" + cursor);
    case 6:
      return with(key, "GET", "/v2/keys");
    default:
      return with(key, "GET", "/v2/whoami");
  }
}

// Returns the responses to the member's calls without cursors and times of day, which differ
// between two runs of the same calls.
std::vector<std::string> told(const std::vector<MemberCall>& calls, bool withRival, bool sameTeam) {
  World w(quiet());
  w.runFor(10);
  // Both worlds create both members' keys, so that their stored keys are the same.
  std::string ana = makeKey(w, "team", "ana");
  std::string rivalTeam = sameTeam ? "team" : "rival";
  std::string rival = makeKey(w, rivalTeam, "rob");
  MemberUser user(w, "ana", ana, 3), other(w, "rob", rival, 4);
  std::vector<std::string> out;
  std::string cursor, otherCursor;
  for (const auto& c : calls) {
    if (c.other) {
      if (!withRival) continue;
      auto r = other.raw(requestOf(c, rival, rivalTeam, otherCursor), c.ref % 3);
      if (auto body = decodeBody(r.body)) otherCursor = textField(*body, "cursor").value_or("");
      continue;
    }
    auto r = user.raw(requestOf(c, ana, "team", cursor), c.ref % 3);
    auto body = decodeBody(r.body).value_or(Json());
    if (auto next = textField(body, "cursor")) {
      cursor = *next;
      body["cursor"] = next->size();
    }
    if (body.contains("key")) body["key"] = "";
    if (body.contains("at_ms")) body["at_ms"] = 0;
    for (auto& job : body.contains("jobs") ? body["jobs"] : body) {
      if (job.is_object() && job.contains("at_ms")) job["at_ms"] = 0;
    }
    out.push_back(std::to_string(c.what) + " " + std::to_string(r.status) + " " +
                  std::to_string(r.retryAfterS) + " " + body.dump());
  }
  return out;
}

TEST(MemberProperty, AMemberLearnsNothingOfAnother) {
  int round = 0;
  EXPECT_TRUE(rc::check([&] {
    if (++round > 25) return;
    auto call =
        rc::gen::build<MemberCall>(rc::gen::set(&MemberCall::what, rc::gen::inRange(0, 8)),
                                   rc::gen::set(&MemberCall::ref, rc::gen::inRange(0, 6)),
                                   rc::gen::set(&MemberCall::tasks, rc::gen::inRange(1, 3)),
                                   rc::gen::set(&MemberCall::limit, rc::gen::inRange(1, 5)),
                                   rc::gen::set(&MemberCall::other, rc::gen::arbitrary<bool>()));
    auto calls = *rc::gen::container<std::vector<MemberCall>>(30, call);
    bool sameTeam = *rc::gen::arbitrary<bool>();
    RC_ASSERT(told(calls, true, sameTeam) == told(calls, false, sameTeam));
  }));
}

TEST(MemberService, AnothersJobIsAnsweredLikeNone) {
  World w(quiet());
  w.runFor(10);
  std::string ana = makeKey(w, "team", "ana"), rob = makeKey(w, "rival", "rob");
  MemberUser user(w, "u", ana, 3);
  ASSERT_EQ(user.raw(with(ana, "POST", "/v2/runs", submission("j-7"))).status, 201);
  for (const char* tail : {"", "/abort"}) {
    std::string method = *tail ? "POST" : "GET";
    auto known = user.raw(with(rob, method, std::string("/v2/runs/j-7") + tail));
    auto none = user.raw(with(rob, method, std::string("/v2/runs/j-8") + tail));
    EXPECT_EQ(known.status, 404);
    EXPECT_EQ(known.body, none.body);
  }
  // Another member can't reach the job by its internal id, which workers receive, and a user
  // without a key can reach it by neither id.
  std::string inner = memberJob({TeamId{"team"}, "ana"}, "j-7").value;
  EXPECT_EQ(user.raw(with(rob, "GET", "/v2/runs/" + inner)).status, 404);
  EXPECT_EQ(user.raw(with("", "GET", "/v2/runs/j-7")).status, 404);
  EXPECT_EQ(user.raw(with("", "GET", "/v2/runs/" + inner)).status, 404);
  // The same job id denotes a separate job for each member and for users without a key.
  Json theirs = submission("j-7", 2);
  theirs["owner"] = "rival";
  EXPECT_EQ(user.raw(with(rob, "POST", "/v2/runs", theirs)).status, 201);
  EXPECT_EQ(user.raw(with("", "POST", "/v2/runs", submission("j-7"))).status, 201);
  // A member can't submit a job for another team by naming this team in the body.
  EXPECT_EQ(user.raw(with(rob, "POST", "/v2/runs", submission("j-9"))).status, 403);
  // A cursor that was issued to another member is rejected.
  auto page = decodeBody(user.raw(with(ana, "GET", "/v2/jobs")).body);
  ASSERT_TRUE(page);
  EXPECT_EQ((*page)["jobs"].size(), 1U);
  EXPECT_EQ(
      user.raw(with(rob, "GET", "/v2/jobs?since=" + textField(*page, "cursor").value())).status,
      410);
}

TEST(MemberService, BadKeysAreAllAnsweredAlike) {
  World w(quiet());
  w.runFor(10);
  std::string ana = makeKey(w, "team", "ana", "read");
  MemberUser user(w, "u", ana, 3);
  std::string flipped = ana, cut = ana.substr(0, ana.size() - 1);
  flipped[30] = flipped[30] == 'A' ? 'B' : 'A';
  Credential unknown = generateCredential();
  std::string crossed = "kh_" + parseCredential(ana)->id.value + "_" + rootCredential().secret;
  std::string first;
  for (const auto& bad : {flipped, cut, ana + "x", unknown.str(), crossed, std::string("kh_"),
                          std::string("?"), std::string(4000, 'k')}) {
    auto r = user.raw(with(bad, "GET", "/v2/whoami"));
    EXPECT_EQ(r.status, 401) << bad;
    if (first.empty()) first = r.body;
    EXPECT_EQ(r.body, first);
  }
  EXPECT_EQ(user.raw(with(ana, "GET", "/v2/whoami")).status, 200);
  EXPECT_EQ(user.raw(with(ana, "POST", "/v2/runs", submission("j-1"))).status, 403);
  EXPECT_EQ(user.raw(with(ana, "POST", "/v2/runs/j-1/abort")).status, 403);
  EXPECT_EQ(user.raw(with(ana, "GET", "/v2/keys")).status, 403);
  // The operator's root key may create keys but may not read jobs.
  EXPECT_EQ(user.raw(with(rootCredential().str(), "GET", "/v2/runs/j-1")).status, 403);
}

TEST(MemberService, AdminsManageTheirOwnTeamOnly) {
  World w(quiet());
  w.runFor(10);
  std::string admin = makeKey(w, "team", "eve", "admin"), rob = makeKey(w, "rival", "rob");
  MemberUser eve(w, "eve", admin, 3);
  auto made = eve.await<client::KeyInfo>([&](auto done) {
    return eve.jobs->makeKey("team", "ana", "read", "", Duration{60000}, done);
  });
  ASSERT_TRUE(made) << made.error().text();
  auto no = eve.await<client::KeyInfo>([&](auto done) {
    return eve.jobs->makeKey("rival", "x", "read", "", Duration{60000}, done);
  });
  ASSERT_FALSE(no);
  EXPECT_EQ(no.error().kind, client::ErrorKind::notPermitted);
  auto theirs = eve.await<client::KeyInfo>([&](auto done) {
    return eve.jobs->revokeKey(parseCredential(rob)->id.value, Duration{0}, Duration{60000}, done);
  });
  ASSERT_FALSE(theirs);
  EXPECT_EQ(theirs.error().kind, client::ErrorKind::unknown);
  auto all = eve.await<std::vector<client::KeyInfo>>(
      [&](auto done) { return eve.jobs->keys("", "", Duration{60000}, done); });
  ASSERT_TRUE(all);
  EXPECT_EQ(all->size(), 2U);
  // After a rotation, the old key stays valid for its grace period only.
  std::string old = made->secret;
  auto next = eve.await<client::KeyInfo>([&](auto done) {
    return eve.jobs->rotateKey(made->id, Duration{20000}, Duration{60000}, done);
  });
  ASSERT_TRUE(next) << next.error().text();
  EXPECT_EQ(eve.raw(with(old, "GET", "/v2/whoami"), 1).status, 200);
  EXPECT_EQ(eve.raw(with(next->secret, "GET", "/v2/whoami"), 2).status, 200);
  w.runFor(25);
  for (int node = 0; node < 3; ++node) {
    EXPECT_EQ(eve.raw(with(old, "GET", "/v2/whoami"), node).status, 401);
    EXPECT_EQ(eve.raw(with(next->secret, "GET", "/v2/whoami"), node).status, 200);
  }
}

// A revoked key is rejected by every controller after 10 s at the latest, even by a controller that
// can't learn of the revocation. A controller that reaches the state service rejects it after 1 s.
TEST(MemberService, ARevokedKeyEndsInTheTimeStated) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    World w(quiet(seed));
    w.runFor(10);
    std::string ana = makeKey(w, "team", "ana");
    MemberUser user(w, "u", ana, 3), root(w, "operator", rootCredential().str(), 5);
    ASSERT_EQ(user.raw(with(ana, "POST", "/v2/runs", submission("j-1"))).status, 201);
    ASSERT_EQ(user.raw(with(ana, "POST", "/v2/runs/j-1/abort")).status, 200);
    bool cut = seed % 2 == 0;
    // In every second world, node2 is disconnected from the state service and its peers, so it
    // still has the old state of the key.
    if (cut) w.network.cut("node2", {"state", "node0", "node1"}, CutMode::drop, 60000);
    auto ended = root.await<client::KeyInfo>([&](auto done) {
      return root.jobs->revokeKey(parseCredential(ana)->id.value, Duration{0}, Duration{60000},
                                  done);
    });
    ASSERT_TRUE(ended) << ended.error().text();
    if (seed % 3 == 0) w.state.outage(30000);
    double at = w.now();
    w.runFor(1);
    while (w.now() < at + 40) {
      for (int node = 0; node < 3; ++node) {
        auto r = user.raw(with(ana, "GET", "/v2/runs/j-1"), node);
        bool mayStill = (cut && node == 2) || seed % 3 == 0;
        if (mayStill && w.now() < at + 10) continue;
        EXPECT_TRUE(r.status == 401 || r.status == 503 || r.status == 0)
            << "node " << node << " answered " << r.status << " after " << w.now() - at;
      }
      w.runFor(1.5);
    }
  }
}

// A repeated submission or cancellation has no further effect at any controller.
TEST(MemberService, ReplayedRequestsChangeNothing) {
  World w(quiet());
  w.runFor(10);
  std::string ana = makeKey(w, "team", "ana");
  MemberUser user(w, "u", ana, 3);
  auto submit = with(ana, "POST", "/v2/runs", submission("j-1"));
  auto cancel = with(ana, "POST", "/v2/runs/j-1/abort");
  EXPECT_EQ(user.raw(submit).status, 201);
  EXPECT_EQ(user.raw(cancel).status, 200);
  for (int node = 0; node < 3; ++node) {
    auto again = user.raw(submit, node);
    EXPECT_EQ(again.status, 200);
    EXPECT_EQ(textField(*decodeBody(again.body), "phase"), "withdrawn");
    EXPECT_EQ(user.raw(cancel, node).status, 200);
  }
  EXPECT_EQ(w.state.keysBelow("kh/job/m-").size(), 1U);
}

// Returns the sorted response times in ms of a member that submits a job every 500 ms.
std::vector<double> timesOf(bool flood) {
  World w(quiet(3));
  w.runFor(10);
  std::string ana = makeKey(w, "team", "ana"), rob = makeKey(w, "rival", "rob");
  MemberUser user(w, "ana", ana, 3), other(w, "rob", rob, 4);
  std::vector<double> times;
  int refused = 0;
  double until = w.now() + 60;
  std::function<void(int)> flooding = [&](int n) {
    if (!flood || w.now() > until) return;
    Json job = submission("j-" + std::to_string(n));
    job["owner"] = "rival";
    for (int k = 0; k < 20; ++k) {
      job["ref"] = "j-" + std::to_string(20 * n + k);
      other.runtime().send(w.nodeApi(k % 3), with(rob, "POST", "/v2/runs", job), Duration{5000},
                           [&](std::optional<Response> r) {
                             if (r && r->status == 429) {
                               ++refused;
                               EXPECT_GE(r->retryAfterS, 1);
                             }
                           });
    }
    other.runtime().after(Duration{50}, [&flooding, n] { flooding(n + 1); });
  };
  flooding(0);
  std::function<void(int)> asking = [&](int n) {
    if (w.now() > until) return;
    auto sent = w.now();
    user.runtime().send(w.nodeApi(n % 3),
                        with(ana, "POST", "/v2/runs", submission("j-" + std::to_string(n))),
                        Duration{5000}, [&, sent](std::optional<Response> r) {
                          times.push_back(r && r->status == 201 ? (w.now() - sent) * 1000 : 1e6);
                        });
    user.runtime().after(Duration{500}, [&asking, n] { asking(n + 1); });
  };
  asking(0);
  w.runFor(70);
  EXPECT_EQ(refused > 10000, flood);
  std::sort(times.begin(), times.end());
  return times;
}

// One member sends 400 submissions per second, and the state service accepts 25 transactions per
// second. All submissions of another member are still accepted, and fair scheduling between members
// bounds their delay.
TEST(MemberService, AFloodCostsTheOthersNoMoreThanATurn) {
  auto calm = timesOf(false), flooded = timesOf(true);
  ASSERT_EQ(calm.size(), flooded.size());
  auto p99 = [](const std::vector<double>& t) { return t[t.size() * 99 / 100]; };
  RecordProperty("calm_p99_ms", std::to_string(p99(calm)));
  RecordProperty("flooded_p99_ms", std::to_string(p99(flooded)));
  EXPECT_LT(flooded.back(), 1e6) << "one was not accepted";
  EXPECT_LT(p99(flooded), p99(calm) + 1500);
}

TEST(MemberService, MutatedRequestsGetTheirStatusAndHarmNobody) {
  World w(quiet());
  w.runFor(10);
  std::string ana = makeKey(w, "team", "ana");
  MemberUser user(w, "u", ana, 3);
  std::mt19937_64 random(11);
  auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
  std::string job = encodeBody(submission("j-5"));
  std::string key = encodeBody({{"key", std::string(16, 'a')},
                                {"hash", std::string(64, 'b')},
                                {"team", "team"},
                                {"member", "x"},
                                {"rights", "read"}});
  std::map<int, int> seen;
  for (int i = 0; i < 1500; ++i) {
    bool keys = i % 3 == 0;
    Request q = keys ? Request{"POST", "/v2/keys", key, rootCredential().str()}
                     : Request{"POST", "/v2/runs", job, ana};
    for (std::size_t k = 0; k <= pick(4); ++k) {
      std::string& where = pick(6) == 0 ? q.path : q.body;
      if (where.empty()) continue;
      switch (pick(4)) {
        case 0:
          where[pick(where.size())] = static_cast<char>(random());
          break;
        case 1:
          where.erase(pick(where.size()), 1 + pick(8));
          break;
        case 2:
          where.insert(pick(where.size()), std::string(1 + pick(4), static_cast<char>(random())));
          break;
        default:
          where.resize(pick(where.size()) + 1);
      }
    }
    auto r = user.raw(q, static_cast<int>(pick(3)));
    ++seen[r.status];
    EXPECT_NE(r.status, 0);
    EXPECT_NE(r.status, 500) << q.method << " " << q.path;
    if (i % 100 == 0) w.runFor(20);  // The pause keeps the member below its rate limit.
  }
  EXPECT_GT(seen[400], 300);
  // Unusual query parameters must get status 200, 400 or 410.
  for (const char* query : {"limit=0", "limit=x", "limit=99999999999999999999", "wait_ms=-1",
                            "phase=no", "since=%00", "since=AAAA", "limit=1&limit=2", "&&&=&"}) {
    auto r = user.raw(with(ana, "GET", std::string("/v2/jobs?") + query));
    EXPECT_TRUE(r.status == 400 || r.status == 410 || r.status == 200) << query << r.status;
  }
  EXPECT_EQ(user.raw(with(ana, "GET", "/v2/whoami")).status, 200);
}

TEST(MemberService, WatchesAreBoundedAndAnsweredAtTheirInterval) {
  World w(quiet());
  w.runFor(10);
  std::string ana = makeKey(w, "team", "ana"), rob = makeKey(w, "rival", "rob");
  MemberUser user(w, "u", ana, 3);
  auto cursor =
      textField(*decodeBody(user.raw(with(ana, "GET", "/v2/jobs")).body), "cursor").value();
  std::map<int, int> statuses;
  std::size_t jobsTold = 0;
  auto watch = [&](int ms) {
    user.runtime().send(
        w.nodeApi(0),
        with(ana, "GET", "/v2/jobs?since=" + cursor + "&wait_ms=" + std::to_string(ms)),
        Duration{60000}, [&](std::optional<Response> r) {
          ++statuses[r ? r->status : 0];
          if (r && r->status == 200) jobsTold += (*decodeBody(r->body))["jobs"].size();
        });
  };
  for (int i = 0; i < 100; ++i) watch(20000);
  w.runFor(5);
  // At most 64 watches of one member are held; the other 36 are rejected immediately.
  EXPECT_EQ(statuses, (std::map<int, int>{{429, 36}}));
  // A new job of another member doesn't complete the held watches.
  Json theirs = submission("j-1");
  theirs["owner"] = "rival";
  EXPECT_EQ(user.raw(with(rob, "POST", "/v2/runs", theirs), 1).status, 201);
  w.runFor(3);
  EXPECT_EQ(statuses[200], 0);
  EXPECT_EQ(user.raw(with(ana, "POST", "/v2/runs", submission("j-1")), 1).status, 201);
  w.runFor(2);
  EXPECT_EQ(statuses[200], 64);
  EXPECT_EQ(jobsTold, 64U);
  // A watch without changes is answered after its wait_ms.
  cursor = textField(*decodeBody(user.raw(with(ana, "GET", "/v2/jobs?since=now")).body), "cursor")
               .value();
  statuses.clear();
  watch(5000);
  w.runFor(4.5);
  EXPECT_TRUE(statuses.empty());
  w.runFor(1);
  EXPECT_EQ(statuses[200], 1);
}

}  // namespace
}  // namespace kestrelhoist::sim
