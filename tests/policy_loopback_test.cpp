// This test runs the commands `hoist-admin policy` and `hoist-admin pool` against three controller
// processes while controllers are killed.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "config/platform.hpp"
#include "simulator_process.hpp"

namespace kestrelhoist {
namespace {
namespace fs = std::filesystem;

struct PolicyLoopback : testing::Test {
  std::string directory = [] {
    std::string name = fs::temp_directory_path() / "kh-policy-XXXXXX";
    return std::string(mkdtemp(name.data()));
  }();
  std::string settings = write("operator.json", "{}");
  RegionProcess region{
      directory,
      settings,
      {"--kill-controllers", "6", "--kill-every-ms", "500", "--back-ms", "0", "--seed", "21"}};
  ~PolicyLoopback() override { fs::remove_all(directory); }

  std::string write(const std::string& name, const std::string& text) {
    std::ofstream(directory + "/" + name) << text;
    return directory + "/" + name;
  }
  // Runs hoist-admin against the controllers' peer addresses, which it reads from their settings
  // files, and returns the output.
  std::string admin(const std::string& words, int* code) {
    std::string servers;
    for (std::size_t i = 0; i < region.servers.size(); ++i) {
      Platform platform = loadPlatform(directory + "/node" + std::to_string(i) + ".toml");
      servers += (servers.empty() ? "" : ",") + platform.meshAddress;
    }
    std::string command =
        std::string(ADMIN_PATH) + " --timeout 20 --server " + servers + " " + words + " 2>&1";
    FILE* out = popen(command.c_str(), "r");
    std::string told;
    char part[512];
    while (std::fgets(part, sizeof part, out)) told += part;
    *code = WEXITSTATUS(pclose(out));
    return told;
  }
};

TEST_F(PolicyLoopback, IsSetOnceWhileControllersAreKilledAndFaultsChangeNothing) {
  ASSERT_FALSE(region.servers.empty()) << directory;
  int code = -1;
  std::string good = std::string(SOURCE_PATH) + "/deploy/policy.example.json";
  EXPECT_NE(admin("policy check " + good, &code).find("version 0"), std::string::npos);
  EXPECT_EQ(code, 0);
  auto told = admin("policy set " + good + " --if 0", &code);
  EXPECT_EQ(code, 0) << told;
  EXPECT_NE(told.find("version 1"), std::string::npos) << told;
  admin("policy set " + good + " --if 0", &code);
  EXPECT_EQ(code, 5) << "another version was first";
  auto wrong = write("wrong.json", R"({"calendar": {"zone": "UTC", "periods": [{"name": "x"}]}})");
  told = admin("policy set " + wrong, &code);
  EXPECT_EQ(code, 2) << told;
  EXPECT_NE(told.find("/calendar/periods/0"), std::string::npos) << told;
  EXPECT_EQ(std::count(told.begin(), told.end(), '\n'), 1) << told;
  region.killed();  // This call waits until the simulator has finished all kills.
  EXPECT_NE(admin("policy show", &code).find("members-hours"), std::string::npos);
  admin("policy clear --if 1", &code);
  EXPECT_EQ(code, 0);
  EXPECT_NE(admin("policy history", &code).find("version 1"), std::string::npos);
  EXPECT_NE(admin("policy show", &code).find(", none"), std::string::npos);
  admin("pool show", &code);
  EXPECT_EQ(code, 0);
  admin("pool pay audit", &code);
  EXPECT_EQ(code, 0);
}

}  // namespace
}  // namespace kestrelhoist
