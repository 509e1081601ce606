/// Declares the steps that cancel jobs while machines, network and leaders fail.
#pragma once

#include "scenario_concurrent_reads.hpp"

namespace kestrelhoist::sim {

/// Plays cancellations, unreachable machines and delayed messages.
class ScenarioMachineFaults : public ScenarioConcurrentReads {
 protected:
  /// Plays the line and returns true if this class implements its verb.
  bool machineFaultsStep(const Line& line);

 private:
  static constexpr double kMinRemainingS = 30;
  static constexpr std::size_t kMaxHungMachines = 8;

  std::int64_t draw(std::int64_t n) {
    return static_cast<std::int64_t>(world_->random() % static_cast<std::uint64_t>(n));
  }

  // Draws up to `count` of the jobs that would run for at least 30 s more.
  std::vector<std::string> drawRunningJobs(int count) {
    auto ids = world_->runningFor(kMinRemainingS);
    // The caller cancels the drawn jobs, and jobs of the class `kept` must not be cancelled.
    std::erase_if(ids, [this](const auto& id) { return world_->plan(id)->jobClass == "kept"; });
    std::shuffle(ids.begin(), ids.end(), world_->random);
    if (ids.size() > static_cast<std::size_t>(count)) ids.resize(static_cast<std::size_t>(count));
    return ids;
  }

  // Cancels up to `count` jobs that would run for at least 30 s more, all within 200 ms. Up to
  // eight of their machines hang for this time.
  void cancelNow(int count, std::int64_t hangMs);

  // At each of the next `times` claims of the leader key, cancels `count` jobs at drawn moments up
  // to the end of the report round. The controllers take the cancellations in rotation.
  void cancelAtClaim(int count, int times);

  // Cancels jobs within 100 ms of the moment at which the state service begins to refuse the leader
  // alone. One second later the state service fails for all controllers, for longer than cancel_s.
  void cancelEdge();

  // Makes a third of the machines with tasks hang (`hang`), cuts them off in both directions
  // (`cut`) or for messages to them only (`deaf`).
  void makeUnreachable(const std::string& how, std::int64_t ms);

  // Delays a fifth of commands and answers (`held`) or applies a tenth of the transactions late
  // (`late`) for this time.
  void disturb(const std::string& how, std::int64_t ms) {
    World& w = *world_;
    if (how == "held") w.network.delayedCommands = {0.2, 200, 8000};
    if (how == "late") w.network.lateTransactionShare = 0.1;
    w.clock.in(ms, [&w] {
      w.network.delayedCommands = {};
      w.network.lateTransactionShare = 0;
    });
  }

  // Keeps workers from opening connections to controllers. The word selects one machine, a share of
  // all machines, those of a zone, or all.
  void blockConnections(const std::string& which, std::int64_t ms);
};

}  // namespace kestrelhoist::sim
