// These tests check the output and exit codes of the hoist command where it needs no controller.
// Another test sends malformed request bodies to the flow service.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "base/log.hpp"
#include "client/src/settings.hpp"
#include "config/operator.hpp"
#include "sim/world.hpp"

namespace kestrelhoist {
namespace {

struct Ran {
  int code;
  std::string out;
};

Ran hoist(const std::string& arguments) {
  std::string command = "env -u HOIST_SERVERS -u HOIST_TEAM HOME=/nonexistent " +
                        std::string(CLI_PATH) + " " + arguments + " 2>&1";
  Ran r{-1, ""};
  FILE* p = popen(command.c_str(), "r");
  char block[4096];
  while (std::size_t n = fread(block, 1, sizeof block, p)) r.out.append(block, n);
  r.code = WEXITSTATUS(pclose(p));
  return r;
}

const std::string kExamples = std::string(SOURCE_PATH) + "/examples/";

TEST(Hoist, PlansBothExamples) {
  auto make = hoist("flow plan " + kExamples + "audit/Makefile");
  EXPECT_EQ(make.code, 0);
  EXPECT_NE(make.out.find("8 instances, 0 sources"), std::string::npos) << make.out;
  auto json = hoist("--json flow plan " + kExamples + "herbarium/Snakefile");
  EXPECT_EQ(json.code, 0);
  Json v = Json::parse(json.out, nullptr, false);
  ASSERT_TRUE(v.is_object()) << json.out;
  EXPECT_EQ(v["instances"].size(),
            2u);  // Further instances are planned only after the checkpoint has run.
  auto dot = hoist("flow plan --dot " + kExamples + "audit/Makefile");
  EXPECT_EQ(dot.out.rfind("digraph flow {", 0), 0u);
}

TEST(Hoist, ExitCodesTellWhy) {
  EXPECT_EQ(hoist("").code, 2);
  EXPECT_EQ(hoist("flow frobnicate").code, 2);
  EXPECT_EQ(hoist("--help").code, 0);
  EXPECT_EQ(hoist("flow run --help").code, 0);
  auto none = hoist("flow status w-1");
  EXPECT_EQ(none.code, 2);
  EXPECT_NE(none.out.find("no server is known"), std::string::npos);
  auto missing = hoist("flow plan /nonexistent/Snakefile");
  EXPECT_EQ(missing.code, 3);
  EXPECT_NE(missing.out.find("there is no file"), std::string::npos) << missing.out;
  // No server listens at this address.
  EXPECT_EQ(hoist("--server 127.0.0.1:1 --timeout 1 flow status w-1").code, 7);
  EXPECT_EQ(hoist("--config /nonexistent.json flow status w-1").code, 2);
}

TEST(Hoist, CompletionIsBash) {
  auto r = hoist("completion");
  EXPECT_EQ(r.code, 0);
  std::string file = testing::TempDir() + "hoist-completion";
  std::ofstream(file) << r.out;
  EXPECT_EQ(std::system(("bash -n " + file).c_str()), 0);
  EXPECT_NE(r.out.find("--keep-going"), std::string::npos);
}

// Guards against a command that ends by SIGSEGV when it checks a long address: the regular
// expression of the schema took stack for each character.
TEST(ClientSettings, ALongAddressIsRefusedInOneLine) {
  std::string address(300000, '1');
  EXPECT_THROW(parseClientSettings(R"({"servers": [")" + address + "\"]}", "hoist.json"),
               std::runtime_error);
}

TEST(ClientSettings, AreCheckedByTheirSchema) {
  auto s = parseClientSettings(R"({"servers": ["127.0.0.1:1"], "member": "ana", "files": "/f"})",
                               "hoist.json");
  EXPECT_EQ(s.servers, std::vector<std::string>{"127.0.0.1:1"});
  for (const char* bad :
       {"[", "[]", R"({"server": "x"})", R"({"servers": []})", R"({"servers": ["host"]})",
        R"({"member": "a/b"})", R"({"member": "..\u002fx"})", R"({"team": 3})"}) {
    EXPECT_THROW(parseClientSettings(bad, "hoist.json"), std::runtime_error) << bad;
  }
}

TEST(OperatorSettings, FlowsAreOffUnlessSwitchedOn) {
  EXPECT_FALSE(parseOperatorSettings("{}", "f").flows);
  EXPECT_TRUE(loadOperatorSettings(std::string(SOURCE_PATH) + "/deploy/flows.json").flows);
  EXPECT_THROW(parseOperatorSettings(R"({"flows": {"enabled": 1}})", "f"), std::runtime_error);
}

// Random malformed requests to the flow paths get a 4xx status, a 503 or a regular answer, and
// never stop a controller or affect the open flow.
TEST(FlowService, SurvivesMalformedRequests) {
  spdlog::set_level(spdlog::level::off);
  sim::WorldSettings settings;
  sim::World w(settings);
  sim::FlowPlanSpec spec;
  spec.id = "w-1";
  w.submitFlow(spec);
  w.runFor(15);
  std::mt19937_64 random(5);
  const char* paths[] = {"/v2/flows",
                         "/v2/flows/",
                         "/v2/flows/w-2",
                         "/v2/flows/w-2/uploads",
                         "/v2/flows/w-1/parts",
                         "/v2/flows/w-1/commit",
                         "/v2/flows/w-2/cancel",
                         "/v2/flows/tasks/f-1-1/0",
                         "/v2/flows/tasks/j-1/x",
                         "/v2/flows/w-1/texts/0123456789abcdef/0",
                         "/v2/flows/w-x/report",
                         "/v2/flows/w-1/a/b/c/d",
                         "/v2/flows?owner=&member=..",
                         "/v2/flows/w-99999999999999999999/commit"};
  const char* names[] = {"version", "instances", "parts",  "texts", "per_text", "graph",
                         "base",    "owner",     "member", "name",  "rank"};
  int answered = 0, asked = 0;
  for (int i = 0; i < 600; ++i) {
    Json body = Json::object();
    for (int k = static_cast<int>(random() % 9); k > 0; --k) {
      const Json values[] = {-1,
                             0,
                             1,
                             1e18,
                             "0123456789abcdef",
                             "ana",
                             "team",
                             nullptr,
                             Json::array({1, "x"}),
                             65536,
                             "../x",
                             Json::array({{{"n", 0}, {"data", Json::object()}}})};
      body[names[random() % std::size(names)]] = values[random() % std::size(values)];
    }
    std::string bytes = encodeBody(body);
    if (random() % 4 == 0 && !bytes.empty())
      bytes[random() % bytes.size()] = static_cast<char>(random());
    std::string path = paths[random() % std::size(paths)];
    ++asked;
    w.network.send("users", w.nodeApi(static_cast<int>(random() % 3)),
                   {random() % 3 ? "POST" : "GET", path, bytes}, 3000,
                   [&, path](std::optional<Response> r) {
                     if (!r) return;
                     ++answered;
                     bool fine = r->status == 200 || r->status == 201 ||
                                 (r->status >= 400 && r->status <= 429) || r->status == 503;
                     EXPECT_TRUE(fine) << path << " " << r->status;
                   });
    w.runFor(0.05);
  }
  w.runFor(120);
  EXPECT_EQ(answered, asked);
  EXPECT_TRUE(w.broken.empty());
  EXPECT_EQ(w.flowPhase("w-1"), "done");
}

}  // namespace
}  // namespace kestrelhoist
