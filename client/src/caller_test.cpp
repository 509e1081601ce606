// Tests routing, retries and error kinds against scripted controllers in virtual time.
#include "client/src/caller.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "sim/virtual_time.hpp"

namespace kestrelhoist::client {
namespace {

// Simulates controllers whose responses a function computes. The function gets the controller's
// number and the count of requests; it returns std::nullopt for a request without a response.
class Service {
 public:
  using Answering = std::function<std::optional<Response>(int controller, int count)>;
  Service(int controllers, Answering answering, const CallerSettings& settings = {})
      : answering_(std::move(answering)),
        random_(7),
        network_(clock, random_),
        runtime_(clock, network_, "user", 1.0) {
    std::vector<std::string> names;
    for (int i = 0; i < controllers; ++i) {
      names.push_back("c" + std::to_string(i) + ":1");
      network_.listen(names.back(), [this, i](const std::string&, const Request& q, Respond r) {
        times.push_back({i, clock.now()});
        ids.insert(q.id);
        auto answer = answering_(i, static_cast<int>(times.size()));
        if (!answer) return;
        clock.in(delays[i], [r, a = *answer] { r(a); });
      });
    }
    caller = std::make_unique<Caller>(runtime_, runtime_, names, 3, settings);
  }
  Result<Answer> call(bool changes, Duration within) {
    std::optional<Result<Answer>> result;
    caller->call({{changes ? "POST" : "GET", "/x", ""}, "x", within, changes},
                 [&](Result<Answer> r) { result = std::move(r); });
    clock.runUntil(clock.now() + within.count() + 10);
    EXPECT_TRUE(result) << "the call has not ended with its time";
    return *result;
  }
  sim::VirtualClock clock;
  // The controller and the time of each request.
  std::vector<std::pair<int, std::int64_t>> times;
  std::set<std::string> ids;
  std::map<int, std::int64_t> delays;

 private:
  Answering answering_;
  std::mt19937_64 random_;
  sim::Network network_;
  sim::HostRuntime runtime_;

 public:
  std::unique_ptr<Caller> caller;
};

Response answer(int status, int retryAfterS = 0) {
  return {status, encodeBody({{"ref", "j-1"}}), retryAfterS};
}

TEST(Caller, NamesEachOutcome) {
  struct Case {
    int status;  // The status is 0 if the controllers never respond.
    bool changes;
    ErrorKind kind;
  };
  for (const auto& c : std::vector<Case>{{400, true, ErrorKind::malformed},
                                         {401, false, ErrorKind::notPermitted},
                                         {403, true, ErrorKind::notPermitted},
                                         {404, false, ErrorKind::unknown},
                                         {409, true, ErrorKind::conflict},
                                         {422, true, ErrorKind::neverRuns},
                                         {302, false, ErrorKind::protocolViolated},
                                         {418, true, ErrorKind::protocolViolated},
                                         {429, true, ErrorKind::throttled},
                                         {429, false, ErrorKind::throttled},
                                         {503, false, ErrorKind::unavailable},
                                         {503, true, ErrorKind::outcomeUnknown},
                                         {0, true, ErrorKind::outcomeUnknown},
                                         {0, false, ErrorKind::unavailable}}) {
    Service s(3, [&](int, int) {
      return c.status == 0 ? std::nullopt : std::optional(answer(c.status));
    });
    auto r = s.call(c.changes, Duration{20000});
    ASSERT_FALSE(r) << c.status;
    EXPECT_EQ(r.error().kind, c.kind) << c.status << ": " << r.error().text();
    EXPECT_EQ(r.error().tries, static_cast<int>(s.times.size()));
    bool final = c.status != 0 && c.status != 429 && c.status != 503;
    EXPECT_EQ(s.times.size() == 1, final) << c.status;
    EXPECT_EQ(s.ids.size(), 1U) << "one id for all tries";
  }
  Service garbled(2, [](int, int) { return Response{200, "\xff", 0}; });
  EXPECT_EQ(garbled.call(false, Duration{9000}).error().kind, ErrorKind::protocolViolated);
  Service silent(1, [](int, int) { return std::nullopt; });
  EXPECT_EQ(silent.call(false, Duration{500}).error().kind, ErrorKind::deadlinePassed);
  // The first request gets no response and the second gets 429. The outcome is unknown, because the
  // service may have processed the first request.
  Service mixed(1, [](int, int n) { return n == 1 ? std::nullopt : std::optional(answer(429)); });
  EXPECT_EQ(mixed.call(true, Duration{15000}).error().kind, ErrorKind::outcomeUnknown);
}

TEST(Caller, ComesBackNotBeforeItWasTold) {
  Service s(3, [](int, int n) { return n == 1 ? answer(429, 7) : answer(200); });
  auto r = s.call(true, Duration{30000});
  ASSERT_TRUE(r);
  EXPECT_FALSE(r->first);
  ASSERT_EQ(s.times.size(), 2U);
  EXPECT_GE(s.times[1].second - s.times[0].second, 7000);
}

TEST(Caller, GoesToAnotherControllerAtOnceAndRemembersWhoAnswered) {
  Service s(3, [](int c, int) { return c == 1 ? std::optional(answer(200)) : std::nullopt; });
  ASSERT_TRUE(s.call(false, Duration{20000}));
  auto before = s.times.size();
  EXPECT_LE(before, 4U);
  for (int i = 0; i < 5; ++i) ASSERT_TRUE(s.call(false, Duration{500}));
  EXPECT_EQ(s.times.size(), before + 5) << "asked others again";
}

// Guards against a burst of requests to a failed controller: it gets one request at a time, even if
// many calls wait for it.
TEST(Caller, ProbesABrokenControllerOnceAtATime) {
  Service s(1, [](int, int) { return std::nullopt; }, {"", 1000, 1000, true, "t"});
  int ended = 0;
  for (int i = 0; i < 30; ++i) {
    s.caller->call({{"GET", "/x", ""}, "x", Duration{30000}, false},
                   [&](const Result<Answer>&) { ++ended; });
  }
  s.clock.runUntil(40000);
  EXPECT_EQ(ended, 30);
  // All 30 calls send their first attempts at once. Afterwards there is one request at a time, each
  // with a timeout of 2 s.
  EXPECT_LE(s.times.size(), 30U + 16U);
}

TEST(Caller, HedgesSlowReadsAndNoChanges) {
  for (bool changes : {false, true}) {
    Service s(2, [](int, int) { return answer(200); });
    ASSERT_TRUE(s.call(changes, Duration{3000}));
    int usual = s.times.back().first;
    s.delays[usual] = 1500;
    auto at = s.clock.now();
    std::optional<std::int64_t> done;
    s.caller->call({{changes ? "POST" : "GET", "/x", ""}, "x", Duration{3000}, changes},
                   [&](const Result<Answer>& r) {
                     EXPECT_TRUE(r);
                     done = s.clock.now();
                   });
    s.clock.runUntil(at + 4000);
    ASSERT_TRUE(done);
    EXPECT_EQ(*done - at < 1000, !changes);
    EXPECT_EQ(s.caller->counts().hedges, changes ? 0U : 1U);
  }
}

// Checks that the number of retries and hedged requests stays within the retry budget for random
// failures and numbers of calls.
TEST(CallerProperty, RetriesStayWithinTheBudget) {
  EXPECT_TRUE(rc::check([] {
    int mode = *rc::gen::inRange(0, 3);
    auto calls = *rc::gen::inRange(1, 60);
    Service s(3, [&](int c, int n) -> std::optional<Response> {
      if (mode == 0) return answer(503);
      if (mode == 1) return std::nullopt;
      return (c + n) % 4 == 0 ? answer(200) : answer(429);
    });
    int ended = 0;
    for (int i = 0; i < calls; ++i) {
      s.caller->call({{"GET", "/x", ""}, "x", Duration{20000}, false},
                     [&](const Result<Answer>&) { ++ended; });
    }
    s.clock.runUntil(s.clock.now() + 21000);
    RC_ASSERT(ended == calls);
    const auto& c = s.caller->counts();
    RC_ASSERT(static_cast<double>(c.requests - c.calls) <= 20 + 2 * 21 + 0.1 * calls + 1);
  }));
}

TEST(Router, PausesGrowAndTheFirstAnswerEndsThem) {
  Router r({"a:1"}, 1);
  Instant now{1000};
  for (int i = 0; i < 20; ++i) {
    auto c = r.choose(now);
    if (!c.address) {
      EXPECT_LE(c.wait, Duration{8000});
      now = now + c.wait;
      c = r.choose(now);
    }
    ASSERT_TRUE(c.address);
    if (i > 0) {
      EXPECT_FALSE(r.choose(now).address) << "a second probe";
    }
    r.recordFailure(*c.address, now);
  }
  now = now + Duration{9000};
  auto c = r.choose(now);
  r.recordResponse(*c.address, Duration{5});
  EXPECT_TRUE(r.choose(now).address);
  EXPECT_TRUE(r.choose(now).address);
}

}  // namespace
}  // namespace kestrelhoist::client
