// Tests how the replica combines sub-chunk records, which are written for smaller value limits,
// with the chunk records of the previous version, which are never written again.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "policy/charges.hpp"
#include "store/replica.hpp"

namespace kestrelhoist {
namespace {

const JobId kJobId{"j-000001"};
constexpr std::uint32_t kChunkSize = 137;  // The records in the data file have this chunk size.

// Returns the records that an earlier version wrote in production, from a file in tests/data.
Json oldRecords() {
  std::ifstream in(std::string(SOURCE_PATH) + "/tests/data/records-9a9f422.json");
  return Json::parse(in);
}

std::vector<Change> changesFrom(const Json& records) {
  std::vector<Change> changes;
  std::uint64_t modRevision = 10;
  for (const auto& [key, value] : records.items())
    changes.push_back({key, value, Revision{++modRevision}});
  return changes;
}

TaskPlacement placementOn(const std::string& machine, std::uint64_t attempt) {
  return {MachineId{machine}, WorkerEpoch{1}, Attempt{attempt}};
}

// Returns a sub-chunk record of the tasks 137 to 163. The first task is finished, the second has a
// new placement, and the others are not placed.
Change subChunkOfSecondChunk(std::uint64_t modRevision) {
  TaskChunkRecord subChunk;
  subChunk.finished.set(0);
  subChunk.placed[kChunkSize + 1] = placementOn("m-9", 5000);
  return {keys::subChunk(kJobId, kChunkSize, kChunkSize + 27), toJson(subChunk),
          Revision{modRevision}};
}

struct View {
  std::map<std::uint32_t, TaskPlacement> placed;
  std::vector<bool> finished;
  std::uint32_t finishedCount;
  bool operator==(const View&) const = default;
};

View viewOf(const Replica& replica) {
  const JobState& job = *replica.job(kJobId);
  View v{job.placed, {}, job.finishedCount};
  for (std::uint32_t i = 0; i < job.tasks; ++i) v.finished.push_back(job.isFinished(i));
  return v;
}

// Checks that the replica's placements by machine match those by task, and that the count of
// finished tasks is correct.
void expectConsistent(const Replica& replica) {
  std::size_t tasks = 0;
  for (const auto& [id, machine] : replica.machines()) {
    tasks += machine.tasks.size();
    for (const auto& t : machine.tasks) {
      auto at = t.job->placed.find(t.id.task.index);
      ASSERT_TRUE(at != t.job->placed.end());
      EXPECT_EQ(at->second.machine, id);
      EXPECT_EQ(at->second.attempt, t.id.attempt);
    }
  }
  const JobState& job = *replica.job(kJobId);
  EXPECT_EQ(tasks, job.placed.size());
  std::uint32_t finished = 0;
  for (std::uint32_t i = 0; i < job.tasks; ++i) finished += job.isFinished(i) ? 1 : 0;
  EXPECT_EQ(finished, job.finishedCount);
}

TEST(OldRecords, of_the_version_in_production_are_read) {
  Replica replica;
  for (const auto& c : changesFrom(oldRecords())) replica.apply(c);
  const JobState& job = *replica.job(kJobId);
  EXPECT_EQ(job.record.chunkSize, kChunkSize);
  EXPECT_EQ(job.finishedCount, 60U);
  EXPECT_EQ(job.placed.size(), 206U);
  EXPECT_EQ(job.placed.at(299).machine.value, "m-100299");
  EXPECT_EQ(replica.rentals().at(RentalId{"r-17-4"}).machines.size(), 50U);
  expectConsistent(replica);
  auto records = oldRecords();
  auto page = unpackPage(records["kh/flowp/w-1/0123456789abcdef/0"].get<std::string>());
  ASSERT_TRUE(page);
  EXPECT_EQ(page->size(), kPageSize);
  EXPECT_EQ(chargeRecordFromJson(records["kh/paid/hour/0000490181"])->account.used.size(), 6U);
}

TEST(Parts, count_in_whatever_order_they_are_read) {
  auto changes = changesFrom(oldRecords());
  changes.push_back(subChunkOfSecondChunk(100));
  std::erase_if(changes, [](const Change& c) {
    return !c.key.starts_with(keys::kJob) && !c.key.starts_with(keys::kTasks) &&
           !c.key.starts_with(keys::kSubChunk);
  });
  std::optional<View> first;
  std::sort(changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  do {
    // The job record is always read first. The chunk and sub-chunk records may be read in any
    // order.
    Replica replica;
    for (const auto& c : changes) {
      if (c.key.starts_with(keys::kJob)) replica.apply(c);
    }
    for (const auto& c : changes) {
      if (c.key.starts_with(keys::kTasks) || c.key.starts_with(keys::kSubChunk)) replica.apply(c);
    }
    View view = viewOf(replica);
    expectConsistent(replica);
    if (!first) first = view;
    ASSERT_EQ(view, *first);
  } while (std::next_permutation(changes.begin(), changes.end(),
                                 [](const auto& a, const auto& b) { return a.key < b.key; }));
  EXPECT_TRUE(first->finished[kChunkSize]);
  EXPECT_EQ(first->placed.at(kChunkSize + 1).machine.value, "m-9");
  EXPECT_FALSE(first->placed.contains(kChunkSize + 2));
  EXPECT_TRUE(first->placed.contains(kChunkSize + 27));
}

TEST(Parts, what_the_stretch_says_of_them_later_does_not_count) {
  Replica replica;
  for (const auto& c : changesFrom(oldRecords())) replica.apply(c);
  replica.apply(subChunkOfSecondChunk(100));
  View before = viewOf(replica);
  // A delayed write of the chunk record places the tasks of the sub-chunk on another machine.
  TaskChunkRecord late;
  for (std::uint32_t i = 0; i < 27; ++i) late.placed[kChunkSize + i] = placementOn("m-8", 4000);
  auto old = replica.tasksOf(*replica.job(kJobId), kChunkSize + 27, 2 * kChunkSize, false);
  late.placed.insert(old.placed.begin(), old.placed.end());
  for (std::uint32_t i = 27; i < kChunkSize; ++i) {
    if (old.finished.test(i - 27)) late.finished.set(i);
  }
  replica.apply({keys::tasks(kJobId, 1), toJson(late), Revision{101}});
  EXPECT_EQ(viewOf(replica), before);
  expectConsistent(replica);
}

TEST(Parts, of_a_job_that_is_not_known_yet_are_not_known_either) {
  Replica replica;
  replica.apply(subChunkOfSecondChunk(100));
  EXPECT_EQ(replica.modRevisionOf(subChunkOfSecondChunk(100).key), Revision{});
  EXPECT_EQ(replica.orphanSubChunks().size(), 1U);
  for (const auto& c : changesFrom(oldRecords())) replica.apply(c);
  replica.apply(subChunkOfSecondChunk(100));  // The change feed returns the record again.
  EXPECT_TRUE(replica.orphanSubChunks().empty());
  EXPECT_EQ(viewOf(replica).placed.at(kChunkSize + 1).machine.value, "m-9");
  expectConsistent(replica);
}

TEST(Parts, pages_of_states_fit_the_smaller_limit) {
  auto records = oldRecords();
  auto old = records["kh/flowp/w-1/0123456789abcdef/0"].get<std::string>();
  auto states = *unpackPage(old);
  EXPECT_GT(old.size(), 2048U) << "the form of the version before";
  auto dense = packPage(states, true);
  EXPECT_LT(dense.size(), 1500U);
  EXPECT_EQ(unpackPage(dense), std::optional(states));
  for (std::size_t n : {1, 2, 3, 4, 100, 4094, 4095}) {
    auto some = states.substr(0, n);
    EXPECT_EQ(unpackPage(packPage(some, true)), std::optional(some)) << n;
  }
  for (const char* bad : {"~", "~~", "~0~", "~3~", "~1~AA", "~4097~A", "~3~*", "~x~A"}) {
    EXPECT_FALSE(unpackPage(bad)) << bad;
  }
}

}  // namespace
}  // namespace kestrelhoist
