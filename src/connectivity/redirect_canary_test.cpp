// Guards against a canary whose lease expires before it returns from the redirect. The slow
// responses of the worker's link were not taken into account (scenario deaf-leaders-slow-canary).
#include "connectivity/redirect_canary.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const MemberId kLeader{"node1"};
constexpr Instant kNow{100000};

// Creates a canary for three controllers and a heartbeat interval of 3 s.
RedirectCanary canary() { return {Duration{11000}, Duration{17500}, Duration{3000}}; }

RedirectCandidate busy(const std::string& machine, std::optional<Duration> sinceAcknowledged) {
  return {MachineId{machine}, false, sinceAcknowledged};
}

TEST(RedirectCanary, AWorkerWhoseAnswersAreFastIsRedirected) {
  EXPECT_TRUE(canary().mayRedirect(kLeader, busy("host-1", Duration{2300}), kNow));
  EXPECT_TRUE(canary().mayRedirect(kLeader, busy("host-1", Duration{3000}), kNow));
}

TEST(RedirectCanary, AWorkerThatMayNotOutliveTheDetourIsNot) {
  EXPECT_FALSE(canary().mayRedirect(kLeader, busy("host-1", Duration{3750}), kNow));
  EXPECT_FALSE(canary().mayRedirect(kLeader, busy("host-1", Duration{5250}), kNow));
  EXPECT_TRUE(canary().mayRedirect(kLeader, {MachineId{"host-1"}, true, Duration{5250}}, kNow));
}

TEST(RedirectCanary, AShortLeaseNeverOutlivesTheDetour) {
  RedirectCanary shortLease(Duration{11000}, Duration{11000}, Duration{1000});
  EXPECT_FALSE(shortLease.mayRedirect(kLeader, busy("host-1", Duration{750}), kNow));
}

TEST(RedirectCanary, OthersFollowOnceCanariesWithSlowAnswersWouldBeBack) {
  RedirectCanary slow = canary();
  const RedirectCandidate idle{MachineId{"host-1"}, true, Duration{5250}};  // Responses take 3 s.
  slow.onRedirected(kLeader, idle, kNow);
  const RedirectCandidate other = busy("host-2", Duration{5250});
  EXPECT_FALSE(slow.mayRedirect(kLeader, other, kNow + Duration{13200}));
  EXPECT_TRUE(slow.mayRedirect(kLeader, other, kNow + Duration{17001}));
}

TEST(RedirectCanary, ACanaryThatComesBackKeepsTheOthersHere) {
  RedirectCanary returning = canary();
  returning.onRedirected(kLeader, busy("host-1", Duration{2300}), kNow);
  returning.onReport(MachineId{"host-1"}, kNow + Duration{10500});
  EXPECT_FALSE(
      returning.mayRedirect(kLeader, busy("host-2", Duration{2300}), kNow + Duration{20000}));
  EXPECT_TRUE(
      returning.mayRedirect(kLeader, busy("host-2", Duration{2300}), kNow + Duration{45600}));
}

TEST(RedirectCanary, OnlyTwoAreOnTheirWayAtATime) {
  RedirectCanary limited = canary();
  limited.onRedirected(kLeader, busy("host-1", Duration{2300}), kNow);
  EXPECT_TRUE(limited.mayRedirect(kLeader, busy("host-2", Duration{2300}), kNow + Duration{100}));
  limited.onRedirected(kLeader, busy("host-2", Duration{2300}), kNow + Duration{100});
  EXPECT_FALSE(limited.mayRedirect(kLeader, busy("host-3", Duration{2300}), kNow + Duration{200}));
}

}  // namespace
}  // namespace kestrelhoist
