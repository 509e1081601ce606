/// Cancellations while machines, network and leaders fail.
#pragma once

#include "scenario_concurrent_reads.hpp"

namespace kestrelhoist::sim {

class ScenarioMachineFaults : public ScenarioConcurrentReads {
 protected:
  /// Plays the line if its verb is one of this file; false if not.
  bool machineFaultsStep(const Line& line);

 private:
  static constexpr double kLongToGo = 30;
  static constexpr std::size_t kMostHang = 8;

  std::int64_t draw(std::int64_t n) {
    return static_cast<std::int64_t>(world_->random() % static_cast<std::uint64_t>(n));
  }

  // That many of the jobs with long to go, drawn.
  std::vector<std::string> someRunning(int count) {
    auto ids = world_->runningFor(kLongToGo);
    // Those of the class `kept` are never cancelled.
    std::erase_if(ids, [this](const auto& id) { return world_->plan(id)->jobClass == "kept"; });
    std::shuffle(ids.begin(), ids.end(), world_->random);
    if (ids.size() > static_cast<std::size_t>(count)) ids.resize(static_cast<std::size_t>(count));
    return ids;
  }

  // Users call off that many running jobs with long to go within a fifth of a second; up to eight
  // of their machines hang so long.
  void cancelNow(int count, std::int64_t hangMs);

  // With each of the next claims of the leader key: that many jobs are cancelled at drawn moments
  // up to the end of the report round, each through another node.
  void cancelAtClaim(int count, int times);

  // Jobs are cancelled at the very moment at which the state service refuses the leader alone
  // (100 ms before to 100 ms after); a second later it is down for all, longer than cancel_s.
  void cancelEdge();

  // A third of the machines with tasks hang, are cut off or deaf.
  void outOfReach(const std::string& how, std::int64_t ms);

  // Commands and answers are held up, or requests come late, for a while.
  void disturb(const std::string& how, std::int64_t ms) {
    World& w = *world_;
    if (how == "held") w.network.delayedCommands = {0.2, 200, 8000};
    if (how == "late") w.network.lateTransactionShare = 0.1;
    w.clock.in(ms, [&w] {
      w.network.delayedCommands = {};
      w.network.lateTransactionShare = 0;
    });
  }

  // Workers open no connections to controllers: one machine, a share of all, a zone's, all.
  void mute(const std::string& which, std::int64_t ms);
};

}  // namespace kestrelhoist::sim
