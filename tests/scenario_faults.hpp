/// The base of the scenario runner: settings of the world, faults of controllers, network and
/// machines, and drawn mixtures of them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/log.hpp"
#include "sim/world.hpp"

namespace kestrelhoist::sim {

struct Line {
  std::string file;
  int number{};
  std::vector<std::string> words;
  std::string where() const { return file + ":" + std::to_string(number); }
};

// "key value" pairs after `from`.
inline std::map<std::string, std::string> options(const Line& line, std::size_t from) {
  std::map<std::string, std::string> out;
  for (std::size_t i = from; i + 1 < line.words.size(); i += 2)
    out[line.words[i]] = line.words[i + 1];
  return out;
}

// Milliseconds of a word that tells seconds.
inline std::int64_t toMilliseconds(const std::string& seconds) {
  return static_cast<std::int64_t>(std::stod(seconds) * 1000);
}

constexpr std::int64_t kRestartMs = 4000;  // until a process that ended is back

// What is wrong with a line, if anything: numbers that are none, or that can't be. In words at
// these places, counted from the verb.
std::string wrongNumber(const Line& line);

class ScenarioFaults {
 public:
  virtual ~ScenarioFaults() = default;

 protected:
  void configure(const Line& line);

  CutMode mode(const std::string& word) {
    if (word == "reset" || word == "refuse") return CutMode::reset;
    if (word == "slow") return CutMode::slow;
    return word == "drop" ? CutMode::drop : CutMode::hold;
  }

  std::set<std::string> group(const std::string& word);

  // "leader", "other" (the next after it), "third" or a number.
  int nodeOf(const std::string& word) {
    int leader = world_->parseController("leader");
    if (word == "other") return (leader + 1) % settings_.nodes;
    if (word == "third") return (leader + 2) % settings_.nodes;
    return world_->parseController(word);
  }

  // One, in "turn", "all", or the "rest": all but the one that `alone` names.
  void crash(std::string who, std::int64_t downMs) {
    for (int i = 0; who == "rest" && i < settings_.nodes; ++i) {
      if (i != alone_) world_->crash(i, downMs);
    }
    if (who == "rest") return;
    if (who == "turn") who = std::to_string(turn_++ % settings_.nodes);
    if (who != "all") return world_->crash(nodeOf(who), downMs);
    for (int i = 0; i < settings_.nodes; ++i) world_->crash(i, downMs);
  }

  // link NODE to GROUP up|hold|drop|reset|refuse|slow|in|out SECONDS; in, out: only this way is
  // held.
  void link(int node, const std::string& to, const std::string& how, std::int64_t ms) {
    if (how == "up") return;
    CutWay way = how == "in" ? CutWay::in : how == "out" ? CutWay::out : CutWay::both;
    world_->network.cut("node" + std::to_string(node), group(to), mode(how), ms, way);
  }

  // The zone of this controller, from everything outside.
  void cutZone(int node, CutMode how, std::int64_t ms) {
    const auto& zones = settings_.zones;
    const auto& zone = zones[static_cast<std::size_t>(node) % zones.size()];
    std::set<std::string> inside{"node" + std::to_string(node)};
    for (const auto& [host, worker] : world_->workers) {
      if (worker->zone == zone) inside.insert(host);
    }
    world_->network.isolate(inside, how, ms);
  }

  std::string busyMachine(const std::string& word) {
    auto busy = world_->machinesWithTasks();
    if (word == "busy") return busy.empty() ? "" : busy.front();
    if (word == "second") return busy.size() < 2 ? "" : busy[1];  // of those with tasks
    for (const auto& [host, w] : world_->workers) {
      if (word == "spot" && w->spot && !w->isDead) return host;
    }
    return word;
  }

  // Of a job that awaits others: see ScenarioPipelines.
  virtual bool pipelineOption(JobPlan& job, const std::string& key, const std::string& value) = 0;

  JobPlan jobFrom(const std::string& id, const std::map<std::string, std::string>& chosen);

  // Neither state service nor other controllers; its workers reach it.
  void alone(const std::string& who, const std::string& how, std::int64_t ms) {
    alone_ = nodeOf(who);
    link(alone_, "state", how, ms);
    link(alone_, "peers", how, ms);
  }

  // beside WHAT SECONDS: another trouble at the same time.
  void beside(const std::string& what, std::int64_t ms);

  // catch STEP WHO DOWN TIMES: at this step of an election the candidate (`one`), it and another
  // (`two`) or `all` end, and are back after so long; so many times.
  struct Catch {
    std::string step, who;
    std::int64_t downMs{};
    int left{};
  };
  void caught(const std::string& step, const std::string& member);
  // lease: granted, no token yet; token: won, no report yet; round: reports come in; commit: the
  // first change is written, and not heard of.
  void watchElection();

  // These machines' reports arrive, but neither answers nor commands reach them.
  void deafZone(const std::string& zone, CutMode how, std::int64_t ms) {
    for (const auto& [host, worker] : world_->workers) {
      if (zone == "all" || worker->zone == zone) {
        world_->network.cut(host, {}, how, ms, CutWay::in);
      }
    }
  }

  // Any of its parts, with a period that opens within three minutes and closes within five.
  Json drawnPolicy();

  // Random faults, jobs and cancellations for a while; the seed decides.
  void chaos(double seconds);
  // What the faults of one step of `chaos` have in common; not every one uses all of it.
  struct DrawnFault {
    int node{};
    std::vector<std::string> busy;  // machines with tasks
    std::int64_t durationMs{};
    CutMode mode{};
  };
  void drawPolicyChange();
  // Nothing, if the kind is none of controllers and services, or none of machines.
  void drawControllerFault(std::uint64_t kind, const DrawnFault& fault);
  void drawMachineFault(std::uint64_t kind, const DrawnFault& fault);
  void submitDrawnJob();
  std::uint64_t drawBelow(std::uint64_t bound);

  static constexpr double kLeastServed = 0.5;
  static constexpr std::int64_t kForgotten = 75000;
  // Less is too short to tell: one machine that ended would be all.
  static constexpr std::int64_t kJudgedMs = 40000;
  std::set<std::string> mayStarve_;
  std::vector<Line> lines_;
  WorldSettings settings_;
  std::unique_ptr<World> world_;
  std::vector<std::string> submitted_;
  std::vector<std::string> named_;  // submitted by lines
  int nextJob_ = 500000;
  int turn_ = 0;
  int leadershipsBefore_ = 0;
  std::vector<Catch> catches_;
  int alone_ = -1, marked_ = -1;
  std::set<std::string> markedMachines_;
  std::int64_t machinesMarkedAt_ = 0;
  bool policies_ = false;
  std::map<std::string, Network::Traffic> trafficBefore_;
  double trafficAt_ = 0;
  std::map<std::string, FlowPlanSpec> flows_;
};

}  // namespace kestrelhoist::sim
