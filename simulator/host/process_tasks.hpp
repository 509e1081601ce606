/// \file
/// Tasks as real processes: what to run is asked from the controllers (a flow's task) or read from
/// the depot (a user's job), and runs in a directory of its team, member and flow.
#pragma once

#include <sys/types.h>

#include <map>

#include "base/event_loop.hpp"
#include "rules/plan.hpp"
#include "simulator/model/simulated_region.hpp"

struct event;

namespace kestrelhoist::simulator {

struct ProcessSettings {
  std::string files;                 ///< root of the files that all machines share
  std::string depot;                 ///< descriptions of users' jobs: <ref>.json
  std::vector<std::string> servers;  ///< controllers, as tasks are told of them
  std::string hoist;                 ///< the users' command, for tasks that need it
};

class ProcessTasks : public TaskHost {
 public:
  ProcessTasks(EventLoop& loop, HttpClient& http, ProcessSettings settings);
  ~ProcessTasks() override;

  void describe(Worker& worker, const Worker::Task& task,
                std::function<void(std::optional<TaskNeeds>)> done) override;
  void begin(Worker& worker, const Worker::Task& task) override;
  void save(Worker& worker, const Worker::Task& task) override;
  void end(Worker& worker, const Worker::Task& task) override;

  std::function<void()> onBegin;  ///< after each start
  std::size_t begun() const { return begun_; }

 private:
  using Key = std::pair<std::string, std::uint64_t>;  ///< machine and life
  struct Known {
    rules::PlannedInstance instance;
    std::string directory, log;
    std::map<std::string, std::string> environment;
  };
  struct Running {
    Worker* worker{};
    std::uint64_t life{};
    Key key;
    std::int64_t since{};
    bool saving{};
  };
  void ask(Worker& worker, const Worker::Task& task, int triesLeft,
           std::function<void(std::optional<TaskNeeds>)> done);
  std::optional<TaskNeeds> fromFiles(Worker& worker, const Worker::Task& task);
  std::optional<TaskNeeds> fromDepot(Worker& worker, const Worker::Task& task);
  void exited(pid_t pid, bool succeeded);
  static void onChild(int, short, void* self);

  EventLoop& loop_;
  HttpClient& http_;
  ProcessSettings settings_;
  event* child_;
  std::map<Key, Known> known_;
  std::map<pid_t, Running> running_;
  std::size_t begun_ = 0;
  std::size_t next_ = 0;  ///< server to ask
};

}  // namespace kestrelhoist::simulator
