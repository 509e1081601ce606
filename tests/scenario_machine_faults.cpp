#include "scenario_machine_faults.hpp"

namespace kestrelhoist::sim {

bool ScenarioMachineFaults::machineFaultsStep(const Line& line) {
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
    blockConnections(words.at(1), ms(2));
  } else if (words[0] == "reach") {  // reach hang|cut|deaf SECONDS
    makeUnreachable(words.at(1), ms(2));
  } else if (words[0] == "disturb") {  // disturb nothing|held|late SECONDS
    disturb(words.at(1), ms(2));
  } else if (words[0] == "calm") {  // This line ends all faults.
    w.markFaultsOver();
  } else {
    return false;
  }
  return true;
}

void ScenarioMachineFaults::cancelNow(int count, std::int64_t hangMs) {
  World& w = *world_;
  std::vector<std::string> hosts;
  for (const auto& id : drawRunningJobs(count)) {
    w.clock.in(draw(200), [&w, id] { w.abort(id); });
    for (const auto& host : w.machinesOf(id)) hosts.push_back(host);
  }
  if (hangMs == 0) return;
  std::shuffle(hosts.begin(), hosts.end(), w.random);
  if (hosts.size() > kMaxHungMachines) hosts.resize(kMaxHungMachines);
  for (const auto& host : hosts) {
    w.clock.in(draw(200), [&w, host, hangMs] { w.workers[host]->hang(hangMs); });
  }
}

void ScenarioMachineFaults::cancelAtClaim(int count, int times) {
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
        for (const auto& id : drawRunningJobs(1)) w.abortThrough(id, node);
      });
    }
  };
}

void ScenarioMachineFaults::cancelEdge() {
  World& w = *world_;
  constexpr std::int64_t kEdge = 100, kThenAll = 1000, kUntilOver = 20000;
  auto outage = static_cast<std::int64_t>(settings_.cancelS * 1000) + 1000 + draw(20000);
  int leader = w.parseController("leader");
  w.clock.in(kEdge, [&w, leader, outage] {
    w.state.rejectRequestsFrom("node" + std::to_string(leader), kThenAll + outage);
  });
  w.clock.in(kEdge + kThenAll, [&w, outage] { w.state.outage(outage); });
  for (const auto& id : drawRunningJobs(4)) {
    w.clock.in(draw(2 * kEdge),
               [this, &w, id] { w.abortThrough(id, static_cast<int>(draw(settings_.nodes))); });
  }
  w.runFor(static_cast<double>(kEdge + kThenAll + outage + kUntilOver) / 1000);
}

void ScenarioMachineFaults::makeUnreachable(const std::string& how, std::int64_t ms) {
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

void ScenarioMachineFaults::blockConnections(const std::string& which, std::int64_t ms) {
  World& w = *world_;
  bool share = which.find('.') != std::string::npos;
  auto one = busyMachine(which);
  for (const auto& [host, worker] : w.workers) {
    if (worker->isDead) continue;
    bool hit = share ? static_cast<double>(draw(1000)) < std::stod(which) * 1000
                     : which == "all" || worker->zone == which || host == one;
    if (hit) w.network.blockRequestsFrom(host, draw(2) == 0, ms);
  }
}

}  // namespace kestrelhoist::sim
