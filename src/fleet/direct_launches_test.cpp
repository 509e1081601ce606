// Tests which direct launches a worker may still accept.
#include "fleet/direct_launches.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const AttemptId kAttempt{{JobId{"j-000001"}, 3}, Attempt{7}};
const AttemptId kLaterAttempt{{JobId{"j-000001"}, 3}, Attempt{8}};

TEST(DirectLaunches, AnAnsweredLaunchMayArriveAgainUntilTheWorkerHasSeenALaterToken) {
  DirectLaunches launches;
  launches.onSent(kAttempt, FencingToken{5});
  EXPECT_TRUE(launches.isUnanswered(kAttempt));
  launches.onAnswered(kAttempt, FencingToken{5});
  EXPECT_FALSE(launches.isUnanswered(kAttempt));
  EXPECT_TRUE(launches.mayArrive(kAttempt));
  EXPECT_FALSE(launches.mayArrive(kLaterAttempt));
  launches.onTokenSeen(FencingToken{5});
  EXPECT_TRUE(launches.mayArrive(kAttempt));
  launches.onTokenSeen(FencingToken{6});
  EXPECT_FALSE(launches.mayArrive(kAttempt));
}

TEST(DirectLaunches, AnAnswerUnderAnEarlierTokenDoesNotAnswerALaterCommand) {
  DirectLaunches launches;
  launches.onSent(kAttempt, FencingToken{5});
  launches.onSent(kAttempt, FencingToken{6});
  launches.onTokenSeen(FencingToken{6});
  launches.onAnswered(kAttempt, FencingToken{5});
  EXPECT_TRUE(launches.isUnanswered(kAttempt));
  launches.onAnswered(kAttempt, FencingToken{6});
  EXPECT_FALSE(launches.isUnanswered(kAttempt));
}

TEST(DirectLaunches, ANewWorkerEpochRefusesAll) {
  DirectLaunches launches;
  launches.onSent(kAttempt, FencingToken{5});
  launches.onNewWorkerEpoch();
  EXPECT_FALSE(launches.mayArrive(kAttempt));
}

}  // namespace
}  // namespace kestrelhoist
