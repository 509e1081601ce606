// Until when the copy is known to be whole.
#include "store/feed.hpp"

#include <gtest/gtest.h>

#include "region/model/state_service.hpp"
#include "sim/virtual_time.hpp"

namespace kestrelhoist {
namespace {

struct Load : testing::Test {
  sim::Clockwork clock;
  std::mt19937_64 random{1};
  sim::Network network{clock, random};
  region::StateService state{clock, network, "state:1"};
  sim::HostRuntime runtime{clock, network, "node0", 1.0};
  StoreClient store{runtime, runtime, "state:1", 1000};
  Replica replica;
  Feed feed{runtime, store, replica, {}};

  // As another controller.
  void write(const std::string& key) {
    network.send("node1", "state:1",
                 {"POST", "/commit",
                  encodeBody({{"when", Json::array()},
                              {"writes", {{{"set", key}, {"data", Json::object()}}}}})},
                 1000, [](const std::optional<Response>&) {});
  }
};

// Leases were renewed from such a copy as if it were new: what was cancelled since its first page is on
// none of its pages.
TEST_F(Load, ThatStraddlesARefusalIsAsOldAsItsFirstPage) {
  for (int i = 0; i < 300; ++i) write("kh/job/j-" + std::to_string(100000 + i));
  clock.runUntil(2000);
  feed.start();
  Instant first = runtime.now();
  clock.in(5, [this] { state.refuse("node0", 20000); });  // after the first page
  clock.runUntil(2100);
  EXPECT_FALSE(feed.loaded());
  write("kh/job/j-100000");
  // The rest comes in a moment between two refusals, and no read of changes after it.
  while (!feed.loaded() && clock.now() < 30000) clock.runUntil(clock.now() + 1);
  ASSERT_TRUE(feed.loaded());
  state.refuse("node0", 20000);
  clock.runUntil(clock.now() + 1000);
  EXPECT_EQ(feed.recordsAsOf(), first);
  EXPECT_GE(feed.contactAge(), Duration{20000});
  clock.runUntil(clock.now() + 21000);
  EXPECT_LT(feed.contactAge(), Duration{2000});
}

}  // namespace
}  // namespace kestrelhoist
