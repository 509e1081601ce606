// These tests run the client core against complete controllers in virtual time. Controllers crash
// or become unreachable, the state service fails, requests are delayed, responses get lost, and the
// client restarts. The tests guard against duplicate jobs, lost jobs, job ends that are reported
// twice, and errors of the wrong kind.
#include "base/log.hpp"
#include "member_user.hpp"

namespace kestrelhoist::sim {
namespace {

using client::ErrorKind;

constexpr int kJobs = 10;
const Owner kAna{TeamId{"team"}, "ana"};

std::string batch(int i) { return "drawer-" + std::to_string(i); }

// One run of a user script, from its start to its restart or end. The script submits its batch of
// jobs and watches them until they end.
struct Script {
  Script(World& world, const std::string& key, int life, std::uint64_t seed)
      : user(world, "script-" + std::to_string(life), key, seed) {
    std::vector<std::string> ids;
    for (int i = 0; i < kJobs; ++i) {
      ids.push_back(refForIdempotencyKey(kAna, batch(i)));
      auto delay = Duration{static_cast<std::int64_t>(seed * 7919 * (i + 1) % 20000)};
      user.runtime().after(delay, [this, i] { submit(i); });
    }
  }
  void submit(int i) {
    client::Job job = jobOf(3);
    steps.push_back(user.jobs->submit(
        job, batch(i), "", Duration{60000}, [this, i](client::Result<client::JobState> r) {
          note(r ? std::nullopt : std::optional(r.error()));
          if (!r) return submit(i);  // The retry resolves an unknown outcome.
          accepted.insert(i);
          if (accepted.size() == kJobs) watch();
        }));
  }
  void watch() {
    std::vector<std::string> ids;
    for (int i = 0; i < kJobs; ++i) ids.push_back(refForIdempotencyKey(kAna, batch(i)));
    watcher = std::make_shared<client::JobWatcher>(
        *user.jobs, ids, "",
        [this](const client::JobWatcher::Update& t) {
          if (t.job.hasEnded()) ++ends[t.job.id];
          auto& last = phases[t.job.id];
          if (t.job.phase < last) wrong.push_back(t.job.id + " went back");
          last = t.job.phase;
        },
        [this](std::optional<client::Error> e) {
          over = true;
          note(std::move(e));
        });
    watcher->start();
  }
  void note(const std::optional<client::Error>& e) {
    if (!e) return;
    switch (e->kind) {
      case ErrorKind::throttled:
      case ErrorKind::unavailable:
      case ErrorKind::deadlinePassed:
      case ErrorKind::outcomeUnknown:
        return;
      default:
        wrong.push_back(e->text());
    }
  }
  MemberUser user;
  std::vector<client::PendingCallPtr> steps;
  std::shared_ptr<client::JobWatcher> watcher;
  std::set<int> accepted;
  std::map<std::string, int> ends;
  std::map<std::string, client::Phase> phases;
  std::vector<std::string> wrong;
  bool over = false;
};

void fault(World& w) {
  auto pick = [&](std::uint64_t n) { return static_cast<int>(w.random() % n); };
  int node = pick(3);
  auto ms = static_cast<std::int64_t>(1000 + pick(20000));
  auto mode = static_cast<CutMode>(pick(3));
  std::string name = "node" + std::to_string(node);
  switch (pick(9)) {
    case 0:
    case 1:
      return w.crash(node);
    case 2:
      return w.crash(w.parseController("leader"));
    case 3:
      for (int i = 0; i < 3; ++i) w.crash(i, 3000 + pick(4000));
      return;
    case 4:
      return w.network.cut(name, {"state"}, mode, ms);
    case 5:
      return w.network.cut(name, {}, mode, ms);
    case 6:
      return w.state.outage(ms / 2);
    case 7:
      return w.state.rejectRequestsFrom(name, ms);
    default:
      w.network.responseLossShare = pick(2) * 0.1;
      w.network.lateRequestShare = pick(2) * 0.05;
  }
}

void play(std::uint64_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  WorldSettings settings;
  settings.seed = seed;
  settings.members = true;
  World w(settings);
  for (int i = 0; i < kJobs; ++i) {
    JobPlan plan;
    plan.id = memberJob(kAna, refForIdempotencyKey(kAna, batch(i))).value;
    plan.tasks = 3;
    plan.runS = 5;
    plan.spot = true;
    w.expectJob(plan);
  }
  w.runFor(10);
  std::string key = makeKey(w, "team", "ana");
  auto script = std::make_unique<Script>(w, key, 0, seed);
  int life = 0;
  auto check = [&] {
    for (const auto& s : script->wrong) ADD_FAILURE() << s;
    for (const auto& [id, n] : script->ends) EXPECT_EQ(n, 1) << id;
  };
  for (int i = 0; i < 12; ++i) {
    w.runFor(1 + static_cast<double>(w.random() % 8000) / 1000.0);
    fault(w);
    if (w.random() % 5 == 0) {
      check();
      ++life;
      script = std::make_unique<Script>(w, key, life, seed + 100 * static_cast<unsigned>(life));
    }
  }
  w.network.responseLossShare = w.network.lateRequestShare = 0;
  w.runFor(300);
  check();
  EXPECT_TRUE(script->over);
  EXPECT_EQ(script->ends.size(), kJobs);
  EXPECT_EQ(w.state.keysBelow("kh/job/m-").size(), kJobs);
  EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

class ClientWorld : public testing::TestWithParam<std::uint64_t> {};
TEST_P(ClientWorld, OneJobASubmissionOneEndAJob) {
  spdlog::set_level(spdlog::level::off);
  play(GetParam());
}
INSTANTIATE_TEST_SUITE_P(Seeds, ClientWorld, testing::Range<std::uint64_t>(1, 25));

// This test runs only by hand, with KESTRELHOIST_SEEDS=FIRST-LAST for a range of thousands of
// seeds.
TEST(ClientWorldLong, ManySeeds) {
  const char* range = std::getenv("KESTRELHOIST_SEEDS");
  unsigned first = 0, last = 0;
  if (!range || std::sscanf(range, "%u-%u", &first, &last) != 2) GTEST_SKIP();
  spdlog::set_level(spdlog::level::off);
  for (unsigned seed = first; seed <= last; ++seed) play(seed);
}

// This test guards against a retry storm: while the state service is down, all calls of a client
// share one retry budget.
TEST(ClientWorld, RetriesStayWithinTheirBudget) {
  spdlog::set_level(spdlog::level::off);
  WorldSettings settings;
  settings.members = true;
  World w(settings);
  w.runFor(10);
  std::string key = makeKey(w, "team", "ana");
  MemberUser user(w, "script", key, 3);
  w.state.outage(60000);
  int ended = 0;
  std::vector<client::PendingCallPtr> steps;
  for (int i = 0; i < 200; ++i) {
    steps.push_back(user.jobs->get(
        "j-" + std::to_string(i), Duration{50000}, [&](client::Result<client::JobState> r) {
          ++ended;
          ASSERT_FALSE(r);
          EXPECT_EQ(r.error().kind, ErrorKind::unavailable) << r.error().text();
        }));
  }
  w.runFor(60);
  EXPECT_EQ(ended, 200);
  const auto& c = user.caller->counts();
  // The retry budget is 2 per second over 50 s, a burst of 20 and 0.1 per call. Without a budget,
  // each of the 200 calls would retry every few seconds.
  EXPECT_LE(c.requests - c.calls, 160U);
}

TEST(ClientWorld, GivenUpCallsEndAtOnceAndWatchesSayNothingMore) {
  spdlog::set_level(spdlog::level::off);
  WorldSettings settings;
  settings.members = true;
  World w(settings);
  w.runFor(10);
  MemberUser user(w, "script", makeKey(w, "team", "ana"), 3);
  w.state.outage(30000);
  std::optional<ErrorKind> how;
  auto steps = user.jobs->submit(jobOf(), "b", "", Duration{60000},
                                 [&](client::Result<client::JobState> r) { how = r.error().kind; });
  w.runFor(2);
  EXPECT_FALSE(how);
  steps->stop();
  w.runFor(0.1);
  EXPECT_EQ(how, ErrorKind::cancelled);
  bool told = false;
  auto watcher = std::make_shared<client::JobWatcher>(
      *user.jobs, std::vector<std::string>{}, "", [&](const auto&) { told = true; },
      [&](const auto&) { told = true; });
  watcher->start();
  w.runFor(1);
  watcher->stop();
  w.runFor(60);
  EXPECT_FALSE(told);
}

// A watch of all jobs resumes from its cursor at another controller and neither misses nor repeats
// an event.
TEST(ClientWorld, AWatchGoesOnFromItsCursorElsewhere) {
  spdlog::set_level(spdlog::level::off);
  WorldSettings settings;
  settings.members = true;
  settings.onDemandPerZone = settings.spotPerZone =
      0;  // No task can run, so each job has one event.
  World w(settings);
  w.runFor(10);
  std::string key = makeKey(w, "team", "ana");
  MemberUser submitter(w, "script", key, 3);
  std::map<std::string, int> told;
  std::string cursor;
  int submitted = 0;
  for (int round = 0; round < 6; ++round) {
    // The seed of each round selects the controller at which the watch starts.
    MemberUser user(w, "watch-" + std::to_string(round), key, static_cast<unsigned>(round) + 10);
    auto watcher = std::make_shared<client::JobWatcher>(
        *user.jobs, std::vector<std::string>{}, cursor,
        [&](const client::JobWatcher::Update& t) {
          ++told[t.job.id];
          if (!t.cursor.empty()) cursor = t.cursor;
        },
        [](const auto&) {});
    watcher->start();
    for (int i = 0; i < 5; ++i) {
      ++submitted;
      auto r = submitter.await<client::JobState>([&](auto done) {
        return submitter.jobs->submit(jobOf(), batch(submitted), "", Duration{60000}, done);
      });
      ASSERT_TRUE(r) << r.error().text();
      if (i == 2) w.crash(w.parseController("leader"));
    }
    w.runFor(30);
    watcher->stop();
    EXPECT_EQ(told.size(), static_cast<std::size_t>(submitted));
  }
  for (const auto& [id, n] : told) EXPECT_EQ(n, 1) << id;
}

}  // namespace
}  // namespace kestrelhoist::sim
