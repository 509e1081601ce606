// Until when the copy is known to be whole.
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
  StoreClient store{runtime, runtime, "state:1", 1000};
  Replica replica;
  ChangeWatcher watcher{runtime, store, replica, {}};

  // As another controller.
  void write(const std::string& key, const Json& data = Json::object()) {
    network.send(
        "node1", "state:1",
        {"POST", "/commit",
         encodeBody({{"when", Json::array()}, {"writes", {{{"set", key}, {"data", data}}}}})},
        1000, [](const std::optional<Response>&) {});
  }
};

// Leases were renewed from such a copy as if it were new: what was cancelled since its first page
// is on none of its pages.
TEST_F(Load, ThatStraddlesARefusalIsAsOldAsItsFirstPage) {
  for (int i = 0; i < 300; ++i) write("kh/job/j-" + std::to_string(100000 + i));
  clock.runUntil(2000);
  watcher.start();
  Instant first = runtime.now();
  clock.in(5, [this] { state.rejectRequestsFrom("node0", 20000); });  // after the first page
  clock.runUntil(2100);
  EXPECT_FALSE(watcher.loaded());
  write("kh/job/j-100000");
  // The rest comes in a moment between two refusals, and no read of changes after it.
  while (!watcher.loaded() && clock.now() < 30000) clock.runUntil(clock.now() + 1);
  ASSERT_TRUE(watcher.loaded());
  state.rejectRequestsFrom("node0", 20000);
  clock.runUntil(clock.now() + 1000);
  EXPECT_EQ(watcher.snapshotTime(), first);
  EXPECT_GE(watcher.contactAge(), Duration{20000});
  clock.runUntil(clock.now() + 21000);
  EXPECT_LT(watcher.contactAge(), Duration{2000});
}

// All twelve replicas of a service that was accepted while a controller that had just come back
// read the records were placed a second time by it (ran_twice on a day of operations, vhda).
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
  // Behind the first page, which was asked for, before the second.
  clock.in(5, [&] {
    write(keys::job(spec->id), toJson(job));
    write(keys::tasks(spec->id, 0), toJson(tasks));
    state.rejectRequestsFrom("node0", 100);
  });
  clock.runUntil(5000);
  ASSERT_TRUE(watcher.loaded());
  ASSERT_TRUE(replica.job(spec->id));
  EXPECT_EQ(replica.job(spec->id)->placed.size(), 1U);
}

}  // namespace
}  // namespace kestrelhoist
