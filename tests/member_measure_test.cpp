// These measurements run only by hand, with KESTRELHOIST_MEASURE=1 and
// --gtest_filter='MemberMeasure*'. They measure the processor time of complete controllers in
// virtual time, with and without member keys in the same run. docs/members.md has the results.
#include <malloc.h>

#include <ctime>

#include "base/log.hpp"
#include "member_user.hpp"

namespace kestrelhoist::sim {
namespace {

double cpuMs() { return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

class MemberMeasure : public testing::Test {
 protected:
  void SetUp() override {
    if (!std::getenv("KESTRELHOIST_MEASURE")) GTEST_SKIP();
    spdlog::set_level(spdlog::level::off);
  }
};

WorldSettings one(bool members) {
  WorldSettings s;
  s.nodes = 1;
  s.members = members;
  s.onDemandPerZone = s.spotPerZone = 0;
  s.writesPerS = 20000;
  return s;
}

// Returns the average processor time of a request in microseconds over `count` requests. The time
// includes the cost of the simulation itself.
double costOf(World& w, MemberUser& user, int count, const std::function<Request(int)>& request) {
  int open = 0;
  double before = cpuMs();
  for (int i = 0; i < count; ++i) {
    ++open;
    user.runtime().send(w.nodeApi(0), request(i), Duration{5000},
                        [&](const std::optional<Response>& r) {
                          EXPECT_TRUE(r && r->status < 300) << (r ? r->status : 0);
                          --open;
                        });
    if (i % 10 == 9) w.runFor(0.25);  // 40 requests per second stay below a member's rate limit.
  }
  w.runFor(6);
  EXPECT_EQ(open, 0);
  return (cpuMs() - before) * 1000 / count;
}

TEST_F(MemberMeasure, CostOfARequestWithKeysAndWithout) {
  constexpr int kCount = 4000;
  double cost[2][2];
  for (int round = 0; round < 2; ++round) {  // The first round is a warm-up.
    for (bool members : {false, true}) {
      World w(one(members));
      w.runFor(10);
      std::string key = members ? makeKey(w, "team", "ana") : "";
      MemberUser user(w, "u", key, 3);
      auto submit = [&](int i) {
        return Request{"POST", "/v2/runs",
                       encodeBody(client::toBody(jobOf(), "j-" + std::to_string(i))), key};
      };
      auto poll = [&](int i) {
        return Request{"GET", "/v2/runs/j-" + std::to_string(i % 100), "", key};
      };
      if (members) w.runFor(1);
      cost[members][0] = costOf(w, user, 200, submit);
      cost[members][1] = costOf(w, user, kCount, poll);
    }
  }
  for (int what = 0; what < 2; ++what) {
    std::printf("%s: %.1f us without keys, %.1f us with (ratio %.2f)\n",
                what ? "poll" : "submission", cost[0][what], cost[1][what],
                cost[1][what] / cost[0][what]);
  }
}

// Measures the processor time of one page of a job list for several numbers of jobs of the member.
TEST_F(MemberMeasure, CostOfAPage) {
  for (int jobs : {1000, 10000, 100000}) {
    Replica replica;
    Owner ana{TeamId{"team"}, "ana"};
    auto spec = std::make_shared<JobSpec>();
    spec->team = ana.team;
    spec->tasks = 1;
    spec->jobClass = "any";
    std::size_t before = mallinfo2().uordblks;
    JobIndex index;
    for (int i = 0; i < jobs; ++i) {
      index.recordChange(ana, memberJob(ana, "j-" + std::to_string(i)),
                         Revision{static_cast<std::uint64_t>(i)});
    }
    std::size_t bytes = (mallinfo2().uordblks - before) / static_cast<std::size_t>(jobs);
    double start = cpuMs();
    std::size_t seen = 0;
    constexpr int kPages = 1000;
    for (int p = 0; p < kPages; ++p) {
      auto it = after(*index.of(ana),
                      {Revision{static_cast<std::uint64_t>(p * (jobs / kPages))}, JobId{}});
      for (int n = 0; n < 100 && it != index.of(ana)->end(); ++n, ++it)
        seen += it->second.value.size();
    }
    std::printf("%d jobs: %.1f us for a page of 100, %zu bytes a job of the index (%zu)\n", jobs,
                (cpuMs() - start) * 1000 / kPages, bytes, seen);
  }
}

// Measures the memory for each job and the processor time for each page of a job list, for members
// with 1,000 and with 100,000 jobs.
TEST_F(MemberMeasure, ListOfAMemberWithManyJobs) {
  for (int jobs : {1000, 100000}) {
    WorldSettings settings = one(true);
    settings.txnOps = 200;
    World w(settings);
    w.runFor(10);
    std::string key = makeKey(w, "team", "ana");
    MemberUser user(w, "u", key, 3);
    Owner ana{TeamId{"team"}, "ana"};
    auto spec = std::make_shared<JobSpec>(
        std::get<JobSpec>(parseSubmission(client::toBody(jobOf(), "j-1"))));
    std::size_t before = mallinfo2().uordblks;
    for (int i = 0; i < jobs; i += 100) {
      Json writes = Json::array();
      for (int k = i; k < i + 100; ++k) {
        std::string ref = "j-" + std::to_string(k);
        JobRecord r{spec, JobPhase::done, 1,
                    8,    nullptr,        std::make_shared<const JobOwner>(JobOwner{ana, ref})};
        writes.push_back({{"set", keys::job(memberJob(ana, ref))}, {"data", toJson(r)}});
      }
      w.network.send("u", "state:1",
                     {"POST", "/commit", encodeBody({{"when", Json::array()}, {"writes", writes}})},
                     5000, [](const std::optional<Response>& r) { EXPECT_EQ(r->status, 200); });
      w.runFor(0.05);
    }
    w.runFor(5);
    std::size_t bytes = (mallinfo2().uordblks - before) / static_cast<std::size_t>(jobs);
    std::string cursor;
    int pages = 0, seen = 0;
    double start = cpuMs();
    for (; pages < 10; ++pages) {
      auto r = user.raw({"GET", "/v2/jobs?limit=100&since=" + cursor, "", key});
      ASSERT_EQ(r.status, 200);
      auto body = decodeBody(r.body).value();
      cursor = textField(body, "cursor").value();
      seen += static_cast<int>(body["jobs"].size());
    }
    EXPECT_EQ(seen, 1000);
    std::printf(
        "%d jobs: %.2f ms a page of 100, world and decoding included; %zu bytes a job on the "
        "state service and the controller together\n",
        jobs, (cpuMs() - start) / pages, bytes);
  }
}

// Measures the cost of held watches at three controllers, first without changes and then with one
// change for each member.
TEST_F(MemberMeasure, HeldWatches) {
  struct Case {
    int members, each, sockets;
  };
  for (const auto& c : {Case{79, 64, 2548}, Case{8, 50, 600}}) {
    WorldSettings settings = one(true);
    settings.nodes = 3;
    settings.maxConnections = c.sockets;
    World w(settings);
    w.runFor(10);
    std::vector<std::string> keys;
    for (int i = 0; i < c.members; ++i) {
      keys.push_back(makeKey(w, "team", "m" + std::to_string(i)));
    }
    MemberUser user(w, "u", "", 3);
    int held = 0, told = 0, refused = 0;
    std::size_t before = mallinfo2().uordblks;
    for (const auto& key : keys) {
      for (int i = 0; i < c.each; ++i) {
        user.runtime().send(
            w.nodeApi(held % 3), {"GET", "/v2/jobs?wait_ms=30000", "", key}, Duration{60000},
            [&](const std::optional<Response>& r) { ++(r && r->status == 200 ? told : refused); });
        ++held;
      }
      w.runFor(0.1);
    }
    std::size_t bytes = (mallinfo2().uordblks - before) / static_cast<std::size_t>(held);
    double start = cpuMs();
    w.runFor(10);
    double idle = cpuMs() - start;
    start = cpuMs();
    for (const auto& key : keys) {
      user.runtime().send(w.nodeApi(0),
                          {"POST", "/v2/runs", encodeBody(client::toBody(jobOf(), "j-1")), key},
                          Duration{5000}, [](const std::optional<Response>&) {});
    }
    w.runFor(5);
    double waking = cpuMs() - start;
    EXPECT_EQ(told, held);
    std::printf(
        "%d watches of %d members, 3 controllers of %d sockets: %zu bytes each, world "
        "included; %.1f ms in 10 s while quiet; a change for each member: %.1f ms in all, %d "
        "told, %d refused\n",
        held, c.members, c.sockets, bytes, idle, waking, told, refused);
  }
}

}  // namespace
}  // namespace kestrelhoist::sim
