#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/machine_share.hpp"
#include "policy/failover_coverage.hpp"
#include "policy/policy_replica.hpp"

namespace kestrelhoist {
namespace {

// Returns a policy with a single period, "day".
std::shared_ptr<const Policy> policyWith(const std::string& zone, const char* from, const char* to,
                                         std::vector<std::string> holidays = {},
                                         const char* days = nullptr) {
  Json period = {{"name", "day"},
                 {"from", from},
                 {"to", to},
                 {"first", Json::array()},
                 {"yields", Json::array({{{"class", "night"}}})}};
  if (days) period["days"] = Json::parse(days);
  return parsePolicy(
      {{"calendar", {{"zone", zone}, {"holidays", holidays}, {"periods", {period}}}}});
}

Calendar calendar(const std::string& zone, const char* from, const char* to,
                  std::vector<std::string> holidays = {}, const char* days = nullptr) {
  return policyWith(zone, from, to, std::move(holidays), days)->calendar;
}

std::int64_t utc(const char* text) {
  std::tm t{};
  strptime(text, "%Y-%m-%d %H:%M", &t);
  return static_cast<std::int64_t>(timegm(&t)) * 1000;
}

TEST(Calendar, LocalTimesFollowDaylightSaving) {
  auto c = calendar("Europe/Bratislava", "08:00", "17:00");
  EXPECT_EQ(occurrenceAt(c, utc("2026-01-15 12:00"))->opensMs, utc("2026-01-15 07:00"));
  EXPECT_EQ(occurrenceAt(c, utc("2026-07-15 12:00"))->opensMs, utc("2026-07-15 06:00"));
  EXPECT_FALSE(occurrenceAt(c, utc("2026-07-15 15:00")));
  EXPECT_EQ(nextOccurrenceAfter(c, utc("2026-07-15 15:00"))->opensMs, utc("2026-07-16 06:00"));
}

TEST(Calendar, ADayThatLacksAnHourAndOneThatRepeatsIt) {
  // The local hour from 02:00 to 03:00 does not exist on 2026-03-29 and occurs twice on 2026-10-25.
  auto c = calendar("Europe/Bratislava", "02:30", "02:45");
  EXPECT_FALSE(
      occurrenceAt(c, utc("2026-03-29 01:00")));  // the whole period is in the skipped hour
  c = calendar("Europe/Bratislava", "02:30", "04:00");
  EXPECT_EQ(occurrenceAt(c, utc("2026-03-29 01:10"))->opensMs, utc("2026-03-29 01:00"));
  auto twice = occurrenceAt(c, utc("2026-10-25 01:00"));
  EXPECT_EQ(twice->opensMs, utc("2026-10-25 00:30"));  // the first of two 02:30
  EXPECT_EQ(twice->closesMs, utc("2026-10-25 03:00"));
  // The period opens only once on the day with the repeated hour.
  EXPECT_EQ(nextOccurrenceAfter(c, twice->opensMs)->opensMs, utc("2026-10-26 01:30"));
}

TEST(Calendar, MidnightHolidaysAndWeekdays) {
  auto c = calendar("Africa/Accra", "22:00", "06:00", {"2026-12-25"}, R"(["thu","fri"])");
  EXPECT_TRUE(
      occurrenceAt(c, utc("2026-12-25 05:00")));  // Thursday's period lasts into the holiday
  EXPECT_FALSE(occurrenceAt(c, utc("2026-12-25 23:00")));  // no period opens on the holiday
  EXPECT_FALSE(occurrenceAt(c, utc("2026-12-30 23:00")));  // no period opens on a Wednesday
}

// Guards against a command that ends by SIGSEGV when it copies a policy whose unknown field is
// nested deeply.
TEST(PolicyDocument, ADeepUnknownFieldIsRefusedInOneLine) {
  constexpr std::size_t kLevels = 200000;
  std::string deep = R"({"unknown":)" + std::string(kLevels, '[') + std::string(kLevels, ']') + "}";
  try {
    Json body = {{"document", parseDocument(deep)}};
    FAIL() << "a document of " << kLevels << " levels was read";
  } catch (const std::runtime_error& e) {
    EXPECT_STREQ(e.what(), "/: is nested too deeply");
  }
  const std::size_t allowed = kExternalLimits.nesting - 1;
  EXPECT_NO_THROW(parseDocument(R"({"unknown":)" + std::string(allowed, '[') +
                                std::string(allowed, ']') + "}"));
  EXPECT_THROW(parseDocument(R"({"unknown":)" + std::string(allowed + 1, '[') +
                             std::string(allowed + 1, ']') + "}"),
               std::runtime_error);
}

TEST(PolicyDocument, FaultsNameTheirPlace) {
  auto why = [](const char* text) -> std::string {
    try {
      parsePolicy(parseDocument(text));
    } catch (const std::exception& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(why(R"({"calendar":{"zone":"Mars/Base","periods":[]}})").substr(0, 15),
            "/calendar/zone:");
  EXPECT_EQ(why("{").substr(0, 2), "/:");
  auto period = [](const char* name, const char* from, const char* to) {
    return std::string(R"({"name":")") + name + R"(","from":")" + from + R"(","to":")" + to +
           R"(","first":[],"yields":[]})";
  };
  auto doc = [&](const std::string& a, const std::string& b) {
    return R"({"calendar":{"zone":"UTC","periods":[)" + a + "," + b + "]}}";
  };
  EXPECT_EQ(why(doc(period("a", "08:00", "17:00"), period("b", "16:00", "18:00")).c_str()),
            "/calendar/periods/1: overlaps /calendar/periods/0");
  EXPECT_EQ(why(doc(period("a", "08:00", "17:00"), period("a", "18:00", "19:00")).c_str()),
            "/calendar/periods/1/name: is used twice");
  EXPECT_NE(why(doc(period("a", "8:00", "17:00"), period("b", "18:00", "19:00")).c_str())
                .find("/calendar/periods/0/from"),
            std::string::npos);
  EXPECT_EQ(why(doc(period("a", "08:00", "17:00"), period("b", "17:00", "18:00")).c_str()), "");
  EXPECT_EQ(why(R"({"later":{"version":2}})"),
            "");  // unknown fields of newer versions are accepted
}

PolicyObservation seenAt(std::int64_t ms, bool window = true) {
  PolicyObservation s;
  s.nowMs = ms;
  s.windowEnds = window;
  s.machines = 100;
  return s;
}

// Guards against a period that opens or closes twice, which could happen when clocks step back or
// when a new leader reads the policy state from its record.
RC_GTEST_PROP(PolicyState, PeriodsOpenAndCloseOnce, ()) {
  auto policy = policyWith("Europe/Bratislava", "08:00", "17:00");
  std::mt19937_64 random(1);
  PolicyState s;
  std::int64_t now = utc("2026-10-20 00:00"), end = utc("2026-10-30 00:00");
  s = computePolicyState(policy.get(), 1, s, seenAt(now), 1, random);
  while (now < end) {
    now += *rc::gen::inRange<std::int64_t>(1, 6 * 3600) * 1000;
    std::int64_t off = *rc::gen::inRange<std::int64_t>(-300, 300) * 1000;
    auto before = s;
    s = computePolicyState(policy.get(), 1, s, seenAt(now + off, false), 1, random);
    // The state is converted to its record and back, as when a new leader reads it.
    s = policyStateFromJson(toJson(s));
    RC_ASSERT(s.appliedUntilMs >= before.appliedUntilMs);
    RC_ASSERT(s.openedCount <= before.openedCount + 1);
    RC_ASSERT(s.openedCount == s.closedCount + (s.openPeriodName.empty() ? 0 : 1));
  }
  RC_ASSERT(s.openedCount <= 10U);
}

TEST(PolicyState, AnEditIsOneStepAndUnknownFieldsStay) {
  auto c = [](const char* to) { return policyWith("UTC", "08:00", to); };
  std::mt19937_64 random(1);
  PolicyState s = policyStateFromJson({{"of_a_newer_version", 7}});
  s = computePolicyState(c("17:00").get(), 1, s, seenAt(utc("2026-10-20 09:00")), 1, random);
  EXPECT_EQ(s.openPeriodName, "day");
  s = computePolicyState(c("18:00").get(), 2, s, seenAt(utc("2026-10-20 09:01")), 1, random);
  EXPECT_EQ(s.openedCount, 1U);
  EXPECT_EQ(s.closesMs, utc("2026-10-20 18:00"));
  s = computePolicyState(nullptr, 3, s, seenAt(utc("2026-10-20 09:02")), 1, random);
  EXPECT_EQ(s.closedCount, 1U);
  EXPECT_EQ(toJson(s).at("of_a_newer_version"), 7);
}

TEST(PolicyState, AStormBeginsByLossesHoldsTheCalendarAndEndsByEvidence) {
  auto policy = policyWith("UTC", "08:00", "17:00");
  std::mt19937_64 random(1);
  auto at = utc("2026-10-20 07:59");
  auto observation = seenAt(at);
  PolicyState s = computePolicyState(policy.get(), 1, {}, observation, 1, random);
  observation.lost = 4;
  s = computePolicyState(policy.get(), 1, s, observation, 1, random);
  EXPECT_FALSE(s.massFailure);  // 4 of 100 machines are too few
  observation.lost = 5;
  observation.missingReplicas = 40;
  s = computePolicyState(policy.get(), 1, s, observation, 1, random);
  ASSERT_TRUE(s.massFailure);
  observation = seenAt(utc("2026-10-20 08:05"));
  observation.missingReplicas = 20;  // lost replicas are being replaced
  s = computePolicyState(policy.get(), 1, s, observation, 1, random);
  EXPECT_TRUE(s.openPeriodName.empty());
  observation.lost = 30;  // further losses during the mass failure
  s = computePolicyState(policy.get(), 1, s, observation, 1, random);
  EXPECT_EQ(s.massFailure->waves, 2U);
  observation.lost = observation.missingReplicas = 0;
  s = computePolicyState(policy.get(), 1, s, observation, 1, random);
  EXPECT_FALSE(s.massFailure);
  EXPECT_EQ(s.openPeriodName, "day");
}

TEST(PolicyState, PoolsHoldMeanAndSpreadOfTheStartsWithinTheirBounds) {
  auto policy = parsePolicy({{"pools",
                              {{{"name", "llm"},
                                {"images", {"w"}},
                                {"team", "t"},
                                {"least", 2},
                                {"most", 9},
                                {"ahead_s", 20}}}}});
  std::mt19937_64 random(1);
  PolicyState s = computePolicyState(policy.get(), 1, {}, seenAt(1000), 1, random);
  EXPECT_EQ(s.pools.at(ImageId{"w"}).wanted, 2U);
  auto observation = seenAt(2000);
  observation.starts[ImageId{"w"}] = 3;
  for (int i = 0; i < 30; ++i) s = computePolicyState(policy.get(), 1, s, observation, 1, random);
  EXPECT_GE(s.pools.at(ImageId{"w"}).wanted, 6U);
  EXPECT_LE(s.pools.at(ImageId{"w"}).wanted, 9U);
  s = computePolicyState(nullptr, 2, s, observation, 1, random);  // the policy is cleared
  EXPECT_TRUE(s.pools.empty());
}

RC_GTEST_PROP(ShareAmong, EachMayBeginAndNoMoreThanTheMachinesIsGiven, ()) {
  auto n = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<YieldingJob> jobs;
  double least = 0;
  for (std::size_t i = 0; i < n; ++i) {
    jobs.push_back({*rc::gen::element(0.125, 0.25, 0.5, 1.0),
                    *rc::gen::inRange<std::uint32_t>(1, 40),
                    *rc::gen::inRange<std::uint32_t>(0, 9)});
    least += jobs.back().share;
  }
  double machines = *rc::gen::inRange(0, 30);
  auto most = maxTasksOfYieldingJobs(jobs, machines);
  double given = 0;
  for (std::size_t i = 0; i < n; ++i) {
    RC_ASSERT(most[i] >= 1U);
    RC_ASSERT(most[i] <= jobs[i].waiting + jobs[i].held);
    given += most[i] * jobs[i].share;
  }
  RC_ASSERT(given <= std::max(machines, least) + 1e-6);
}

// Guards against a limit that becomes small again because the number of tasks that fit into an
// even share is beyond an integer: 4,295 machines hold more than 2^32 that take nothing.
TEST(ShareAmong, TasksThatTakeNothingAllFitIntoManyMachines) {
  EXPECT_EQ(maxTasksOfYieldingJobs({{0, 100000, 0}}, 4295)[0], 100000U);
}

// Guards against a plan that takes seconds where tiny tasks share little: each round gave out less
// than it counted as fitting, so that the rounds went on.
TEST(ShareAmong, TinyTasksCountAsTheLeastShareOfAMachine) {
  std::vector<YieldingJob> jobs(1000, YieldingJob{1e-12, 100000, 0});
  double given = 0;
  for (auto tasks : maxTasksOfYieldingJobs(jobs, 0.01)) given += tasks;
  EXPECT_LE(given, 0.01 / kMinTaskShare + 1);
}

// Returns the maximum number of placed replicas by trying every assignment.
std::uint32_t bestOf(const std::vector<CoverageMachine>& machines, std::vector<double> room,
                     const std::vector<CoverageReplicas>& one, std::size_t next,
                     const std::set<std::size_t>& lost) {
  if (next == one.size()) return 0;
  std::uint32_t best = bestOf(machines, room, one, next + 1, lost);
  for (std::size_t m = 0; m < machines.size(); ++m) {
    if (lost.contains(m) || !machines[m].images.contains(one[next].image)) continue;
    if (room[m] + 1e-6 < one[next].share) continue;
    room[m] -= one[next].share;
    best = std::max(best, 1 + bestOf(machines, room, one, next + 1, lost));
    room[m] += one[next].share;
  }
  return best;
}

RC_GTEST_PROP(FailoverCoverage, IsTheBestThereIsForReplicasOfOneSize, ()) {
  std::vector<CoverageMachine> machines;
  for (int m = 0; m < 5; ++m) {
    CoverageMachine c{static_cast<std::uint32_t>(m % 3), *rc::gen::element(0.0, 0.25, 0.5), {}};
    for (std::uint32_t i = 0; i < 3; ++i) {
      if (*rc::gen::arbitrary<bool>()) c.images.insert(i);
    }
    machines.push_back(c);
  }
  std::vector<CoverageReplicas> replicas;
  for (auto n = *rc::gen::inRange(0, 6); n > 0; --n) {
    replicas.push_back({*rc::gen::inRange<std::uint32_t>(0, 3), 0.25, 0, 1});
  }
  std::vector<double> room;
  for (const auto& m : machines) room.push_back(m.spare);
  std::set<std::size_t> lost{0, 3};
  auto cover = coverageFor(machines, replicas, lost);
  RC_ASSERT(cover.displaced == replicas.size());
  RC_ASSERT(cover.placed == bestOf(machines, room, replicas, 0, lost));
}

TEST(FailoverCoverage, TheWorstLossIsAZoneOrTheFullestMachines) {
  std::vector<CoverageMachine> machines{{0, 0, {1}}, {1, 0.25, {1}}, {2, 0, {}}};
  std::vector<CoverageReplicas> replicas{{1, 0.25, 0, 1}, {1, 0.25, 2, 3}};
  auto worst = worstCoverage(machines, replicas, 0);
  EXPECT_EQ(worst.displaced, 3U);
  EXPECT_EQ(worst.placed, 1U);
  EXPECT_EQ(worstCoverage(machines, replicas, 2).displaced, 4U);
}

// Guards against machine time or money that is lost or counted twice when a machine's time is split
// among teams and intervals.
RC_GTEST_PROP(Ledger, PartsAddUpToWhatWasRented, ()) {
  ChargeAccount account;
  std::uint64_t ms = 0, money = 0;
  for (auto n = *rc::gen::inRange(1, 8); n > 0; --n) {
    MachineTime m;
    m.rentedAtMs = *rc::gen::inRange<std::int64_t>(0, 20000);
    m.pricePerHour = *rc::gen::inRange(1, 3000) / 100.0;
    m.hasReported = *rc::gen::arbitrary<bool>();
    for (const char* team : {"a", "b", "c"}) {
      if (*rc::gen::arbitrary<bool>()) m.used[TeamId{team}] = *rc::gen::inRange(1, 70) / 100.0;
    }
    if (*rc::gen::arbitrary<bool>()) m.poolTeams = {TeamId{"a"}, TeamId{"d"}};
    std::int64_t from = 0;
    while (from < 30000) {
      std::int64_t to = from + *rc::gen::inRange<std::int64_t>(1, 12000);
      ChargeAccount one;
      charge(one, m, from, to);
      auto counted =
          static_cast<std::uint64_t>(std::max<std::int64_t>(0, to - std::max(from, m.rentedAtMs)));
      RC_ASSERT(one.total().ms == counted);
      ms += counted;
      money += one.total().money;
      account.add(one);
      from = to;
    }
  }
  RC_ASSERT(account.total().ms == ms);
  RC_ASSERT(account.total().money == money);
  ChargeRecord record{5, account};
  auto again = chargeRecordFromJson(toJson(record));
  RC_ASSERT(again.has_value());
  RC_ASSERT(again->account.total() == account.total());
}

}  // namespace
}  // namespace kestrelhoist
