// Meetings of machines, team limits, cuts and leaders: what users cancel while these change.
#pragma once

#include "scenario_concurrent_reads.hpp"

namespace kestrelhoist::sim {

class ScenarioMachineFaults : public ScenarioConcurrentReads {
 protected:
  // Whether the line is one of these.
  bool machineFaultsStep(const Line& line) {
    World& w = *world_;
    const auto& words = line.words;
    auto ms = [&](std::size_t at) {
      return words.size() > at ? static_cast<std::int64_t>(std::stod(words[at]) * 1000) : 0;
    };
    if (words[0] == "cancel_now") {  // cancel_now COUNT [HANG_S]
      cancelNow(std::stoi(words.at(1)), ms(2));
    } else if (words[0] == "cancel_at_claim") {  // cancel_at_claim COUNT TIMES
      cancelAtClaim(std::stoi(words.at(1)), std::stoi(words.at(2)));
    } else if (words[0] == "cancel_edge") {  // cancel_edge TIMES
      for (int i = 0; i < std::stoi(words.at(1)) && w.broken.empty(); ++i) cancelEdge();
    } else if (words[0] == "machine_mute") {  // machine_mute busy|HOST|SHARE|ZONE|all SECONDS
      mute(words.at(1), ms(2));
    } else if (words[0] == "reach") {  // reach hang|cut|deaf SECONDS
      outOfReach(words.at(1), ms(2));
    } else if (words[0] == "disturb") {  // disturb nothing|held|late SECONDS
      disturb(words.at(1), ms(2));
    } else if (words[0] == "calm") {  // all troubles are over
      w.calm();
    } else {
      return false;
    }
    return true;
  }

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
  void cancelNow(int count, std::int64_t hangMs) {
    World& w = *world_;
    std::vector<std::string> hosts;
    for (const auto& id : someRunning(count)) {
      w.clock.in(draw(200), [&w, id] { w.abort(id); });
      for (const auto& host : w.machinesOf(id)) hosts.push_back(host);
    }
    if (hangMs == 0) return;
    std::shuffle(hosts.begin(), hosts.end(), w.random);
    if (hosts.size() > kMostHang) hosts.resize(kMostHang);
    for (const auto& host : hosts) {
      w.clock.in(draw(200), [&w, host, hangMs] { w.workers[host]->hang(hangMs); });
    }
  }

  // With each of the next claims of the leader key: that many jobs are cancelled at drawn moments
  // up to the end of the report round, each through another node.
  void cancelAtClaim(int count, int times) {
    World& w = *world_;
    w.state.onCommit = [this, &w, count, times,
                        before = w.state.onCommit](const Json& writes) mutable {
      before(writes);
      bool claim = std::any_of(writes.begin(), writes.end(), [](const Json& write) {
        return write.value("set", std::string()) == "kh/leader";
      });
      if (!claim || times-- <= 0) return;
      auto round = static_cast<std::int64_t>(settings_.reportS * 1250) + 500;
      for (int i = 0; i < count; ++i) {
        w.clock.in(draw(round), [this, &w, node = i % settings_.nodes] {
          for (const auto& id : someRunning(1)) w.abortThrough(id, node);
        });
      }
    };
  }

  // Jobs are cancelled at the very moment at which the state service refuses the leader alone
  // (100 ms before to 100 ms after); a second later it is down for all, longer than cancel_s.
  void cancelEdge() {
    World& w = *world_;
    constexpr std::int64_t kEdge = 100, kThenAll = 1000, kUntilOver = 20000;
    auto outage = static_cast<std::int64_t>(settings_.cancelS * 1000) + 1000 + draw(20000);
    int leader = w.nodeFrom("leader");
    w.clock.in(kEdge, [&w, leader, outage] {
      w.state.refuse("node" + std::to_string(leader), kThenAll + outage);
    });
    w.clock.in(kEdge + kThenAll, [&w, outage] { w.state.outage(outage); });
    for (const auto& id : someRunning(4)) {
      w.clock.in(draw(2 * kEdge),
                 [this, &w, id] { w.abortThrough(id, static_cast<int>(draw(settings_.nodes))); });
    }
    w.runFor(static_cast<double>(kEdge + kThenAll + outage + kUntilOver) / 1000);
  }

  // A third of the machines with tasks hang, are cut off or deaf.
  void outOfReach(const std::string& how, std::int64_t ms) {
    World& w = *world_;
    for (const auto& host : w.machinesWithTasks()) {
      if (draw(3) != 0) continue;
      if (how == "hang") {
        w.workers[host]->hang(ms);
      } else {
        w.network.cut(host, {}, CutMode::hold, ms, how == "deaf" ? CutWay::in : CutWay::both);
      }
    }
  }

  // Commands and answers are held up, or requests come late, for a while.
  void disturb(const std::string& how, std::int64_t ms) {
    World& w = *world_;
    if (how == "held") w.network.held = {0.2, 200, 8000};
    if (how == "late") w.network.lateWrites = 0.1;
    w.clock.in(ms, [&w] {
      w.network.held = {};
      w.network.lateWrites = 0;
    });
  }

  // Workers open no connections to controllers: one machine, a share of all, a zone's, all.
  void mute(const std::string& which, std::int64_t ms) {
    World& w = *world_;
    bool share = which.find('.') != std::string::npos;
    auto one = busyMachine(which);
    for (const auto& [host, worker] : w.workers) {
      if (worker->gone) continue;
      bool hit = share ? static_cast<double>(draw(1000)) < std::stod(which) * 1000
                       : which == "all" || worker->zone == which || host == one;
      if (hit) w.network.mute(host, draw(2) == 0, ms);
    }
  }
};

}  // namespace kestrelhoist::sim
