/// Combinations of faults that the users named, and what each does to a world. What is drawn is
/// decided by the seed of the world.
#pragma once

#include "scenario_faults.hpp"

namespace kestrelhoist::sim {

class ScenarioFaultCombinations : public ScenarioFaults {
 protected:
  // gap TIMES: the state service refuses the leader alone (0.2 to 14 s); others confirm
  // cancellations, up to the last 100 ms; then it is down for all for half to twice `cancel_s`,
  // while the workers report as ever. With it, drawn: which jobs, through whom, a machine that
  // hangs, a controller that ends and is back within 500 ms, a second refusal before the outage is
  // over.
  void gap(int times);

  // meet WHAT SECONDS: begins now, and what it takes away is back after so long.
  void meet(const std::string& what, std::int64_t ms);

 private:
  std::int64_t pick(std::int64_t n) {
    return static_cast<std::int64_t>(world_->random() % static_cast<std::uint64_t>(n));
  }
  void crashAt(std::int64_t at, const std::string& who, std::int64_t downMs) {
    world_->clock.in(at, [this, who, downMs] { crash(who, downMs); });
  }
  // A job that was submitted by a line, never the first one, is cancelled through a controller that
  // does not lead then; each once.
  void cancelThroughOthers(std::int64_t at) {
    if (cancelled_ + 1 >= named_.size()) return;
    std::string id = named_[++cancelled_];
    world_->clock.in(at,
                     [this, id] { world_->abortThrough(id, nodeOf(pick(2) ? "other" : "third")); });
  }
  void submitAt(std::int64_t at) {
    JobPlan p;
    p.id = "j-" + std::to_string(nextJob_++);
    p.tasks = static_cast<int>(1 + pick(6));
    p.runS = static_cast<double>(3 + pick(25));
    p.spot = pick(2) == 0;
    world_->clock.in(at, [this, p] { world_->submit(p); });
  }
  void hangOne(std::int64_t ms) {
    auto busy = world_->machinesWithTasks();
    if (busy.empty()) return;
    world_->workers[busy[static_cast<std::size_t>(pick(static_cast<std::int64_t>(busy.size())))]]
        ->hang(ms);
  }
  void refuseThenAll(std::int64_t refused, std::int64_t outage) {
    int leader = world_->parseController("leader");
    std::int64_t alone = pick(2) ? refused + 12000 : refused + outage + pick(20000);
    world_->state.rejectRequestsFrom("node" + std::to_string(leader), alone);
    if (pick(3) == 0) link(leader, "peers", pick(2) ? "hold" : "reset", alone);
    world_->clock.in(refused, [this, outage] { world_->state.outage(outage); });
  }

  std::size_t cancelled_ = 0;  // of the jobs that lines submitted, in their order
};

}  // namespace kestrelhoist::sim
