#include "scenario_fault_combinations.hpp"

namespace kestrelhoist::sim {

void ScenarioFaultCombinations::gap(int times) {
  auto cancel = static_cast<std::int64_t>(settings_.cancelS * 1000);
  for (int i = 0; i < times; ++i) {
    std::int64_t refused = 200 + pick(13800), outage = cancel / 2 + pick(cancel * 3 / 2);
    refuseThenAll(refused, outage);
    for (int n = 0; n < 4; ++n) {
      // Half of the cancellations come in the last 100 ms before the outage.
      cancelThroughOthers(pick(2) ? pick(refused) : refused - pick(100) - 1);
    }
    if (pick(2)) {
      std::int64_t at = std::max<std::int64_t>(0, refused + pick(3000) - 1500);
      std::string who = pick(3) == 0 ? "leader" : std::to_string(pick(settings_.nodes));
      crashAt(at, who, pick(500));
    }
    if (pick(2)) hangOne(refused + pick(cancel));
    bool early = pick(4) == 0;  // The next round begins before this outage is over.
    world_->runFor(static_cast<double>(refused + (early ? outage / 2 : outage + pick(30000))) /
                   1000);
    if (!world_->broken.empty()) return;
  }
}

void ScenarioFaultCombinations::meet(const std::string& what, std::int64_t ms) {
  World& w = *world_;
  if (what == "apart") {  // Tasks of one job end far apart while leaders crash.
    for (int i = 0; i < 6; ++i) {
      JobPlan p;
      p.id = "j-70000" + std::to_string(i);
      p.tasks = 2 + i % 2;
      p.spot = i % 3 == 0;
      p.runS = static_cast<double>(1 + pick(8));
      p.staggerS = static_cast<double>(ms / 2 / 1000 + pick(8));
      p.jobClass = "apart";
      w.submit(p);
    }
    for (int i = 0; i < 3; ++i) crashAt(pick(ms), "leader", pick(2) ? pick(900) : kRestartMs);
  } else if (what == "late_writes") {  // Writes get no answer and are applied after newer writes.
    w.network.lateTransactionShare = 0.3;
    w.clock.in(ms, [&w] { w.network.lateTransactionShare = 0; });
    for (int i = 0; i < 4; ++i) submitAt(pick(ms));
    for (int i = 0; i < 2; ++i) cancelThroughOthers(pick(ms));
    if (pick(2)) crashAt(pick(ms), "leader", pick(900));
  } else if (what == "alone") {  // The leader reaches only the workers.
    isolate("leader", pick(2) ? "hold" : "reset", ms);
    for (int i = 0; i < 3; ++i) cancelThroughOthers(pick(ms));
  } else if (what == "over") {
    // Leaders crash, and at a drawn moment all controllers do; one of them restarts within 0.9 s.
    for (int i = 0; i < 3; ++i) crashAt(pick(ms), "leader", pick(1000));
    w.clock.in(pick(ms), [this, first = pick(settings_.nodes), back = pick(900)] {
      for (int n = 0; n < settings_.nodes; ++n) world_->crash(n, n == first ? back : kRestartMs);
    });
    cancelThroughOthers(pick(ms));
  } else if (what == "unreached") {
    // Some machines with tasks are cut off, inbound or in both directions, and the leader crashes.
    auto busy = w.machinesWithTasks();
    for (const auto& host : busy) {
      if (pick(3) != 0) continue;
      w.network.cut(host, {}, CutMode::hold, ms, pick(2) ? CutWay::in : CutWay::both);
    }
    crashAt(pick(ms / 2), "leader", pick(2) ? pick(900) : kRestartMs);
    cancelThroughOthers(pick(ms));
  } else if (what == "held") {  // Commands and answers are delayed while machines hang and resume.
    w.network.delayedCommands = {0.3, 200, 8000};
    w.clock.in(ms, [&w] { w.network.delayedCommands = {}; });
    for (int i = 0; i < 3; ++i) w.clock.in(pick(ms), [this] { hangOne(1000 + pick(12000)); });
    for (int i = 0; i < 3; ++i) submitAt(pick(ms));
    for (int i = 0; i < 2; ++i) cancelThroughOthers(pick(ms));
  } else if (what == "refused") {
    // The state service is slow, then refuses the leader alone, then fails for longer than
    // cancel_s.
    w.network.stateServiceDelayMs = 300 + pick(1500);
    w.clock.in(ms, [&w] { w.network.stateServiceDelayMs = 0; });
    std::int64_t refused = 200 + pick(13800);
    refuseThenAll(refused, static_cast<std::int64_t>(settings_.cancelS * 1000) + pick(10000));
    for (int i = 0; i < 3; ++i) cancelThroughOthers(pick(refused));
  } else if (what == "old") {  // Reports of earlier sessions and attempts arrive after newer ones.
    w.network.duplicateReports = {0.5, 1000, 60000};
    w.clock.in(ms, [&w] { w.network.duplicateReports = {}; });
    blockMessagesToZone(settings_.zones[static_cast<std::size_t>(pick(2))], CutMode::hold,
                        static_cast<std::int64_t>(settings_.leaseS * 1000) + pick(8000));
    cancelThroughOthers(pick(ms));
    if (pick(2)) crashAt(pick(ms), "leader", pick(900));
  } else if (what == "copied") {  // Commands that were carried out and answered arrive once more.
    w.region.commandCopies = {0.5, 500, 60000};
    w.clock.in(ms, [&w] { w.region.commandCopies = {}; });
    cancelThroughOthers(pick(ms));
    if (pick(2)) crashAt(pick(ms), "leader", pick(900));
    if (pick(2)) w.clock.in(pick(ms), [this] { hangOne(pick(1000)); });
  } else if (what == "launch") {  // The direct launches of the next placement are delayed.
    w.state.onCommit = [this, &w, ms, before = w.state.onCommit,
                        begun = false](const Json& writes) mutable {
      before(writes);
      bool places = std::any_of(writes.begin(), writes.end(), [](const Json& write) {
        return write.value("set", std::string()).starts_with("kh/tasks/");
      });
      if (!places || std::exchange(begun, true)) return;
      int leader = w.parseController("leader");
      w.region.cloudOutageUntil = w.clock.now() + ms;
      for (const char* to : {"peers", "zone-a", "zone-b"}) link(leader, to, "hold", ms);
    };
  } else {
    FAIL() << "unknown meeting " << what;
  }
}

}  // namespace kestrelhoist::sim
