/// \file
/// Runs a program of the project as a child process with default signal dispositions
/// (ChildProcess), and writes the settings of a controller for it.
#pragma once

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "base/http.hpp"

namespace kestrelhoist {

/// A running program; the destructor kills it.
class ChildProcess {
 public:
  /// `words` are the path of the program and its arguments. Its output is appended to `log`.
  ChildProcess(std::vector<std::string> words, const std::string& log) {
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (FILE* stream : {stdout, stderr}) {
      if (!std::freopen(log.c_str(), "a", stream)) _exit(126);
    }
    signal(SIGPIPE, SIG_DFL);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  ~ChildProcess() {
    if (hasEnded()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }

  bool hasEnded() {
    if (!status_) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    }
    return status_.has_value();
  }

  /// Waits for the end of the program. Returns "exit CODE" or "signal NUMBER".
  std::string waitForEnd() {
    if (!status_) {
      int status = 0;
      waitpid(pid_, &status, 0);
      status_ = status;
    }
    return WIFSIGNALED(*status_) ? "signal " + std::to_string(WTERMSIG(*status_))
                                 : "exit " + std::to_string(WEXITSTATUS(*status_));
  }

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

/// A directory for the files of one test; it is removed at the end.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    char name[] = "/tmp/kestrelhoist-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// Writes a file and returns its path.
  std::string write(const std::string& name, const std::string& content) const {
    std::ofstream(path + "/" + name) << content;
    return path + "/" + name;
  }
  std::string path;
};

/// Returns an address on loopback that was free at the time of the call.
inline std::string freeAddress(EventLoop& loop) {
  HttpServer server(loop, "127.0.0.1:0", [](const Request&, const Respond&) {});
  return "127.0.0.1:" + std::to_string(server.port());
}

/// Names the addresses of one controller and of the services that it uses.
struct ControllerAddresses {
  std::string api, mesh, peer, cloud, state;
};

/// Returns the platform's settings of the controller "node0", which has the peer "node1".
inline std::string controllerSettings(const ControllerAddresses& a) {
  return "member = \"node0\"\nsite = \"a\"\napi_addr = \"" + a.api + "\"\nmesh_addr = \"" + a.mesh +
         "\"\n[[peers]]\nmember = \"node1\"\nsite = \"b\"\naddr = \"" + a.peer +
         "\"\n[external]\ncloud = \"" + a.cloud + "\"\nstate = \"" + a.state +
         "\"\n[settings]\nsize = 2\nzones = [\"a\", \"b\"]\ntime_bound_ms = 1000.0\n"
         "[[settings.teams]]\nname = \"herbarium\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\n"
         "gpus_max = 0.0\n[settings.workers]\nreport_s = 0.5\nlease_s = 8.0\ngang_wait_s = 45.0\n"
         "gang_peer_s = 5.0\ncancel_s = 30.0\n[settings.state]\nrps = 600.0\nwrite_rps = 300.0\n"
         "value_kb = 16.0\ntxn_ops = 24\n[settings.cloud]\nrps = 10.0\nlist_lag_s = 0.5\n"
         "[settings.limits]\ncores = 1.0\nram_mb = 200.0\nmax_connections = 600\n";
}

}  // namespace kestrelhoist
