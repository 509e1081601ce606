/// \file
/// One model of the region: state service, cloud and workers, written from PROTOCOL. Used in
/// virtual time by the scenarios and over sockets by hoist-region. What tasks are and how they run
/// is the TaskHost's, so that the same workers run made-up tasks or real processes.
#pragma once

#include <map>
#include <random>
#include <set>

#include "simulator/model/state_service.hpp"

namespace kestrelhoist::simulator {

struct RegionSettings {
  std::vector<std::string> zones{"a", "b", "c"};
  std::vector<std::string> nodes;       ///< addresses at which workers report
  double cpus = 8, gpus = 8, ram = 64;  ///< of the one machine type
  double bootS = 20;
  double fetchS = 2;
  int ordinaryPerZone = 4, spotPerZone = 4;
  double reportS = 1, leaseS = 11;
  double listLagS = 3;
  double bootFail = 0;
  double failedAfterS = 0;    ///< a machine that has died is listed as failed then; 0: never
  double soon = 0;            ///< share of machines that are up within 0.2 to 2 s
  bool lateSessions = false;  ///< a new session is reported with the next regular report only
  bool lateChanges = false;   ///< so is what changes while a report is under way
};

/// What one task takes; the rest is known to its TaskHost.
struct TaskNeeds {
  double cpus{}, gpus{};
  bool saves{};            ///< takes a checkpoint when it is stopped with time to do so
  std::string image = {};  ///< kept on the machine once it was fetched; empty: fetched each time
  double gb = 1;           ///< of it, fetchS each
};

class SimulatedRegion;

class Worker {
 public:
  Worker(SimulatedRegion& region, std::string host, std::string zone, bool spot);
  void start();
  Json report();
  Response onCommands(const Request& q);
  void die();
  void hang(std::int64_t ms);
  void notice(std::int64_t ms);
  /// Hangs beyond its lease: its tasks end before it does anything else.
  bool leaseOver() const;
  /// Milliseconds until its lease ends if no report is answered any more.
  std::int64_t leaseLeft() const;
  /// Counted from 1; each end of its lease begins another.
  std::uint64_t session() const { return tenure_; }
  /// Neither hangs nor is about to be taken.
  bool takesWork() const { return !gone && !frozen() && noticeEnds_ == 0; }
  bool gone = false;
  std::int64_t goneAt = -1;
  std::string host, zone;
  bool spot;

  struct Task {
    std::string job;
    int index{};
    std::uint64_t attempt{};
    std::string state, cause;
    std::int64_t startedAt{};
    std::int64_t ranMs = -1;
    std::uint64_t life{};  ///< guards its timers
    TaskNeeds needs;
    bool known{};  ///< its description has come
    bool kept{};
  };
  /// On its machine: has its image and has not exited.
  static bool on(const Task& t) { return t.state == "running" || t.state == "flushing"; }
  std::vector<Task> tasks;

  /// From the TaskHost: a running task has ended by itself, or has saved.
  void exited(std::uint64_t life, const std::string& cause);
  Task* byLife(std::uint64_t life);
  void whenAwake(std::function<void()> f);

 private:
  void beat();
  void schedule(std::int64_t ms);
  void changed();
  void reportChange();
  void execute(const Json& orders);
  void launch(const std::string& name, std::uint64_t attempt);
  void described(std::uint64_t life, std::optional<TaskNeeds> needs);
  void begin(std::uint64_t life);
  void finish(Task& t, const std::string& cause);
  void checkLease();
  void endLeaseIfOver();
  Task* find(const std::string& name, std::uint64_t attempt);
  bool frozen() const;
  std::string address() const;

  SimulatedRegion& region_;
  std::uint64_t tenure_ = 1, tick_ = 0, token_ = 0;
  std::int64_t lastAnsweredSent_ = 0, lastSent_ = -1000000, hangUntil_ = 0, noticeEnds_ = 0;
  std::size_t node_ = 0;
  bool inFlight_ = false;
  bool hasUnreportedChange_ = false;  ///< since the newest report was sent
  std::uint64_t timer_ = 0, lives_ = 0;
  std::set<std::string> cached_;
};

/// What tasks are.
class TaskHost {
 public:
  virtual ~TaskHost() = default;
  /// Calls back once, at once or later; empty: there is no such task.
  virtual void describe(Worker& worker, const Worker::Task& task,
                        std::function<void(std::optional<TaskNeeds>)> done) = 0;
  /// It has its image: runs until Worker::exited is called or it is ended.
  virtual void begin(Worker& worker, const Worker::Task& task) = 0;
  /// Is to save; calls Worker::exited with "halted" when it has.
  virtual void save(Worker& worker, const Worker::Task& task) = 0;
  /// Ends it now, whatever it does.
  virtual void end(Worker& worker, const Worker::Task& task) = 0;
};

class SimulatedRegion {
 public:
  SimulatedRegion(RegionSettings settings, Clock& clock, Wire& wire, std::mt19937_64& random,
                  TaskHost& tasks);

  std::vector<std::string> machinesWithTasks() const;
  std::size_t machineCount(bool spot) const;
  bool isRented(const std::string& host) const;
  /// When the machine was given back or taken away, in milliseconds of the region's clock.
  std::optional<std::int64_t> releasedAt(const std::string& host) const;
  std::vector<std::string> rentedMachines() const;
  void setCapacity(bool spot, int perZone);
  /// Rented so far, all machines together.
  double machineSeconds() const;
  Response cloud(const Request& q);

  RegionSettings settings;
  Clock& clock;
  Wire& wire;
  std::mt19937_64& random;
  TaskHost& taskHost;
  StateService state;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::int64_t cloudOutageUntil = 0;
  std::size_t hired = 0;
  std::size_t hireCalls = 0;

 private:
  struct Host {
    std::string zone;
    bool spot{};
    std::int64_t rentedAt{};
    std::string phase = "booting";
    std::int64_t goneAt = -1;
  };
  bool listedAsFailed(const std::string& host, std::int64_t at) const;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Json> hires_;
  std::map<std::pair<std::string, bool>, int> capacity_;
};

inline std::int64_t millis(double s) { return static_cast<std::int64_t>(s * 1000); }

}  // namespace kestrelhoist::simulator
