#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "config/operator.hpp"
#include "config/platform.hpp"

namespace kestrelhoist {
namespace {

const std::string kValidSettings = R"(
member = "n0"
site = "a"
api_addr = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
novelty = 3
[[peers]]
member = "n1"
site = "b"
addr = "127.0.0.2:8081"
[external]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[settings]
zones = ["a", "b"]
[[settings.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 4.0
[settings.workers]
report_s = 1.0
lease_s = 11.0
cancel_s = 41.0
[settings.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[settings.cloud]
rps = 6.0
list_lag_s = 3.0
[settings.limits]
ram_mb = 40.0
max_connections = 600
)";

std::string settingsWithout(const std::string& line) {
  std::string s = kValidSettings;
  auto at = s.find(line);
  return s.erase(at, line.size());
}

std::string parseError(const std::string& text) {
  try {
    parsePlatform(text, "settings.toml");
  } catch (const std::exception& e) {
    return e.what();
  }
  return "";
}

TEST(PlatformSettings, AreReadAndUnknownFieldsIgnored) {
  auto p = parsePlatform(kValidSettings, "settings.toml");
  EXPECT_EQ(p.member.value, "n0");
  EXPECT_EQ(p.controllerCount(), 2U);
  EXPECT_EQ(p.workerLease, Duration{11000});
  EXPECT_EQ(p.valueBytes, 8192U);
  EXPECT_EQ(p.teams.at(TeamId{"t"}).limit.gpus, 4.0);
}

std::string settingsWithNextLimits(const std::string& next) {
  std::string s = kValidSettings;
  return s + "[settings.state.next]\n" + next;
}

TEST(PlatformSettings, LimitsThatFallHoldFromTheStart) {
  auto p = parsePlatform(
      settingsWithNextLimits("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 18.0\nother = 1\n"),
      "settings.toml");
  EXPECT_EQ(p.valueBytes, 2048U);
  EXPECT_EQ(p.valueBytesNow, 8192U);
  EXPECT_EQ(p.transactionOps, 4U);
  EXPECT_EQ(p.stateWritesPerS, 18.0);
  EXPECT_EQ(p.stateRequestsPerS, 150.0);
  // Each later limit is optional, and none raises a present limit.
  p = parsePlatform(settingsWithNextLimits("txn_ops = 64\n"), "settings.toml");
  EXPECT_EQ(p.valueBytes, 8192U);
  EXPECT_EQ(p.transactionOps, 8U);
  EXPECT_EQ(p.stateWritesPerS, 25.0);
  EXPECT_EQ(parseError(settingsWithNextLimits("value_kb = \"2\"\n")),
            "settings.toml: settings.state.next.value_kb: must be a number");
}

TEST(PlatformSettings, FaultsNameFileAndField) {
  EXPECT_EQ(parseError(settingsWithout("lease_s = 11.0")),
            "settings.toml: settings.workers.lease_s: is missing");
  EXPECT_EQ(parseError(settingsWithout("cloud = \"127.0.0.3:1\"")),
            "settings.toml: external.cloud: is missing");
  EXPECT_NE(parseError(settingsWithout(".1:8080")).find("settings.toml: api_addr: must be"),
            std::string::npos);
  EXPECT_NE(parseError("member = ").find("settings.toml: line 1"), std::string::npos);
}

TEST(OperatorSettings, AreCheckedByTheSchema) {
  auto s = parseOperatorSettings(R"({"forecast": {"window_s": 5}, "fleet": {"use_spot": false}})",
                                 "op.json");
  EXPECT_EQ(s.window, Duration{5000});
  EXPECT_FALSE(s.useSpot);
  auto fault = [](const std::string& text) {
    try {
      parseOperatorSettings(text, "op.json");
    } catch (const std::exception& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_EQ(fault("{"), "op.json: is not JSON");
  EXPECT_NE(fault(R"({"forecast": {"window_s": "x"}})").find("window_s"), std::string::npos);
  EXPECT_NE(fault(R"({"surprise": 1})").find("surprise"), std::string::npos);
}

// Runs the program itself and returns its exit code and output.
std::pair<int, std::string> runProgram(const std::string& arguments) {
  std::string command = std::string(PROGRAM_PATH) + " " + arguments + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  std::string out;
  char buffer[512];
  while (pipe && std::fgets(buffer, sizeof buffer, pipe)) out += buffer;
  int status = pipe ? pclose(pipe) : -1;
  return {WEXITSTATUS(status), out};
}

TEST(Program, ChecksSettingsAndExits) {
  std::string file = testing::TempDir() + "kestrelhoist-settings.toml";
  std::ofstream(file) << kValidSettings;
  EXPECT_EQ(runProgram("--check --config " + file).first, 0);
  std::ofstream(file) << settingsWithout("site = \"a\"\n");
  auto [code, out] = runProgram("--config " + file);
  EXPECT_EQ(code, 2);
  EXPECT_EQ(out, "kestrelhoist: " + file + ": site: is missing\n");
  EXPECT_EQ(runProgram("--config /nonexistent").first, 2);
  EXPECT_EQ(runProgram("--version").second, "kestrelhoist " KESTRELHOIST_VERSION "\n");
  EXPECT_EQ(runProgram("--help").first, 0);
  std::remove(file.c_str());
}

// Guards against a program that ends by SIGSEGV when it drops settings whose keys have a part for
// each level.
TEST(PlatformSettings, AKeyOfManyPartsIsRefusedInOneLine) {
  std::string key = "a";
  for (int i = 0; i < 400000; ++i) key += ".a";
  auto line = 1 + std::count(kValidSettings.begin(), kValidSettings.end(), '\n');
  EXPECT_EQ(parseError(kValidSettings + key + " = 1\n"),
            "settings.toml: line " + std::to_string(line) + ": has too many dots");
  EXPECT_NE(parseError(kValidSettings + "[" + key + "]\n"), "");
  EXPECT_NE(parseError(kValidSettings + "x = {" + key + " = 1}\n"), "");
  EXPECT_NE(parseError(kValidSettings + "x = " + std::string(400000, '[')), "");
  EXPECT_EQ(parseError(kValidSettings + "[a.b.c]\nd.e = [1.5, 2.5, \"10.0.0.1:80\"]\n"), "");
}

TEST(PlatformSettings, AFileWithoutEndIsRefusedInOneLine) {
  EXPECT_THROW(loadPlatform("/dev/zero"), std::runtime_error);
  EXPECT_THROW(loadOperatorSettings("/dev/zero"), std::runtime_error);
}
}  // namespace
}  // namespace kestrelhoist
