// Guards against late launches. If the answer to a placement transaction was lost, the placed tasks
// were launched only seconds later.
#include "store/commit_confirmation.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const Change kTasks{"kh/tasks/j-1/0", Json{{"placed", 4}}, Revision{12}};
const Change kJob{"kh/job/j-1", std::nullopt, Revision{12}};

Transaction sampleTransaction() {
  Transaction transaction;
  transaction.writes.push_back({kTasks.key, kTasks.value, std::nullopt});
  transaction.writes.push_back({kJob.key, kJob.value, std::nullopt});
  return transaction;
}

TEST(CommitConfirmation, EveryWriteAtOneRevisionShowsThatItWasApplied) {
  const Change other{"kh/job/j-2", Json{{"phase", "done"}}, Revision{13}};
  EXPECT_EQ(appliedRevision(sampleTransaction(), {kTasks, kJob, other}), Revision{12});
}

TEST(CommitConfirmation, AMissingWriteShowsNothing) {
  EXPECT_FALSE(appliedRevision(sampleTransaction(), {kTasks}));
  EXPECT_FALSE(appliedRevision(sampleTransaction(), {kJob}));
  EXPECT_FALSE(appliedRevision(sampleTransaction(), {}));
  EXPECT_FALSE(appliedRevision({}, {kTasks, kJob}));
}

TEST(CommitConfirmation, AnotherValueOrRevisionShowsNothing) {
  Change otherValue = kTasks;
  otherValue.value = Json{{"placed", 5}};
  EXPECT_FALSE(appliedRevision(sampleTransaction(), {otherValue, kJob}));
  Change later = kJob;
  later.modRevision = Revision{13};
  EXPECT_FALSE(appliedRevision(sampleTransaction(), {kTasks, later}));
}

TEST(CommitConfirmation, AnOlderChangeOfTheSameKeyDoesNotHideIt) {
  Change older = kTasks;
  older.modRevision = Revision{11};
  EXPECT_EQ(appliedRevision(sampleTransaction(), {older, kTasks, kJob}), Revision{12});
}

}  // namespace
}  // namespace kestrelhoist
