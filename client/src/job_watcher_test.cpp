// Tests the events of a watch against a scripted service: each end is reported once, phases never
// go back, an expired cursor restarts the watch, and an invalid sequence of phases ends it.
#include "client/src/job_watcher.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "sim/virtual_time.hpp"

namespace kestrelhoist::client {
namespace {

Json job(const std::string& id, const char* phase, int done = 0) {
  return {{"ref", id}, {"phase", phase}, {"done", done}, {"running", 0}, {"tasks", 3}};
}
Response page(std::vector<Json> jobs, const std::string& cursor) {
  return {200, encodeBody({{"jobs", jobs}, {"cursor", cursor}, {"more", false}}), 0};
}
Response one(const Json& v) { return {200, encodeBody(v), 0}; }

// The responses to polls and to list requests, in order. The service does not respond to further
// requests.
struct Script {
  std::deque<Response> polls, lists;
  std::vector<std::string> requestPaths;
  std::vector<JobWatcher::Update> updates;
  std::optional<std::optional<Error>> over;

  void play(std::vector<std::string> ids, std::string since, bool hasKey = true) {
    sim::VirtualClock clock;
    std::mt19937_64 random(7);
    sim::Network network(clock, random);
    sim::HostRuntime runtime(clock, network, "user", 1.0);
    network.listen("c:1", [this](const std::string&, const Request& q, const Respond& r) {
      requestPaths.push_back(q.path);
      auto& next = q.path.starts_with("/v2/jobs") ? lists : polls;
      if (next.empty()) return;
      Response answer = next.front();
      next.pop_front();
      r(answer);
    });
    Caller caller(runtime, runtime, {"c:1"}, 3);
    JobCalls calls(caller, "team", hasKey);
    auto watcher = std::make_shared<JobWatcher>(
        calls, std::move(ids), std::move(since),
        [this](const JobWatcher::Update& t) { updates.push_back(t); },
        [this](std::optional<Error> e) { over = std::move(e); });
    watcher->start();
    clock.runUntil(clock.now() + 60000);
    watcher->stop();
  }
  std::string phases() const {
    std::string out;
    for (const auto& t : updates) out += t.job.id + ":" + wordOf(t.job.phase) + " ";
    return out;
  }
};

// Guards against a duplicate end: a change between the request for the cursor and the read of the
// job arrives twice.
TEST(JobWatcher, TellsAnEndOnceThoughItComesTwice) {
  Script s;
  s.lists = {page({}, "c1"), page({job("j-1", "done", 3), job("j-2", "running")}, "c2"),
             page({job("j-2", "done", 3)}, "c3")};
  s.polls = {one(job("j-2", "running")), one(job("j-1", "done", 3))};
  s.play({"j-1", "j-2"}, "");
  EXPECT_EQ(s.phases(), "j-2:running j-1:done j-2:done ");
  ASSERT_TRUE(s.over);
  EXPECT_FALSE(*s.over);
}

TEST(JobWatcher, NeverTellsAPhaseBackwards) {
  Script s;
  s.lists = {page({job("j-1", "running")}, "c1"), page({job("j-1", "pending")}, "c2"),
             page({job("j-1", "pending", 1)}, "c3"), page({job("j-1", "withdrawn", 1)}, "c4")};
  s.play({}, "c0");
  EXPECT_EQ(s.phases(), "j-1:running j-1:running j-1:withdrawn ");
  EXPECT_EQ(s.updates.back().cursor, "c4");
}

TEST(JobWatcher, StartsAgainWhereItsPlaceIsGoneAndRepeatsNothing) {
  Script s;
  s.lists = {page({job("j-1", "done", 3), job("j-2", "pending")}, "c1"),
             {410, encodeBody({{"error", "start again"}}), 0},
             page({job("j-1", "done", 3), job("j-2", "running"), job("j-3", "pending")}, "c9")};
  s.play({}, "");
  EXPECT_EQ(s.phases(), "j-1:done j-2:pending j-2:running j-3:pending ");
  EXPECT_FALSE(s.over);
}

TEST(JobWatcher, AJobThatComesBackFromItsEndIsAViolation) {
  Script s;
  s.lists = {page({job("j-1", "done", 3)}, "c1"), page({job("j-1", "running")}, "c2")};
  s.play({}, "");
  ASSERT_TRUE(s.over && *s.over);
  EXPECT_EQ((*s.over)->kind, ErrorKind::protocolViolated);
}

TEST(JobWatcher, PollsWhereThereIsNoWatchAndEndsForWhatIsUnknown) {
  Script s;
  s.polls = {one(job("j-1", "pending")), one(job("j-1", "running")), one(job("j-1", "done", 3))};
  s.play({"j-1"}, "", false);
  EXPECT_EQ(s.phases(), "j-1:pending j-1:running j-1:done ");
  ASSERT_TRUE(s.over);
  EXPECT_FALSE(*s.over);
  Script unknown;
  unknown.polls = {{404, encodeBody({{"error", "no such job"}}), 0}};
  unknown.play({"j-1"}, "", false);
  ASSERT_TRUE(unknown.over && *unknown.over);
  EXPECT_EQ((*unknown.over)->kind, ErrorKind::unknown);
}

}  // namespace
}  // namespace kestrelhoist::client
