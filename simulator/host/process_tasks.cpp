#include "simulator/host/process_tasks.hpp"

#include <event2/event.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "base/log.hpp"
#include "base/process_signals.hpp"
#include "rules/execute.hpp"

namespace kestrelhoist::simulator {
namespace fs = std::filesystem;

ProcessTasks::ProcessTasks(EventLoop& loop, HttpClient& http, ProcessSettings settings)
    : loop_(loop), http_(http), settings_(std::move(settings)) {
  child_ = evsignal_new(loop_.base(), SIGCHLD, onChild, this);
  evsignal_add(child_, nullptr);
}

ProcessTasks::~ProcessTasks() {
  for (const auto& [pid, r] : running_) {
    kill(-pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  event_free(child_);
}

void ProcessTasks::describe(Worker& worker, const Worker::Task& task,
                            std::function<void(std::optional<TaskNeeds>)> done) {
  if (auto needs = describeFromSharedFiles(worker, task)) return done(needs);
  if (task.job.starts_with("m-")) return done(std::nullopt);
  if (task.job.starts_with("j-")) return done(describeFromJobDirectory(worker, task));
  requestDescription(worker, task, 20, std::move(done));
}

void ProcessTasks::onLaunchedAgain(Worker& worker, const Worker::Task& task) {
  logError("attempt launched a second time", "machine", worker.host, "job", task.job, "index",
           task.index, "attempt", task.attempt);
}

// Reads the job description that `hoist` stored beside the members' files. It holds one command for
// all tasks of the job.
std::optional<TaskNeeds> ProcessTasks::describeFromSharedFiles(Worker& worker,
                                                               const Worker::Task& task) {
  if (task.job.starts_with("f-")) return std::nullopt;
  std::ifstream in(settings_.files + "/.jobs/" + task.job + ".json");
  Json v = Json::parse(in, nullptr, false);
  auto command = textField(v, "command"), directory = textField(v, "directory");
  auto logs = textField(v, "logs");
  if (!command || !directory || !logs || !rules::staysInside(*directory) ||
      !rules::staysInside(*logs)) {
    return std::nullopt;
  }
  TaskDescription description;
  description.instance.command = *command;
  description.instance.why = task.job;
  description.instance.lenient = true;
  description.directory = settings_.files + "/" + *directory;
  description.log = settings_.files + "/" + *logs + "/" + std::to_string(task.index) + ".log";
  description.environment = {{"HOIST_JOB", task.job}, {"HOIST_TASK", std::to_string(task.index)}};
  descriptions_[{worker.host, task.executionId}] = std::move(description);
  return TaskNeeds{numberField(v, "cpus").value_or(0), numberField(v, "gpus").value_or(0), false};
}

std::optional<TaskNeeds> ProcessTasks::describeFromJobDirectory(Worker& worker,
                                                                const Worker::Task& task) {
  std::ifstream in(settings_.jobDirectory + "/" + task.job + ".json");
  Json v = Json::parse(in, nullptr, false);
  auto text = textField(v, "text");
  auto directory = textField(v, "directory");
  if (!text || !directory) return std::nullopt;
  TaskDescription description;
  description.instance = rules::instanceFrom(*text, countField(v, "at").value_or(0));
  description.directory = settings_.files + "/" + *directory;
  description.log = description.directory + "/.hoist/logs/" + task.job + ".log";
  descriptions_[{worker.host, task.executionId}] = std::move(description);
  return TaskNeeds{numberField(v, "cpus").value_or(0), numberField(v, "gpus").value_or(0), false};
}

void ProcessTasks::requestDescription(Worker& worker, const Worker::Task& task, int triesLeft,
                                      std::function<void(std::optional<TaskNeeds>)> done) {
  std::string path = "/v2/flows/tasks/" + task.job + "/" + std::to_string(task.index);
  const std::string& server = settings_.servers[nextServer_ % settings_.servers.size()];
  http_.send(
      server, {"GET", path, ""}, Duration{2000},
      [this, &worker, task, triesLeft, done](std::optional<Response> r) {
        if (worker.isDead) return;
        if (r && r->status == 404) return done(std::nullopt);
        auto body = r && r->status == 200 ? decodeBody(r->body) : std::nullopt;
        auto flow = body ? textField(*body, "flow") : std::nullopt;
        auto text = body ? textField(*body, "text") : std::nullopt;
        if (!flow || !text) {
          ++nextServer_;
          if (triesLeft == 0) return done(std::nullopt);
          loop_.after(Duration{300}, [this, &worker, task, triesLeft, done] {
            if (!worker.isDead) requestDescription(worker, task, triesLeft - 1, done);
          });
          return;
        }
        TaskDescription description;
        try {
          description.instance = rules::instanceFrom(*text, countField(*body, "at").value_or(0));
        } catch (const std::exception& e) {
          logError("task description is malformed", "job", task.job, "task", task.index, "why",
                   e.what());
          return done(std::nullopt);
        }
        std::string team = textField(*body, "owner").value_or("");
        std::string member = textField(*body, "member").value_or("");
        description.directory = settings_.files + "/" + team + "/" + member + "/" + *flow;
        description.log = description.directory + "/.hoist/logs/" + description.instance.why + "-" +
                          std::to_string(countField(*body, "instance").value_or(0)) + ".log";
        description.environment = {
            {"HOIST_FLOW", *flow}, {"HOIST_TEAM", team}, {"HOIST_MEMBER", member}};
        descriptions_[{worker.host, task.executionId}] = std::move(description);
        done(TaskNeeds{numberField(*body, "cpus").value_or(0),
                       numberField(*body, "gpus").value_or(0),
                       numberField(*body, "snapshot_s").value_or(0) > 0});
      });
}

void ProcessTasks::begin(Worker& worker, const Worker::Task& task) {
  const Key key{worker.host, task.executionId};
  const TaskDescription& description = descriptions_.at(key);
  ++startedTaskCount_;
  std::error_code error;
  fs::create_directories(fs::path(description.log).parent_path(), error);
  fs::create_directories(description.directory, error);
  std::string fault = rules::prepare(description.directory, description.instance);
  if (!fault.empty() || description.instance.command.empty()) {
    if (fault.empty())
      fault = rules::conclude(description.directory, description.instance, true, 0);
    if (!fault.empty()) logInfo("task failed", "job", task.job, "task", task.index, "why", fault);
    loop_.after(Duration{0}, [&worker, executionId = task.executionId, ok = fault.empty()] {
      worker.exited(executionId, ok ? "done" : "error");
    });
    if (onTaskStart) onTaskStart();
    return;
  }
  std::string servers;
  for (const auto& s : settings_.servers) servers += (servers.empty() ? "" : ",") + s;
  pid_t pid = fork();
  if (pid == 0) {
    // The task gets its own process group and dies with its parent process.
    setpgid(0, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(description.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    int in = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (out < 0 || in < 0 || chdir(description.directory.c_str()) != 0) _exit(126);
    dup2(in, 0);
    dup2(out, 1);
    dup2(out, 2);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    for (const auto& [name, value] : description.environment)
      setenv(name.c_str(), value.c_str(), 1);
    setenv("HOIST", settings_.hoist.c_str(), 1);
    setenv("HOIST_SERVERS", servers.c_str(), 1);
    setenv("HOIST_FILES", settings_.files.c_str(), 1);
    restoreDefaultSignals();
    execl("/bin/bash", "bash", "-c", description.instance.command.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  if (pid < 0) {
    loop_.after(Duration{0},
                [&worker, executionId = task.executionId] { worker.exited(executionId, "error"); });
    return;
  }
  // Parent and child both set the group, so it exists no matter which of them runs first.
  setpgid(pid, pid);
  running_[pid] = {&worker, task.executionId, key, loop_.now().ms, false};
  if (onTaskStart) onTaskStart();
}

void ProcessTasks::save(Worker& worker, const Worker::Task& task) {
  for (auto& [pid, r] : running_) {
    if (r.worker != &worker || r.executionId != task.executionId) continue;
    r.savesCheckpoint = true;
    kill(-pid, SIGTERM);
  }
}

// Waits for the process to exit, because no other task may write the same files before that.
void ProcessTasks::end(Worker& worker, const Worker::Task& task) {
  descriptions_.erase({worker.host, task.executionId});
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (it->second.worker != &worker || it->second.executionId != task.executionId) continue;
    kill(-it->first, SIGKILL);
    waitpid(it->first, nullptr, 0);
    running_.erase(it);
    return;
  }
}

void ProcessTasks::onChild(int, short, void* selfPointer) {
  auto* self = static_cast<ProcessTasks*>(selfPointer);
  // Only task processes are reaped here, because this process also has other children.
  std::vector<std::pair<pid_t, bool>> ended;
  for (const auto& [pid, r] : self->running_) {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == pid) {
      ended.emplace_back(pid, WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }
  }
  for (const auto& [pid, succeeded] : ended) self->exited(pid, succeeded);
}

void ProcessTasks::exited(pid_t pid, bool succeeded) {
  Running r = running_.at(pid);
  running_.erase(pid);
  // The exited process may have left other processes in its process group.
  kill(-pid, SIGKILL);
  auto description = descriptions_.find(r.key);
  if (description == descriptions_.end()) return;
  if (r.savesCheckpoint) return r.worker->exited(r.executionId, "halted");
  double seconds = static_cast<double>(loop_.now().ms - r.startedAtMs) / 1000.0;
  std::string fault = rules::conclude(description->second.directory, description->second.instance,
                                      succeeded, seconds);
  if (!fault.empty()) {
    logInfo(
        "task failed", "rule", description->second.instance.why, "output",
        description->second.instance.outputs.empty() ? "" : description->second.instance.outputs[0],
        "why", fault, "log", description->second.log);
  }
  r.worker->exited(r.executionId, fault.empty() ? "done" : "error");
}

}  // namespace kestrelhoist::simulator
