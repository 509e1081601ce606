// A small world in virtual time: controllers over stand-ins of the state service, the cloud,
// workers and users, and a checker of PROTOCOL's rules that looks at every step.
#pragma once

#include <gtest/gtest.h>

#include "app/controller.hpp"
#include "sim/state_stand_in.hpp"

namespace kestrelhoist::sim {

struct WorldSettings {
  int nodes = 3;
  std::vector<std::string> zones{"a", "b", "c"};
  double cpus = 8, gpus = 8, ram = 64;  // of the one machine type
  double bootS = 20;
  double fetchS = 2;
  int ordinaryPerZone = 4, spotPerZone = 4;
  double reportS = 1, leaseS = 11, cancelS = 41;
  double listLagS = 3;
  double gpusMax = 0;  // the team's limit
  double bootFail = 0;
  std::uint64_t seed = 1;
};

// What a user asked for.
struct JobPlan {
  std::string id;
  std::string shape = "batch";
  int tasks = 1;
  double cpus = 1, gpus = 1, ram = 4;
  double runS = 10;
  bool together = false, apart = false, spot = false;
  double checkpointS = 0;
  std::string rank = "best_effort";
  std::string zone;
};

class World;

class SimWorker {
 public:
  SimWorker(World& world, std::string host, std::string zone, bool spot);
  void start();
  Json report();
  Response onCommands(const Request& q);
  void die();
  void hang(std::int64_t ms);
  void notice(std::int64_t ms);
  // Hangs beyond its lease: its tasks end before it does anything else.
  bool leaseOver() const;
  bool gone = false;
  std::string host, zone;
  bool spot;

  struct Task {
    std::string job;
    int index{};
    std::uint64_t attempt{};
    std::string state, cause;
    std::int64_t startedAt{};
    std::uint64_t life{};  // guards its timers
    bool kept{};
  };
  // On its machine: has its image and has not exited.
  static bool on(const Task& t) { return t.state == "running" || t.state == "flushing"; }
  std::vector<Task> tasks;

 private:
  void beat();
  void schedule(std::int64_t ms);
  void changed();
  void execute(const Json& orders);
  void launch(const std::string& name, std::uint64_t attempt);
  void begin(std::uint64_t life);
  void finish(Task& t, const std::string& cause);
  void checkLease();
  Task* byLife(std::uint64_t life);
  Task* find(const std::string& name, std::uint64_t attempt);
  bool frozen() const;
  void whenAwake(std::function<void()> f);

  World& world_;
  std::uint64_t tenure_ = 1, tick_ = 0, token_ = 0;
  std::int64_t lastAnsweredSent_ = 0, lastSent_ = -1000000, hangUntil_ = 0, noticeEnds_ = 0;
  int node_ = 0;
  bool inFlight_ = false;
  std::uint64_t timer_ = 0, lives_ = 0;
};

class World {
 public:
  explicit World(WorldSettings settings);
  ~World();

  void submit(const JobPlan& job);
  void abort(const std::string& id);
  void crash(int node, std::int64_t downMs = 4000);
  int leaderNode() const;  // -1: none
  // "leader" or a number.
  int nodeFrom(const std::string& word) const;
  std::vector<std::string> machinesWithTasks() const;
  void runFor(double seconds);
  double now() const { return static_cast<double>(clock.now()) / 1000.0; }

  std::string phaseOf(const std::string& id) const;  // as last told to a user
  int runningReplicas(const std::string& id) const;
  int runningBefore(const std::string& id) const;
  std::size_t machineCount(bool spot) const;
  void setCapacity(bool spot, int perZone);

  WorldSettings settings;
  std::mt19937_64 random;
  Clockwork clock;
  Network network;
  StateStandIn state;
  std::vector<std::string> broken;  // rules, with what happened
  std::map<std::string, std::unique_ptr<SimWorker>> workers;
  std::int64_t cloudOutageUntil = 0;
  std::size_t starts = 0;
  std::size_t hired = 0;
  std::size_t hireCalls = 0;

  // For workers and the checker.
  std::string nodeApi(int i) const { return "node" + std::to_string(i) + ":80"; }
  const JobPlan* plan(const std::string& id) const;
  void onStart(SimWorker& worker, const SimWorker::Task& task);
  void checkCancelled();
  std::map<std::pair<std::string, int>, double> progress;  // saved, in seconds
  std::set<std::pair<std::string, int>> results;           // tasks that completed

 private:
  struct Node {
    Platform platform;
    OperatorSettings operatorSettings;
    std::unique_ptr<HostRuntime> runtime;
    std::unique_ptr<PlanRunner> planner;
    std::unique_ptr<Controller> controller;
    int lives = 0;
  };
  struct UserJob {
    JobPlan plan;
    bool accepted = false;
    std::string told;  // done or withdrawn, once told
    std::string last;
    std::int64_t toldAt = 0;
    std::int64_t cancelledToldAt = -1;
    bool abortAsked = false;
  };
  struct Host {
    std::string zone;
    bool spot{};
    std::int64_t rentedAt{};
    std::string phase = "booting";
    std::int64_t goneAt = -1;
  };
  void boot(int node);
  void trySubmit(const std::string& id);
  void tryAbort(const std::string& id);
  void poll(const std::string& id);
  void pollUnknown();
  void toSomeNode(Request q, std::int64_t timeout, OnReply done);
  void note(const std::string& id, const Response& r, std::int64_t askedAt);
  void fail(const std::string& rule, const std::string& what);
  Response cloud(const Request& q);
  Json spec(const JobPlan& p) const;

  std::vector<Node> nodes_;
  std::map<std::string, UserJob> users_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Json> hires_;
  std::map<std::pair<std::string, bool>, int> capacity_;
};

}  // namespace kestrelhoist::sim
