/// \file
/// Runs tasks as real processes. The commands of flow tasks come from the controllers, and the
/// commands of users' jobs come from files. A flow task runs in the directory of its team, member
/// and flow. A user's job runs in the directory that its description names.
#pragma once

#include <sys/types.h>

#include <map>

#include "base/event_loop.hpp"
#include "rules/plan.hpp"
#include "simulator/model/simulated_region.hpp"

struct event;

namespace kestrelhoist::simulator {

struct ProcessSettings {
  /// All machines share the files below this directory.
  std::string files;
  /// This directory holds the description of each user's job as a file <ref>.json.
  std::string jobDirectory;
  /// Tasks get these controller addresses in HOIST_SERVERS.
  std::vector<std::string> servers;
  /// Tasks get the path of the `hoist` program in HOIST.
  std::string hoist;
};

/// Executes the tasks of simulated workers as child processes.
class ProcessTasks : public TaskHost {
 public:
  ProcessTasks(EventLoop& loop, HttpClient& http, ProcessSettings settings);
  ~ProcessTasks() override;

  void describe(Worker& worker, const Worker::Task& task,
                std::function<void(std::optional<TaskNeeds>)> done) override;
  void onLaunchedAgain(Worker& worker, const Worker::Task& task) override;
  void begin(Worker& worker, const Worker::Task& task) override;
  void save(Worker& worker, const Worker::Task& task) override;
  void end(Worker& worker, const Worker::Task& task) override;

  /// ProcessTasks calls this function after each task start.
  std::function<void()> onTaskStart;
  std::size_t startedTaskCount() const { return startedTaskCount_; }

 private:
  /// A key holds the machine's name and Worker::Task::executionId.
  using Key = std::pair<std::string, std::uint64_t>;
  struct TaskDescription {
    rules::PlannedInstance instance;
    std::string directory, log;
    std::map<std::string, std::string> environment;
  };
  struct Running {
    Worker* worker{};
    std::uint64_t executionId{};
    Key key;
    std::int64_t startedAtMs{};
    bool savesCheckpoint{};
  };
  void requestDescription(Worker& worker, const Worker::Task& task, int triesLeft,
                          std::function<void(std::optional<TaskNeeds>)> done);
  std::optional<TaskNeeds> describeFromSharedFiles(Worker& worker, const Worker::Task& task);
  std::optional<TaskNeeds> describeFromJobDirectory(Worker& worker, const Worker::Task& task);
  void exited(pid_t pid, bool succeeded);
  static void onChild(int, short, void* self);

  EventLoop& loop_;
  HttpClient& http_;
  ProcessSettings settings_;
  event* child_;
  std::map<Key, TaskDescription> descriptions_;
  std::map<pid_t, Running> running_;
  std::size_t startedTaskCount_ = 0;
  /// The next request goes to this server, as an index modulo the number of servers.
  std::size_t nextServer_ = 0;
};

}  // namespace kestrelhoist::simulator
