/// \file
/// Models the region: state service, cloud and workers, as PROTOCOL describes them. The scenario
/// tests run the model in virtual time, hoist-region runs it over sockets. A TaskHost defines and
/// executes the tasks, so the same workers can run simulated tasks or real processes.
#pragma once

#include <map>
#include <random>
#include <set>

#include "simulator/model/state_service.hpp"

namespace kestrelhoist::simulator {

struct RegionSettings {
  std::vector<std::string> zones{"a", "b", "c"};
  /// Workers send their reports to these controller addresses.
  std::vector<std::string> nodes;
  /// The cloud lists this many machine types. Tasks fit only the first one.
  int machineTypes = 1;
  /// The first machine type has these resources.
  double cpus = 8, gpus = 8, ram = 64;
  double bootS = 20;
  double fetchS = 2;
  int onDemandPerZone = 4, spotPerZone = 4;
  double reportS = 1, leaseS = 11;
  double listLagS = 3;
  double bootFailureShare = 0;
  /// The cloud lists a dead machine as failed after this time; 0 means never.
  double failedAfterS = 0;
  /// This share of the machines boots within 0.2 to 2 s.
  double fastBootShare = 0;
  /// If set, a worker waits for its next regular report to report a new worker session.
  bool lateSessions = false;
  /// If set, a task change during an unanswered report waits for the next regular report.
  bool lateChanges = false;
};

/// Makes the network deliver direct commands a second time: of this share of the commands that a
/// worker has carried out and answered, a copy arrives after a delay drawn from the range in
/// milliseconds. Nobody receives the answer to the copy.
struct CommandCopies {
  double share = 0;
  std::int64_t fromMs = 0, toMs = 0;
};

/// Holds the resources that one task needs; the TaskHost keeps the rest of its description.
struct TaskNeeds {
  double cpus{}, gpus{};
  /// The task writes a checkpoint if the stop command leaves it time to do so.
  bool savesCheckpoint{};
  /// The machine keeps a fetched image. An empty name means that each task fetches its image anew.
  std::string image = {};
  /// The image has this size; each gigabyte takes RegionSettings::fetchS to fetch.
  double imageGb = 1;
};

class SimulatedRegion;

/// Simulates the worker of one machine, which reports to the controllers and executes commands.
class Worker {
 public:
  Worker(SimulatedRegion& region, std::string host, std::string zone, bool spot);
  void start();
  Json report();
  Response onCommands(const Request& q);
  /// Delivers a copy of the request later if SimulatedRegion::commandCopies draws it.
  void mayCopyCommands(const Request& q);
  void die();
  void hang(std::int64_t ms);
  void notice(std::int64_t ms);
  /// Returns whether the worker's lease has expired for more than 200 ms. A worker that has hung
  /// past its lease expiry ends its tasks before it does anything else.
  bool hasLeaseExpired() const;
  /// Returns the milliseconds until the worker's lease expires if no further report is
  /// acknowledged.
  std::int64_t leaseRemainingMs() const;
  /// Returns the number of the worker session. It starts at 1 and each lease expiry increments it.
  std::uint64_t session() const { return session_; }
  /// Returns whether the worker is alive, does not hang and has no termination notice.
  bool takesWork() const { return !isDead && !isHanging() && terminationNoticeEndsAt_ == 0; }
  bool isDead = false;
  std::int64_t diedAtMs = -1;
  std::string host, zone;
  bool spot;

  struct Task {
    std::string job;
    int index{};
    std::uint64_t attempt{};
    std::string state, cause;
    std::int64_t startedAt{};
    std::int64_t ranMs = -1;
    /// Identifies this task attempt on its worker, so that timers of earlier attempts have no
    /// effect.
    std::uint64_t executionId{};
    TaskNeeds needs;
    /// The TaskHost has returned the task's needs.
    bool hasNeeds{};
    bool kept{};
  };
  /// Returns whether the task has its image and has not exited.
  static bool isExecuting(const Task& t) { return t.state == "running" || t.state == "flushing"; }
  std::vector<Task> tasks;

  /// The TaskHost calls this when a task process has exited by itself or has written its
  /// checkpoint.
  void exited(std::uint64_t executionId, const std::string& cause);
  Task* findExecution(std::uint64_t executionId);
  /// Calls f now, or after the end of a hang.
  void whenAwake(std::function<void()> f);

 private:
  void sendHeartbeat();
  void scheduleHeartbeat(std::int64_t ms);
  void onTaskChange();
  void scheduleChangeReport();
  void execute(const Json& orders);
  void launch(const std::string& name, std::uint64_t attempt);
  void checkLaunchedAgain(std::uint64_t executionId);
  void onDescribed(std::uint64_t executionId, std::optional<TaskNeeds> needs);
  void begin(std::uint64_t executionId);
  void finish(Task& t, const std::string& cause);
  void checkLease();
  void endSessionIfLeaseExpired();
  Task* find(const std::string& name, std::uint64_t attempt);
  bool isHanging() const;
  std::string address() const;

  SimulatedRegion& region_;
  std::uint64_t session_ = 1, reportSequence_ = 0, fencingToken_ = 0;
  std::int64_t lastAcknowledgedSentAt_ = 0, lastSentAt_ = -1000000, hangsUntil_ = 0,
               terminationNoticeEndsAt_ = 0;
  std::size_t controllerIndex_ = 0;
  bool hasReportInFlight_ = false;
  /// A task has changed since the worker sent its newest report.
  bool hasUnreportedChange_ = false;
  std::uint64_t heartbeatTimer_ = 0, lastExecutionId_ = 0;
  std::set<std::string> cachedImages_;
  /// Contains the tasks and attempts that were launched in the present session.
  std::set<std::pair<std::string, std::uint64_t>> launchedAttempts_;
};

/// Defines and executes the tasks of simulated workers.
class TaskHost {
 public:
  virtual ~TaskHost() = default;
  /// Calls `done` exactly once, immediately or later. The argument is nullopt if the task does not
  /// exist.
  virtual void describe(Worker& worker, const Worker::Task& task,
                        std::function<void(std::optional<TaskNeeds>)> done) = 0;
  /// Is called when the worker launched an attempt again that it had launched before in the same
  /// session, unless the same message also stopped it.
  virtual void onLaunchedAgain(Worker& worker, const Worker::Task& task) = 0;
  /// Starts a task whose image is fetched. The task runs until the TaskHost calls Worker::exited or
  /// the worker calls end().
  virtual void begin(Worker& worker, const Worker::Task& task) = 0;
  /// Makes the task write a checkpoint. The TaskHost then calls Worker::exited with "halted".
  virtual void save(Worker& worker, const Worker::Task& task) = 0;
  /// Kills the task immediately.
  virtual void end(Worker& worker, const Worker::Task& task) = 0;
};

/// Connects the simulated state service, cloud and workers of one region.
class SimulatedRegion {
 public:
  SimulatedRegion(RegionSettings settings, Clock& clock, Transport& transport,
                  std::mt19937_64& random, TaskHost& tasks);

  std::vector<std::string> machinesWithTasks() const;
  std::size_t machineCount(bool spot) const;
  bool isRented(const std::string& host) const;
  /// Returns when the rental of the machine ended, in milliseconds of the region's clock. The
  /// result is nullopt if the machine is still rented or was never rented.
  std::optional<std::int64_t> releasedAt(const std::string& host) const;
  std::vector<std::string> rentedMachines() const;
  void setCapacity(bool spot, int perZone);
  /// Returns the rented time of all machines so far, in seconds.
  double machineSeconds() const;

  RegionSettings settings;
  Clock& clock;
  Transport& transport;
  std::mt19937_64& random;
  TaskHost& taskHost;
  StateService state;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  CommandCopies commandCopies;
  std::int64_t cloudOutageUntil = 0;
  /// Is the largest number of tasks in any report of a worker so far.
  std::size_t mostReportedTasks = 0;
  std::size_t rentedMachineCount = 0;
  std::size_t rentalRequests = 0;

 private:
  struct Host {
    std::string zone;
    bool spot{};
    std::int64_t rentedAtMs{};
    std::string phase = "booting";
    std::int64_t rentalEndedAtMs = -1;
  };
  /// Answers a request to the cloud with 400 if a field is missing or of another type.
  Response answerCloud(const Request& q);
  /// Throws Json::exception in this case.
  Response cloud(const Request& q);
  bool listedAsFailed(const std::string& host, std::int64_t at) const;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Json> rentals_;
  std::map<std::pair<std::string, bool>, int> capacity_;
};

inline std::int64_t millis(double s) { return static_cast<std::int64_t>(s * 1000); }

}  // namespace kestrelhoist::simulator
