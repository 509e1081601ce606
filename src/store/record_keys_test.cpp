#include "store/record_keys.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

const JobId kJobId{"j-000001"};

TEST(RecordKeys, are_read_as_they_are_made) {
  auto tasks = keys::parseTasks(keys::tasks(kJobId, 12));
  ASSERT_TRUE(tasks);
  EXPECT_EQ(tasks->job, kJobId);
  EXPECT_EQ(tasks->chunk, 12U);
  auto awaits = keys::parseDependencyPart(keys::dependencyPart(kJobId, 3));
  ASSERT_TRUE(awaits);
  EXPECT_EQ(awaits->job, kJobId);
  EXPECT_EQ(awaits->part, 3U);
  auto subChunk = keys::parseSubChunk(keys::subChunk(kJobId, 137, 164));
  ASSERT_TRUE(subChunk);
  EXPECT_EQ(subChunk->job, kJobId);
  EXPECT_EQ(subChunk->range.first, 137U);
  EXPECT_EQ(subChunk->range.end, 164U);
}

TEST(RecordKeys, malformed_ones_are_refused) {
  EXPECT_FALSE(keys::parseTasks("kh/tasks/j-000001"));
  EXPECT_FALSE(keys::parseTasks("kh/tasks/j-000001/"));
  EXPECT_FALSE(keys::parseTasks("kh/tasks/j-000001/x"));
  EXPECT_FALSE(keys::parseDependencyPart("kh/awaits/j-000001/-1"));
  EXPECT_FALSE(keys::parseSubChunk("kh/part/j-000001/137"));
  EXPECT_FALSE(keys::parseSubChunk("kh/part/j-000001/137-"));
  EXPECT_FALSE(keys::parseSubChunk("kh/part/j-000001/-164"));
  EXPECT_FALSE(keys::parseSubChunk("kh/part/j-000001/137/164"));
}

TEST(RecordKeys, name_their_job_whatever_follows) {
  EXPECT_EQ(keys::jobOf("kh/tasks/j-000001/12", keys::kTasks), kJobId);
  EXPECT_EQ(keys::jobOf("kh/part/j-000001", keys::kSubChunk), kJobId);
}

}  // namespace
}  // namespace kestrelhoist
