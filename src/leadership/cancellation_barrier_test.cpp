#include "leadership/cancellation_barrier.hpp"

#include <gtest/gtest.h>

#include "store/replica.hpp"

namespace kestrelhoist {
namespace {

struct Told : testing::Test {
  std::vector<Peer> peers{{MemberId{"b"}, ZoneId{"b"}, "b:1"}, {MemberId{"c"}, ZoneId{"c"}, "c:1"}};
  CancellationBarrier witnesses{peers};
  void hear(const char* peer, std::int64_t asked, std::optional<Revision> newest) {
    witnesses.onPeerStatus(MemberId{peer}, Instant{asked}, newest, Revision{100});
  }
};

TEST_F(Told, IsTheEarliestQuestionOfAllPeers) {
  hear("b", 5000, Revision{100});
  EXPECT_FALSE(witnesses.snapshotTime());  // c may have told anything
  hear("c", 4000, Revision{7});
  EXPECT_EQ(witnesses.snapshotTime(), Instant{4000});
  hear("c", 6000, Revision{7});
  EXPECT_EQ(witnesses.snapshotTime(), Instant{5000});
  hear("b", 3000, Revision{100});  // an answer that was long under way takes nothing back
  EXPECT_EQ(witnesses.snapshotTime(), Instant{5000});
}

TEST_F(Told, APeerWithSomethingNewerIsNoWitness) {
  hear("b", 9000, Revision{100});
  hear("c", 5000, Revision{100});
  hear("c", 9000, Revision{101});  // cancelled there, and not known here
  EXPECT_EQ(witnesses.snapshotTime(), Instant{5000});
}

TEST_F(Told, APeerThatHasNotReadAllIsNoWitness) {
  hear("b", 9000, Revision{100});
  hear("c", 5000, Revision{100});
  hear("c", 9000, std::nullopt);  // has just started: what its earlier life told is not known
  EXPECT_EQ(witnesses.snapshotTime(), Instant{5000});
}

TEST(ReplicaCancellations, NewestIsOfWhatIsCancelledOnly) {
  Replica r;
  JobRecord job;
  auto spec = std::make_shared<JobSpec>();
  spec->id = JobId{"j-000001"};
  spec->tasks = 1;
  job.spec = spec;
  job.chunkSize = 100;
  auto at = [&](JobPhase phase, std::uint64_t revision) {
    job.phase = phase;
    r.apply({keys::job(spec->id), toJson(job), Revision{revision}});
    return r.newestCancellation();
  };
  EXPECT_EQ(at(JobPhase::active, 3), Revision{});
  EXPECT_EQ(at(JobPhase::cancelled, 8), Revision{8});
  EXPECT_EQ(r.revision(), Revision{});  // an own commit, not read back yet
  r.clear();
  EXPECT_EQ(r.newestCancellation(), Revision{});
}

}  // namespace
}  // namespace kestrelhoist
