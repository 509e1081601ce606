// This property test runs random flow graphs, faults and amendments on complete controllers in
// virtual time. It guards against stale or missing outputs: at the end, each target file must equal
// the file that a serial execution of the final flow version alone would produce.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/log.hpp"
#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {

const int kSeeded = setenv("RC_PARAMS", "seed=20261201 max_success=150", 1);

std::map<std::string, std::string> serially(const rules::FlowPlan& plan) {
  std::map<std::string, std::string> files;
  for (const auto& i : plan.instances) {
    for (const auto& out : i.outputs) files[out] = World::workKey(i);
  }
  return files;
}

TEST(FlowProperty, ComesToWhatASerialExecutorMakes) {
  EXPECT_EQ(kSeeded, 0);
  spdlog::set_level(spdlog::level::off);
  int round = 0;
  EXPECT_TRUE(rc::check([&] {
    if (++round > 60) return;  // This limit keeps the test to a few seconds.
    WorldSettings settings;
    settings.seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000));
    World w(settings);
    FlowPlanSpec spec;
    spec.id = "w-7";
    spec.seed = settings.seed;
    spec.random = true;
    spec.width = *rc::gen::inRange(1, 9);
    spec.length = *rc::gen::inRange(1, 6);
    spec.deps = *rc::gen::inRange(1, 4);
    spec.join = *rc::gen::arbitrary<bool>();
    spec.runS = *rc::gen::inRange(1, 12);
    spec.retries = 2;
    spec.failLayer = *rc::gen::inRange(-1, spec.length);
    spec.failTimes = *rc::gen::inRange(0, 3);
    w.submitFlow(spec);
    int amendments = 0;
    for (int step = *rc::gen::inRange(0, 8); step > 0; --step) {
      w.runFor(*rc::gen::inRange(1, 25));
      auto busy = w.machinesWithTasks();
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          w.crash(w.parseController("leader"));
          break;
        case 1:
          for (int i = 0; i < settings.nodes; ++i) w.crash(i);
          break;
        case 2:
          if (!busy.empty()) w.workers[busy.front()]->die();
          break;
        case 3:
          w.state.outage(4000);
          break;
        case 4:
          if (!busy.empty()) w.network.cut(busy.back(), {}, CutMode::hold, 15000);
          break;
        case 5:
          w.crashAtFlowCommit =
              w.flowCommits + 1 + static_cast<std::size_t>(*rc::gen::inRange(0, 6));
          break;
        default:
          if (w.flowPhase("w-7") != "open" || amendments > 2) break;
          ++amendments;
          spec.marked.insert(*rc::gen::inRange(0, spec.length));
          spec.width = *rc::gen::inRange(1, 9);
          w.amendFlow(spec);
          w.runFor(8);
      }
    }
    w.runFor(500);
    for (const auto& b : w.broken) RC_FAIL(b);
    RC_ASSERT(w.flowPhase("w-7") == "done");
    auto expected = serially(w.flowPlan("w-7"));
    const auto& files = w.flowFiles("w-7");
    for (const auto& [name, key] : expected) {
      RC_ASSERT(files.contains(name));
      RC_ASSERT(files.at(name) == key);
    }
  }));
}

}  // namespace
}  // namespace kestrelhoist::sim
