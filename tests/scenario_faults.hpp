/// Declares the base class of the scenario runner, which holds the settings of the world, plays
/// faults of controllers, network and machines, and draws random mixtures of them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/log.hpp"
#include "sim/world.hpp"

namespace kestrelhoist::sim {

/// Describes one line of a scenario file, split into words.
struct Line {
  std::string file;
  int number{};
  std::vector<std::string> words;
  std::string where() const { return file + ":" + std::to_string(number); }
};

// Returns the "key value" pairs of the line from word `from` on.
inline std::map<std::string, std::string> options(const Line& line, std::size_t from) {
  std::map<std::string, std::string> out;
  for (std::size_t i = from; i + 1 < line.words.size(); i += 2)
    out[line.words[i]] = line.words[i + 1];
  return out;
}

// Converts a word that gives seconds to milliseconds.
inline std::int64_t toMilliseconds(const std::string& seconds) {
  return static_cast<std::int64_t>(std::stod(seconds) * 1000);
}

constexpr std::int64_t kRestartMs = 4000;  // A crashed process restarts after this time by default.

// Returns why a number in the line is malformed or impossible, or an empty text if all are valid.
std::string numberError(const Line& line);

/// Plays faults in the world of one scenario. The seed of the world decides everything drawn.
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

  // Returns the index of a controller that is given as "leader", "other" (the next after the
  // leader), "third" (the second after the leader) or a number.
  int nodeOf(const std::string& word) {
    int leader = world_->parseController("leader");
    if (word == "other") return (leader + 1) % settings_.nodes;
    if (word == "third") return (leader + 2) % settings_.nodes;
    return world_->parseController(word);
  }

  // Crashes one controller, the next one in order ("turn"), "all" controllers, or the "rest", which
  // is every controller but the one that `alone` isolated.
  void crash(std::string who, std::int64_t downMs) {
    for (int i = 0; who == "rest" && i < settings_.nodes; ++i) {
      if (i != isolatedNode_) world_->crash(i, downMs);
    }
    if (who == "rest") return;
    if (who == "turn") who = std::to_string(nextNodeToCrash_++ % settings_.nodes);
    if (who != "all") return world_->crash(nodeOf(who), downMs);
    for (int i = 0; i < settings_.nodes; ++i) world_->crash(i, downMs);
  }

  // link NODE to GROUP up|hold|drop|reset|refuse|slow|in|out SECONDS: disturbs these links. `in`
  // and `out` hold the messages of one direction only.
  void link(int node, const std::string& to, const std::string& how, std::int64_t ms) {
    if (how == "up") return;
    CutWay way = how == "in" ? CutWay::in : how == "out" ? CutWay::out : CutWay::both;
    world_->network.cut("node" + std::to_string(node), group(to), mode(how), ms, way);
  }

  // Cuts the zone of this controller off from everything outside it.
  void cutZone(int node, CutMode how, std::int64_t ms) {
    const auto& zones = settings_.zones;
    const auto& zone = zones[static_cast<std::size_t>(node) % zones.size()];
    std::set<std::string> inside{"node" + std::to_string(node)};
    for (const auto& [host, worker] : world_->workers) {
      if (worker->zone == zone) inside.insert(host);
    }
    world_->network.isolate(inside, how, ms);
  }

  // Returns the machine that a word names: a host, the first (`busy`) or second machine with tasks,
  // or a spot machine. Returns an empty text if there is no first or second machine with tasks.
  std::string busyMachine(const std::string& word) {
    auto busy = world_->machinesWithTasks();
    if (word == "busy") return busy.empty() ? "" : busy.front();
    if (word == "second") return busy.size() < 2 ? "" : busy[1];
    for (const auto& [host, w] : world_->workers) {
      if (word == "spot" && w->spot && !w->isDead) return host;
    }
    return word;
  }

  // Applies an option of a job that depends on others, and returns false for any other option.
  // ScenarioPipelines implements it.
  virtual bool pipelineOption(JobPlan& job, const std::string& key, const std::string& value) = 0;

  JobPlan jobFrom(const std::string& id, const std::map<std::string, std::string>& chosen);

  // Cuts a controller off from the state service and its peers; workers still reach it.
  void isolate(const std::string& who, const std::string& how, std::int64_t ms) {
    isolatedNode_ = nodeOf(who);
    link(isolatedNode_, "state", how, ms);
    link(isolatedNode_, "peers", how, ms);
  }

  // beside WHAT SECONDS: adds another fault at the same time.
  void addFault(const std::string& what, std::int64_t ms);

  // catch STEP WHO DOWN TIMES: crashes controllers at this step of an election, TIMES times. WHO is
  // the candidate (`one`), the candidate and one other (`two`) or `all`. The processes restart
  // after DOWN seconds.
  struct ElectionCrash {
    std::string step, who;
    std::int64_t downMs{};
    int left{};
  };
  void crashAtElectionStep(const std::string& step, const std::string& member);
  // Installs the hooks that detect the steps of an election. At `lease` the candidate has the lease
  // of the leader key but no fencing token; at `token` it has the token but no report; at `round`
  // reports arrive; at `commit` its first change is committed but not yet answered.
  void watchElection();

  // Holds or drops all messages to the zone's machines: their reports arrive, but neither answers
  // nor commands reach them.
  void blockMessagesToZone(const std::string& zone, CutMode how, std::int64_t ms) {
    for (const auto& [host, worker] : world_->workers) {
      if (zone == "all" || worker->zone == zone) {
        world_->network.cut(host, {}, how, ms, CutWay::in);
      }
    }
  }

  // Draws a policy of any combination of parts. Its calendar period, if any, opens within three
  // minutes and closes within five.
  Json drawnPolicy();

  // Plays random faults, jobs and cancellations for this time; the seed decides which.
  void chaos(double seconds);
  // Holds the drawn parameters of one fault of `chaos`. Not every fault uses all of them.
  struct DrawnFault {
    int node{};
    std::vector<std::string> busy;  // These are the machines with tasks.
    std::int64_t durationMs{};
    CutMode mode{};
  };
  void drawPolicyChange();
  // These two do nothing if the kind belongs to the other function.
  void drawControllerFault(std::uint64_t kind, const DrawnFault& fault);
  void drawMachineFault(std::uint64_t kind, const DrawnFault& fault);
  void submitDrawnJob();
  std::uint64_t drawBelow(std::uint64_t bound);

  static constexpr double kMinServedShare = 0.5;
  static constexpr std::int64_t kAnswerBoundMs = 75000;
  // Over a shorter time the loss of one machine alone could explain a small share.
  static constexpr std::int64_t kMinJudgedMs = 40000;
  std::set<std::string> mayBeUnderserved_;
  std::vector<Line> lines_;
  WorldSettings settings_;
  std::unique_ptr<World> world_;
  std::vector<std::string> submitted_;
  std::vector<std::string> jobsOfLines_;  // Lines of the scenario submitted these jobs by id.
  int nextJob_ = 500000;
  int nextNodeToCrash_ = 0;
  int leadershipsBefore_ = 0;
  std::vector<ElectionCrash> electionCrashes_;
  int isolatedNode_ = -1, marked_ = -1;
  std::set<std::string> markedMachines_;
  std::int64_t machinesMarkedAt_ = 0;
  bool policies_ = false;
  std::map<std::string, Network::Traffic> trafficBefore_;
  double trafficAt_ = 0;
  std::map<std::string, FlowPlanSpec> flows_;
};

}  // namespace kestrelhoist::sim
