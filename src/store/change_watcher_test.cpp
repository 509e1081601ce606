// Tests that the change watcher loads the replica completely and reports its snapshot time
// correctly.
#include "store/change_watcher.hpp"

#include <gtest/gtest.h>

#include "sim/virtual_time.hpp"
#include "simulator/model/state_service.hpp"

namespace kestrelhoist {
namespace {

struct Load : testing::Test {
  sim::VirtualClock clock;
  std::mt19937_64 random{1};
  sim::Network network{clock, random};
  simulator::StateService state{clock, network, "state:1"};
  sim::HostRuntime runtime{clock, network, "node0", 1.0};
  StoreClient store{runtime, runtime, "state:1", 1000, CommitLimits({8, 8192}, 8192)};
  Replica replica;
  ChangeWatcher watcher{runtime, store, replica, {}};

  // Writes a record as another controller would.
  void write(const std::string& key, const Json& data = Json::object()) {
    network.send(
        "node1", "state:1",
        {"POST", "/commit",
         encodeBody({{"when", Json::array()}, {"writes", {{{"set", key}, {"data", data}}}}})},
        1000, [](const std::optional<Response>&) {});
  }
};

// Guards against leases renewed for cancelled tasks. The state service refuses requests during a
// load in pages, and a cancellation after the first page is in none of the pages. The snapshot time
// must therefore be that of the first page.
TEST_F(Load, ThatStraddlesARefusalIsAsOldAsItsFirstPage) {
  for (int i = 0; i < 300; ++i) write("kh/job/j-" + std::to_string(100000 + i));
  clock.runUntil(2000);
  watcher.start();
  Instant first = runtime.now();
  clock.in(5, [this] {
    state.rejectRequestsFrom("node0", 20000);
  });  // The first page has been read by then.
  clock.runUntil(2100);
  EXPECT_FALSE(watcher.isLoaded());
  write("kh/job/j-100000");
  // The state service answers long enough for the remaining pages, and then refuses the reads of
  // changes.
  while (!watcher.isLoaded() && clock.now() < 30000) clock.runUntil(clock.now() + 1);
  ASSERT_TRUE(watcher.isLoaded());
  state.rejectRequestsFrom("node0", 20000);
  clock.runUntil(clock.now() + 1000);
  EXPECT_EQ(watcher.snapshotTime(), first);
  EXPECT_GE(watcher.snapshotAge(), Duration{20000});
  clock.runUntil(clock.now() + 21000);
  EXPECT_LT(watcher.snapshotAge(), Duration{2000});
}

// Guards against tasks placed twice. A job was created while a restarted controller loaded the
// records in pages, after the page of job records had been read. The controller missed the job's
// placements and placed all tasks again.
TEST_F(Load, ShowsTasksOfAJobThatWasCreatedMeanwhile) {
  for (int i = 0; i < 300; ++i) write("kh/job/j-" + std::to_string(100000 + i));
  clock.runUntil(2000);
  watcher.start();
  auto spec = std::make_shared<JobSpec>();
  spec->id = JobId{"j-000001"};
  spec->tasks = 1;
  JobRecord job;
  job.spec = spec;
  job.chunkSize = 100;
  TaskChunkRecord tasks;
  tasks.placed[0] = {MachineId{"host-000001"}, WorkerEpoch{1}, Attempt{300}};
  // The job is written after the first page was requested and before the second. Its key sorts
  // before the keys of the second page.
  clock.in(5, [&] {
    write(keys::job(spec->id), toJson(job));
    write(keys::tasks(spec->id, 0), toJson(tasks));
    state.rejectRequestsFrom("node0", 100);
  });
  clock.runUntil(5000);
  ASSERT_TRUE(watcher.isLoaded());
  ASSERT_TRUE(replica.job(spec->id));
  EXPECT_EQ(replica.job(spec->id)->placed.size(), 1U);
}

}  // namespace
}  // namespace kestrelhoist
