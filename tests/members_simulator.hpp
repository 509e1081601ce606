/// \file
/// Starts a simulated region on loopback whose controllers authenticate members by keys (Members).
#pragma once

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "kestrelhoist/client.hpp"
#include "simulator_process.hpp"

namespace kestrelhoist {

/// Runs a shell command and returns its standard output without trailing newlines.
inline std::string outputOf(const std::string& command) {
  std::string out;
  FILE* p = popen(command.c_str(), "r");
  for (int c = std::fgetc(p); c != EOF; c = std::fgetc(p)) out += static_cast<char>(c);
  pclose(p);
  while (!out.empty() && out.back() == '\n') out.pop_back();
  return out;
}

/// A region process with a root key and settings for clients; its directory is removed at the end
/// unless the test has failed.
struct Members {
  explicit Members(const std::vector<std::string>& region, const std::string& settings = "") {
    char name[] = "/tmp/kestrelhoist-client-XXXXXX";
    directory = mkdtemp(name);
    std::ofstream file(directory + "/members.json");
    if (settings.empty()) {
      file << std::ifstream(std::string(SOURCE_PATH) + "/deploy/members.json").rdbuf();
    } else {
      file << settings;
    }
    file.close();
    root = outputOf(std::string(ADMIN_PATH) + " key init --file " + directory +
                    "/root.key 2> /dev/null");
    process = std::make_unique<RegionProcess>(directory, directory + "/members.json", region);
  }
  ~Members() {
    process.reset();
    if (!testing::Test::HasFailure()) std::filesystem::remove_all(directory);
  }
  client::Settings settings(const std::string& key) const {
    client::Settings s = like;
    s.servers = process->servers;
    for (auto& server : s.servers) {
      auto colon = server.find(':') + 1;
      server = server.substr(0, colon) + std::to_string(std::stoi(server.substr(colon)) + offset);
    }
    s.key = key;
    s.retriesPerS = 20;
    return s;
  }
  std::string keyFor(const std::string& member, const std::string& team = "herbarium") {
    client::Client operators(settings(root));
    auto made = operators.makeKey(team, member, "submit,read,cancel", "");
    EXPECT_TRUE(made) << made.error().text();
    return made ? made->secret : "";
  }
  std::string directory, root;
  std::unique_ptr<RegionProcess> process;
  int offset = 0;  // This value is added to a controller's port to get the port for members.
  client::Settings like;
};

}  // namespace kestrelhoist
