// These tests run the examples with real processes on loopback, first as flows and then as separate
// jobs, while controllers and machines are killed at randomly chosen task starts. Both runs must
// produce the same files and resource accounts. Counts of polls, not clocks, limit the run time.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "base/http.hpp"
#include "cli/rule_file.hpp"
#include "client/src/flow_client.hpp"
#include "rules/execute.hpp"
#include "simulator_process.hpp"

namespace kestrelhoist {
namespace {
namespace fs = std::filesystem;

struct CommitOutcome {
  std::map<std::string, std::string>
      files;  // The keys are file names, and the values are the contents.
  std::map<std::string, std::pair<double, std::string>>
      rules;  // Each rule has its number of completed tasks and the resources of one task.
};

// Returns the content of all files below the directory, without the .tsv files, whose measured
// times differ between runs.
std::map<std::string, std::string> filesIn(const std::string& directory) {
  std::map<std::string, std::string> out;
  for (const auto& name : rules::filesBelow(directory, 1000)) {
    if (name.ends_with(".tsv")) continue;
    std::ifstream in(directory + "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    out[name] = text.str();
  }
  return out;
}

std::string room(double cpus, double gpus, double gb) {
  std::ostringstream out;
  out << cpus << " CPUs, " << gpus << " GPUs, " << gb << " GB";
  return out.str();
}

class Driver {
 public:
  explicit Driver(const RegionProcess& region)
      : region_(region),
        http_(loop_, 16),
        caller_(loop_, http_, region.servers, 7),
        client_(caller_) {}

  // Sends a request and returns the body of the response, which is empty if the request fails.
  Json call(Request request) {
    Json result = Json::object();
    client_.call(std::move(request), Duration{120000}, [&](FlowClient::Result r) {
      EXPECT_TRUE(r) << r.error().text();
      if (r) result = r->body;
      loop_.stop();
    });
    loop_.run();
    return result;
  }
  void pause() {
    loop_.after(Duration{200}, [this] { loop_.stop(); });
    loop_.run();
  }

  CommitOutcome asFlow(const std::string& team, const std::string& file, const std::string& id) {
    setenv("HOIST_TEAM", team.c_str(), 1);
    setenv("HOIST_MEMBER", "ana", 1);
    setenv("HOIST_FILES", region_.files.c_str(), 1);
    std::string servers;
    for (const auto& s : region_.servers) servers += (servers.empty() ? "" : ",") + s;
    setenv("HOIST_SERVERS", servers.c_str(), 1);
    std::string command =
        std::string(CLI_PATH) + " flow submit " + file + " --id " + id + " > /dev/null";
    // The second submission with the same id must not start a second flow.
    EXPECT_EQ(std::system(command.c_str()), 0);
    EXPECT_EQ(std::system(command.c_str()), 0);
    std::string phase;
    for (int i = 0; i < 900 && phase != "done"; ++i) {
      auto r = call({"GET", "/v2/flows/" + id, ""});
      phase = textField(r, "phase").value_or("");
      if (phase == "failed" || phase == "cancelled") break;
      pause();
    }
    EXPECT_EQ(phase, "done");
    CommitOutcome out;
    out.files = filesIn(region_.files + "/" + team + "/ana/" + id);
    auto report = call({"GET", "/v2/flows/" + id + "/report", ""});
    for (const auto& r : report.value("rules", Json::array())) {
      std::string name = r["rule"];
      if (name == "(checkpoint)") continue;  // jobByJob() reports no checkpoints.
      double tasks = r["tasks"].get<double>(), seconds = std::max(1e-9, r["task_s"].get<double>());
      auto each = [&](const char* f) {
        return std::round(r[f].get<double>() / seconds * 100) / 100;
      };
      out.rules[name] = {tasks, room(each("cpu_s"), each("gpu_s"), each("gb_s"))};
    }
    return out;
  }

  // Runs the rule file without a flow. Each instance becomes a job with one task as soon as its
  // dependencies are done, and the rule file is planned again after a checkpoint.
  CommitOutcome jobByJob(const std::string& team, const std::string& file,
                         const std::string& name) {
    std::string relative = team + "/ana/" + name, directory = region_.files + "/" + relative;
    fs::create_directories(directory);
    for (const auto& entry : fs::directory_iterator(fs::path(file).parent_path())) {
      fs::copy_file(entry.path(), directory + "/" + entry.path().filename().string());
    }
    RuleFile rule;
    rule.path = directory + "/" + fs::path(file).filename().string();
    std::set<std::uint64_t> done;
    CommitOutcome out;
    bool again = true;
    while (again) {
      again = false;
      PlannedFile planned = planFile(rule);
      auto bundle = rules::bundle(planned.plan);
      const auto& plan = planned.plan;
      for (bool more = true; more && !again;) {
        more = false;
        std::vector<std::pair<std::string, Instance>> open;
        for (Instance i = 0; i < plan.instances.size(); ++i) {
          const auto& p = plan.instances[i];
          if (done.contains(p.print)) continue;
          bool ready = std::all_of(p.deps.begin(), p.deps.end(), [&](Instance d) {
            return done.contains(plan.instances[d].print);
          });
          if (ready) open.emplace_back(submit(team, relative, plan, bundle, i), i);
        }
        for (const auto& [job, i] : open) {
          if (!finished(job)) {
            ADD_FAILURE() << job << " was not done";
            return out;
          }
          done.insert(plan.instances[i].print);
          const FlowRule& r = plan.rules[plan.instances[i].rule];
          auto& entry = out.rules[r.name];
          entry.first += 1;
          entry.second = room(r.perTask.cpus, r.perTask.gpus, r.perTask.ramGb);
          more = true;
          again = again || plan.instances[i].checkpoint;
        }
      }
    }
    out.files = filesIn(directory);
    return out;
  }

 private:
  std::string submit(const std::string& team, const std::string& directory,
                     const rules::FlowPlan& plan, const rules::Bundle& bundle, Instance i) {
    const FlowRule& r = plan.rules[plan.instances[i].rule];
    std::string ref = "j-" + std::to_string(++jobs_);
    std::ofstream(region_.files + "/../jobs/" + ref + ".json")
        << Json({{"text", bundle.texts[i / bundle.perText]},
                 {"at", i % bundle.perText},
                 {"directory", directory},
                 {"cpus", r.perTask.cpus},
                 {"gpus", r.perTask.gpus}});
    Json body = {{"ref", ref},
                 {"lane", "flow"},
                 {"owner", team},
                 {"shape", "batch"},
                 {"rank", "best_effort"},
                 {"shards", 1},
                 {"cpus", r.perTask.cpus},
                 {"gpus", r.perTask.gpus},
                 {"ram_gb", r.perTask.ramGb},
                 {"bundle", "default"},
                 {"size_gb", 0.0},
                 {"rigs", nullptr},
                 {"site", nullptr},
                 {"together", false},
                 {"apart", false},
                 {"loaners", true},
                 {"guess_s", 0.0},
                 {"snapshot_s", 0.0},
                 {"flush_s", 0.0},
                 {"due_s", nullptr}};
    call({"POST", "/v2/runs", encodeBody(body)});
    return ref;
  }

  bool finished(const std::string& ref) {
    for (int i = 0; i < 600; ++i) {
      auto r = call({"GET", "/v2/runs/" + ref, ""});
      if (textField(r, "phase") == "done") return true;
      pause();
    }
    return false;
  }

  const RegionProcess& region_;
  EventLoop loop_;
  EvHttpClient http_;
  client::Caller caller_;
  FlowClient client_;
  int jobs_ = 1000;
};

class LoopbackTest : public testing::TestWithParam<std::pair<std::string, std::string>> {};

TEST_P(LoopbackTest, FlowAndJobsComeToTheSame) {
  const auto& [team, file] = GetParam();
  std::string path = std::string(SOURCE_PATH) + "/examples/" + file;
  char name[] = "/tmp/kestrelhoist-loopback-XXXXXX";
  ASSERT_NE(mkdtemp(name), nullptr);
  std::string directory = name;
  CommitOutcome flow, jobs;
  {
    RegionProcess region(directory, std::string(SOURCE_PATH) + "/deploy/flows.json",
                         {"--kill-controllers", "2", "--kill-machines", "2", "--seed", "3"});
    ASSERT_FALSE(region.servers.empty()) << "the region did not come up, see " << directory;
    Driver driver(region);
    flow = driver.asFlow(team, path, "w-5");
    jobs = driver.jobByJob(team, path, "by-hand");
  }
  EXPECT_FALSE(flow.files.empty());
  EXPECT_EQ(flow.files, jobs.files);
  EXPECT_EQ(flow.rules, jobs.rules);
  if (!HasFailure()) fs::remove_all(directory);
}

// Guards against a copy of an answered launch that starts a task a second time.
TEST(LoopbackCopies, OfAnsweredLaunchesStartNothing) {
  char name[] = "/tmp/kestrelhoist-loopback-XXXXXX";
  ASSERT_NE(mkdtemp(name), nullptr);
  const std::string directory = name;
  {
    RegionProcess region(directory, std::string(SOURCE_PATH) + "/deploy/flows.json",
                         {"--command-copies", "1", "--kill-machines", "1", "--seed", "3"});
    ASSERT_FALSE(region.servers.empty()) << "the region did not come up, see " << directory;
    Driver driver(region);
    const std::string path = std::string(SOURCE_PATH) + "/examples/herbarium/Snakefile";
    EXPECT_FALSE(driver.jobByJob("herbarium", path, "by-hand").files.empty());
    constexpr int kPausesUntilLastCopy = 60;
    for (int i = 0; i < kPausesUntilLastCopy; ++i) driver.pause();
  }
  std::ifstream in(directory + "/region.log");
  std::ostringstream log;
  log << in.rdbuf();
  EXPECT_EQ(log.str().find("attempt launched a second time"), std::string::npos);
  if (!HasFailure()) fs::remove_all(directory);
}

INSTANTIATE_TEST_SUITE_P(Loopback, LoopbackTest,
                         testing::Values(std::pair("herbarium", "herbarium/Snakefile"),
                                         std::pair("audit", "audit/Makefile")),
                         [](const auto& info) { return std::string(info.param.first); });

}  // namespace
}  // namespace kestrelhoist
