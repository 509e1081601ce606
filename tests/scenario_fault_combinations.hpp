/// Declares the steps that play named combinations of faults. The seed of the world decides
/// everything drawn.
#pragma once

#include "scenario_faults.hpp"

namespace kestrelhoist::sim {

/// Plays named combinations of faults.
class ScenarioFaultCombinations : public ScenarioFaults {
 protected:
  // gap TIMES: the state service first refuses the leader alone for 0.2 to 14 s, while peers
  // confirm cancellations up to the last 100 ms. Then the state service is down for all controllers
  // for half of `cancel_s` to twice `cancel_s`, while workers keep sending reports. The seed draws
  // the cancelled jobs, the controllers that cancel them, a machine that hangs, a controller that
  // restarts within 500 ms, and whether the next refusal begins before the outage is over.
  void gap(int times);

  // meet WHAT SECONDS: plays the combination WHAT now; its faults last for SECONDS.
  void meet(const std::string& what, std::int64_t ms);

 private:
  std::int64_t pick(std::int64_t n) {
    return static_cast<std::int64_t>(world_->random() % static_cast<std::uint64_t>(n));
  }
  void crashAt(std::int64_t at, const std::string& who, std::int64_t downMs) {
    world_->clock.in(at, [this, who, downMs] { crash(who, downMs); });
  }
  // Cancels the next job that a line of the scenario submitted, through a controller that does not
  // lead at that moment. The first submitted job is never cancelled, and each other job at most
  // once.
  void cancelThroughOthers(std::int64_t at) {
    if (cancelled_ + 1 >= jobsOfLines_.size()) return;
    std::string id = jobsOfLines_[++cancelled_];
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

  std::size_t cancelled_ = 0;  // This is the index in jobsOfLines_ of the last cancelled job.
};

}  // namespace kestrelhoist::sim
