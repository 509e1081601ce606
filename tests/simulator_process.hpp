/// \file
/// Runs the region simulator hoist-region, which starts the controllers, as a child process
/// (RegionProcess).
#pragma once

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

namespace kestrelhoist {

/// A running hoist-region process; the destructor terminates it.
class RegionProcess {
 public:
  RegionProcess(const std::string& directory, const std::string& operatorFile,
                std::vector<std::string> more) {
    int out[2];
    if (pipe(out) != 0) return;
    pid_ = fork();
    if (pid_ == 0) {
      dup2(out[1], 1);
      close(out[0]);
      if (!std::freopen((directory + "/region.log").c_str(), "w", stderr)) _exit(126);
      std::vector<std::string> words{SIMULATOR_PATH, "--directory", directory, "--program",
                                     PROGRAM_PATH,   "--hoist",     CLI_PATH,  "--operator",
                                     operatorFile,   "--port",      "0"};
      words.insert(words.end(), more.begin(), more.end());
      std::vector<char*> argv;
      for (auto& w : words) argv.push_back(w.data());
      argv.push_back(nullptr);
      execv(SIMULATOR_PATH, argv.data());
      _exit(127);
    }
    close(out[1]);
    in_ = fdopen(out[0], "r");
    char list[512] = "", root[512] = "";
    if (std::fscanf(in_, "ready %511s %511s", list, root) == 2) {
      std::istringstream names(list);
      for (std::string s; std::getline(names, s, ',');) servers.push_back(s);
      files = root;
    }
  }
  ~RegionProcess() {
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
    if (in_) std::fclose(in_);
  }
  RegionProcess(const RegionProcess&) = delete;
  RegionProcess& operator=(const RegionProcess&) = delete;

  // Waits until the simulator has killed all controllers that it kills at random times, and returns
  // the number of kills.
  int killed() {
    int n = 0;
    return std::fscanf(in_, " killed %d", &n) == 1 ? n : 0;
  }

  // Waits until the simulator has finished all its random link failures, and returns their number.
  int cut() {
    int n = 0;
    return std::fscanf(in_, " cut %d", &n) == 1 ? n : 0;
  }

  std::vector<std::string> servers;
  std::string files;

 private:
  pid_t pid_ = -1;
  FILE* in_ = nullptr;
};

}  // namespace kestrelhoist
