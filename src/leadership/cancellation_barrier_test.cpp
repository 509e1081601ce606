#include "leadership/cancellation_barrier.hpp"

#include <gtest/gtest.h>

#include "store/replica.hpp"

namespace kestrelhoist {
namespace {

struct Told : testing::Test {
  std::vector<Peer> peers{{MemberId{"b"}, ZoneId{"b"}, "b:1"}, {MemberId{"c"}, ZoneId{"c"}, "c:1"}};
  CancellationBarrier barrier{peers};
  void receiveStatus(const char* peer, std::int64_t sentAt, std::optional<Revision> newest) {
    barrier.onPeerStatus(MemberId{peer}, Instant{sentAt}, newest, Revision{100});
  }
};

TEST_F(Told, IsTheEarliestQuestionOfAllPeers) {
  receiveStatus("b", 5000, Revision{100});
  EXPECT_FALSE(barrier.snapshotTime());  // c may have acknowledged any cancellation.
  receiveStatus("c", 4000, Revision{7});
  EXPECT_EQ(barrier.snapshotTime(), Instant{4000});
  receiveStatus("c", 6000, Revision{7});
  EXPECT_EQ(barrier.snapshotTime(), Instant{5000});
  receiveStatus("b", 3000, Revision{100});  // A late response does not lower the time.
  EXPECT_EQ(barrier.snapshotTime(), Instant{5000});
}

TEST_F(Told, APeerWithSomethingNewerIsNoWitness) {
  receiveStatus("b", 9000, Revision{100});
  receiveStatus("c", 5000, Revision{100});
  receiveStatus("c", 9000, Revision{101});  // The local records lack this cancellation.
  EXPECT_EQ(barrier.snapshotTime(), Instant{5000});
}

TEST_F(Told, APeerThatHasNotReadAllIsNoWitness) {
  receiveStatus("b", 9000, Revision{100});
  receiveStatus("c", 5000, Revision{100});
  // c has just started and has not read what its earlier incarnation acknowledged.
  receiveStatus("c", 9000, std::nullopt);
  EXPECT_EQ(barrier.snapshotTime(), Instant{5000});
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
  EXPECT_EQ(r.revision(), Revision{});  // The change feed has not returned this commit yet.
  r.clear();
  EXPECT_EQ(r.newestCancellation(), Revision{});
}

}  // namespace
}  // namespace kestrelhoist
