// These tests run the client library against real processes on loopback while controllers are
// killed at random times. They guard against jobs that run twice or get lost, and against job ends
// that are reported more than once. KESTRELHOIST_KILLS=300 runs the long form; docs/client.md has
// its results.
#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <thread>

#include "certificates.hpp"
#include "members/records.hpp"
#include "members_simulator.hpp"

namespace kestrelhoist {
namespace {
namespace fs = std::filesystem;
using namespace client;

bool expected(ErrorKind kind) {
  return kind == ErrorKind::throttled || kind == ErrorKind::unavailable ||
         kind == ErrorKind::deadlinePassed || kind == ErrorKind::outcomeUnknown;
}

// A user script that submits a batch of jobs and watches them until they end. The script is
// restarted from time to time: its client is destroyed and a new one is created.
struct Batch {
  std::string name;
  int jobs = 0;
  std::vector<std::string> wrong;
  std::set<std::string> ids;

  // Writes the command of each task to the place where workers read it. Each task holds its own
  // file lock while its process runs. If a second process of the same task runs at the same time,
  // it appends a line to the file "twice".
  void describe(const std::string& files, const std::string& key) const {
    Owner owner{TeamId{"herbarium"}, "ana"};
    std::string job = memberJob(owner, refForIdempotencyKey(owner, key)).value;
    fs::create_directories(files + "/.jobs");
    std::ofstream(files + "/.jobs/" + job + ".json")
        << R"({"command": "flock -n ../../)" << key << R"(.lock sleep 0.1 || echo )" << key
        << R"( >> ../../twice", "directory": "herbarium/ana", "logs": "herbarium/ana/.jobs/)" << key
        << R"(", "cpus": 0.1, "gpus": 0})";
  }

  void run(const Settings& settings, const std::string& files) {
    Job job;
    job.cpus = 0.1;
    job.ramGb = 0.1;
    job.spot = true;
    for (int life = 0; life < 2; ++life) {
      Client c(settings);
      // The first run of the script stops after half of the jobs; the second submits all jobs
      // again.
      int upTo = life == 0 ? jobs / 2 : jobs;
      for (int i = 0; i < upTo; ++i) {
        SubmitOptions o;
        o.idempotencyKey = name + "-" + std::to_string(i);
        describe(files, o.idempotencyKey);
        for (int tries = 0; tries < 20; ++tries) {
          auto r = c.submit(job, o);
          if (r) {
            ids.insert(r->id);
            break;
          }
          if (!expected(r.error().kind)) wrong.push_back(r.error().text());
        }
      }
      if (life == 0) continue;
      WatchOptions w;
      w.ids.assign(ids.begin(), ids.end());
      auto watch = c.watch(w);
      std::map<std::string, int> ends;
      std::map<std::string, Phase> last;
      for (int n = 0; n < 100 * jobs; ++n) {
        auto event = watch.next(std::chrono::seconds(120));
        if (!event) {
          wrong.push_back(event.error().text());
          break;
        }
        if (!*event) break;
        const JobState& s = (*event)->job;
        if (s.phase < last[s.id]) wrong.push_back(s.id + " went back");
        last[s.id] = s.phase;
        if (s.hasEnded() && ++ends[s.id] > 1) wrong.push_back(s.id + " ended twice");
      }
      if (ends.size() != ids.size()) {
        wrong.push_back("of " + std::to_string(ids.size()) + " ends " +
                        std::to_string(ends.size()));
      }
    }
  }
};

// Runs batches until all faults that `trouble` counts have happened. Then every submitted job must
// exist exactly once and be done.
void playBatches(const std::vector<std::string>& region, int count,
                 int (RegionProcess::*trouble)()) {
  Members m(region);
  ASSERT_FALSE(m.process->servers.empty()) << m.directory;
  std::string ana = m.keyFor("ana");
  std::atomic<int> done = 0;
  std::thread troubling([&] { done = (m.process.get()->*trouble)(); });
  std::size_t submitted = 0;
  for (int round = 0; done == 0 && round < 1 + count; ++round) {
    std::vector<Batch> batches(3);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < batches.size(); ++i) {
      batches[i].name = "r" + std::to_string(round) + "-" + std::to_string(i);
      batches[i].jobs = 4;
      threads.emplace_back([&, i] { batches[i].run(m.settings(ana), m.process->files); });
    }
    for (auto& t : threads) t.join();
    for (const auto& b : batches) {
      for (const auto& w : b.wrong) ADD_FAILURE() << b.name << ": " << w;
      EXPECT_EQ(b.ids.size(), 4U);
      submitted += b.ids.size();
    }
  }
  troubling.join();
  EXPECT_EQ(done, count);
  EXPECT_FALSE(fs::exists(m.process->files + "/twice"));
  std::size_t witnesses = 0;
  for (const auto& entry : fs::directory_iterator(m.process->files)) {
    witnesses += entry.path().extension() == ".lock" ? 1 : 0;
  }
  EXPECT_EQ(witnesses, submitted);
  // The member's job list contains each job of the batches once, all are done, and it contains no
  // other jobs.
  Client c(m.settings(ana));
  JobQuery q;
  std::size_t listed = 0;
  for (bool more = true; more;) {
    auto page = c.list(q);
    ASSERT_TRUE(page) << page.error().text();
    for (const auto& job : page->jobs) EXPECT_EQ(job.phase, Phase::done) << job.id;
    listed += page->jobs.size();
    more = page->more;
    q.since = page->cursor;
  }
  EXPECT_EQ(listed, submitted);
  Client ben(m.settings(m.keyFor("ben")));
  auto theirs = ben.list();
  ASSERT_TRUE(theirs);
  EXPECT_TRUE(theirs->jobs.empty());
  std::printf("%d troubles, %zu jobs\n", done.load(), submitted);
}

int countFrom(const char* variable, int otherwise) {
  const char* asked = std::getenv(variable);
  return asked ? std::max(1, std::atoi(asked)) : otherwise;
}

std::string seedOr(const char* otherwise) {
  const char* seed = std::getenv("KESTRELHOIST_SEED");
  return seed ? seed : otherwise;
}

TEST(ClientLoopback, ControllersAreKilledWhileAClientIsAtWork) {
  int kills = countFrom("KESTRELHOIST_KILLS", 5);
  playBatches({"--kill-controllers", std::to_string(kills), "--kill-every-ms", "700", "--seed",
               seedOr("11")},
              kills, &RegionProcess::killed);
}

// Each killed controller restarts immediately, so its port, its name on the leader key and the
// connections of its peers and workers still date from the killed process.
TEST(ClientLoopback, ControllersThatAreKilledAreBackAtOnce) {
  int kills = countFrom("KESTRELHOIST_KILLS", 8);
  playBatches({"--kill-controllers", std::to_string(kills), "--kill-every-ms", "400", "--back-ms",
               "0", "--seed", seedOr("13")},
              kills, &RegionProcess::killed);
}

// Single links of controllers (to the state service, the cloud, the workers or other controllers)
// are stalled or reset for up to 4.5 s, several at a time. KESTRELHOIST_CUTS=300 runs the long
// form.
TEST(ClientLoopback, LinksAreCutWhileAClientIsAtWork) {
  int cuts = countFrom("KESTRELHOIST_CUTS", 12);
  playBatches(
      {"--cut-links", std::to_string(cuts), "--cut-every-ms", "500", "--seed", seedOr("12")}, cuts,
      &RegionProcess::cut);
}

// With member keys enabled, another member can't see or cancel a member's flows.
TEST(ClientLoopback, FlowsBelongToTheirMember) {
  Members m({}, R"({"members": {"enabled": true, "root_key_file": "root.key"},
                    "flows": {"enabled": true}})");
  ASSERT_FALSE(m.process->servers.empty()) << m.directory;
  std::string servers;
  for (const auto& s : m.process->servers) servers += (servers.empty() ? "" : ",") + s;
  auto hoist = [&](const std::string& key, const std::string& member, const std::string& words) {
    std::string command = "HOIST_KEY=" + key + " HOIST_MEMBER=" + member +
                          " HOIST_TEAM=audit HOIST_SERVERS=" + servers +
                          " HOIST_FILES=" + m.process->files + " " + CLI_PATH + " " + words +
                          " > /dev/null 2>&1";
    return WEXITSTATUS(std::system(command.c_str()));
  };
  std::string ana = m.keyFor("ana", "audit"), ben = m.keyFor("ben", "audit");
  std::string file = std::string(SOURCE_PATH) + "/examples/audit/Makefile";
  EXPECT_EQ(hoist(ana, "ana", "flow run " + file + " --id w-5"), 0);
  EXPECT_EQ(hoist(ana, "ana", "flow status w-5"), 0);
  EXPECT_EQ(hoist(ben, "ben", "flow status w-5"), 6) << "of another member: like none";
  EXPECT_EQ(hoist(ben, "ben", "flow cancel w-5"), 6);
  EXPECT_EQ(hoist(ben, "ben", "flow status w-6"), 6);
  EXPECT_EQ(hoist(ben, "ana", "flow list"), 4) << "another member's name is no right to its flows";
  EXPECT_EQ(hoist(ben, "ana", "flow submit " + file + " --id w-7"), 4);
  EXPECT_EQ(hoist(ben, "ben", "flow account"), 4) << "of the whole team: for admins";
  EXPECT_EQ(hoist("", "ana", "flow status w-5"), 4);
}

// This test guards against an operator who can't find out why a job waits. Every controller reports
// the reason, whether or not it leads; a member sees it only for its own jobs.
TEST(ClientLoopback, AnOperatorLearnsWhyAJobWaits) {
  Members m({}, R"({"members": {"enabled": true, "root_key_file": "root.key"}})");
  ASSERT_FALSE(m.process->servers.empty()) << m.directory;
  std::string ana = m.keyFor("ana"), ben = m.keyFor("ben");
  auto why = [&](const std::string& key, const std::string& server, const std::string& job,
                 int* code = nullptr) {
    std::string told = outputOf("HOIST_KEY=" + key + " " + ADMIN_PATH + " --timeout 5 --server " +
                                server + " why " + job + " 2>&1; echo $?");
    auto last = told.rfind('\n');
    if (code) *code = std::stoi(told.substr(last == std::string::npos ? 0 : last + 1));
    return told;
  };
  Job job;
  job.tasks = 3;
  job.cpus = 1e6;  // No machine type can hold this job, so it is rejected.
  auto never = Client(m.settings(ana)).submit(job);
  EXPECT_FALSE(never);
  job.cpus = job.ramGb = 0.1;
  auto accepted = Client(m.settings(ana)).submit(job);
  ASSERT_TRUE(accepted) << accepted.error().text();
  int code = -1;
  for (const auto& server : m.process->servers) {
    std::string told;
    // The loop retries because controllers accept jobs before the first leader is elected.
    for (int tries = 0; tries < 100 && told.find(" leads, for ") == std::string::npos; ++tries) {
      if (tries > 0) usleep(100000);
      told = why(ana, server, accepted->id, &code);
    }
    EXPECT_EQ(code, 0) << told;
    EXPECT_NE(told.find(" leads, for "), std::string::npos) << told;
  }
  why(ben, m.process->servers[0], accepted->id, &code);
  EXPECT_EQ(code, 6) << "of another member: like none";
  why(ana, m.process->servers[0], "j-000000000000000000", &code);
  EXPECT_EQ(code, 6);
  why(ana, m.process->servers[0], "nonsense/", &code);
  EXPECT_EQ(code, 2);
  EXPECT_NE(why(ana, "127.0.0.1:9", "j-000001", &code).find("hoist"), std::string::npos);
  EXPECT_EQ(code, 7);
}

// Users connect over TLS, and controllers authenticate each other with their own certificates. The
// certificates are replaced while the controllers run.
TEST(ClientLoopback, OverTlsWithCertificatesThatAreExchanged) {
  Certificates c;
  for (int i = 0; i < 3; ++i) {
    std::string name = "node" + std::to_string(i);
    c.issue(name, "ca", "IP:127.0.0.1,DNS:" + name, 30);
    c.issue("users-" + name, "ca", "IP:127.0.0.1", 30);
  }
  std::string at = c.directory + "/";
  Members m({}, R"({"members": {"enabled": true, "root_key_file": "root.key",
    "tls": {"certificate": ")" +
                    at + R"(users-{member}.pem", "key": ")" + at +
                    R"(users-{member}.key", "port_offset": 211},
    "mesh_tls": {"certificate": ")" +
                    at + R"({member}.pem", "key": ")" + at + R"({member}.key", "authority": ")" +
                    at + R"(ca.pem"},
    "metrics": {"port_offset": 223}}})");
  ASSERT_FALSE(m.process->servers.empty()) << m.directory;
  m.offset = 211;
  m.like.tls = true;
  m.like.authority = c.pem("ca");
  std::string ana = m.keyFor("ana");
  Job job;
  job.cpus = job.ramGb = 0.1;
  SubmitOptions once;
  once.idempotencyKey = "b";
  Settings s = m.settings(ana);
  auto first = Client(s).submit(job, once);
  ASSERT_TRUE(first) << first.error().text();
  for (const auto& server : s.servers) {
    Settings alone = s;
    alone.servers = {server};
    EXPECT_TRUE(Client(alone).get(first->id)) << server;
  }
  // The controllers' plain port rejects members' requests, and a client that does not trust the
  // server's certificate gets no answer.
  Settings plain = s;
  plain.tls = false;
  plain.servers = m.process->servers;
  EXPECT_EQ(Client(plain).get(first->id).error().kind, ErrorKind::notPermitted);
  Settings mistrusting = s;
  mistrusting.authority = c.pem("stranger");
  CallOptions soon;
  soon.deadline = std::chrono::seconds(2);
  EXPECT_EQ(Client(mistrusting).get(first->id, soon).error().kind, ErrorKind::unavailable);
  // Cancelling a job and reading the result at other controllers needs a leader that all
  // controllers know, so success shows that the TLS connections between controllers work.
  EXPECT_TRUE(Client(s).cancel(first->id));
  for (int i = 0; i < 3; ++i) {
    c.issue("users-node" + std::to_string(i), "stranger", "IP:127.0.0.1", 30);
  }
  bool exchanged = false;
  for (int i = 0; i < 20 && !exchanged; ++i) {
    exchanged = Client(mistrusting).get(first->id, soon).has_value();
  }
  EXPECT_TRUE(exchanged);
}

TEST(ClientLoopback, ClosedAndUnusableClientsSaySo) {
  Settings none;
  EXPECT_EQ(Client(none).get("j-1").error().kind, ErrorKind::unusable);
  Settings bad;
  bad.servers = {"somewhere"};
  EXPECT_EQ(Client(bad).get("j-1").error().kind, ErrorKind::unusable);
  bad.servers = {"127.0.0.1:1"};
  bad.key = "secret";
  EXPECT_EQ(Client(bad).get("j-1").error().kind, ErrorKind::unusable);
  bad.key = "";
  Client c(bad);
  Cancel cancel;
  CallOptions o;
  o.cancel = &cancel;
  o.deadline = std::chrono::seconds(100);
  std::thread giving([&] { cancel.request(); });
  EXPECT_EQ(c.get("j-1", o).error().kind, ErrorKind::cancelled);
  giving.join();
  // An open call ends when its client is destroyed.
  std::optional<ErrorKind> how;
  {
    Client going(bad);
    CallOptions patient;
    patient.deadline = std::chrono::seconds(100);
    going.get("j-1", patient, [&](Result<JobState> r) { how = r.error().kind; });
  }
  EXPECT_EQ(how, ErrorKind::cancelled);
}

}  // namespace
}  // namespace kestrelhoist
