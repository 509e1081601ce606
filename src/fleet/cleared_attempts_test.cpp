// Tests that an attempt is noticed that a worker reports again after it was cleared.
#include "fleet/cleared_attempts.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const AttemptId kAttempt{{JobId{"j-000001"}, 3}, Attempt{7}};

Report reportOf(const std::vector<AttemptId>& attempts) {
  Report report;
  for (const auto& attempt : attempts) report.tasks.push_back({attempt, TaskState::ended});
  return report;
}

TEST(ClearedAttempts, AnAttemptThatReappearsIsReturnedOnce) {
  ClearedAttempts cleared;
  cleared.onClear(kAttempt);
  EXPECT_TRUE(cleared.onReport(reportOf({kAttempt})).empty()) << "the clear was lost";
  EXPECT_TRUE(cleared.onReport(reportOf({})).empty());
  EXPECT_EQ(cleared.onReport(reportOf({kAttempt})), std::vector{kAttempt});
  EXPECT_TRUE(cleared.onReport(reportOf({kAttempt})).empty());
}

TEST(ClearedAttempts, OnlyTheMostRecentAreRemembered) {
  ClearedAttempts cleared;
  cleared.onClear(kAttempt);
  for (std::uint32_t i = 0; i < ClearedAttempts::kMaxAttempts; ++i) {
    cleared.onClear({{JobId{"j-000002"}, i}, Attempt{7}});
  }
  EXPECT_TRUE(cleared.onReport(reportOf({})).empty());
  EXPECT_TRUE(cleared.onReport(reportOf({kAttempt})).empty());
}

}  // namespace
}  // namespace kestrelhoist
