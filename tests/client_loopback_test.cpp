// The client library with real processes on loopback, while controllers are killed at drawn times:
// no job twice, none lost, each end told once. Short here; KESTRELHOIST_KILLS=300 plays the long
// form (docs/client.md has its figures). Bounded by counts of kills and jobs.
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

// One script: submits a batch, is "killed" (its client goes) and started again now and then, and
// follows all jobs to their ends.
struct Batch {
  std::string name;
  int jobs = 0;
  std::vector<std::string> wrong;
  std::set<std::string> ids;

  // What the workers are to run, where they look for it.
  // Each task holds a lock of its own while it runs, which ends with its process: a second process
  // of the same task at the same time leaves a line in "twice".
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
      // The first life gives up halfway; the second submits everything again.
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

// Batches until what `trouble` counts is over; then everything must be there, once, and done.
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
  // As the service has it: each batch once, all of them done, and nothing of others.
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

// The same with each back at once: its port, its name on the leader key and its peers' and workers'
// connections are still those of the earlier life.
TEST(ClientLoopback, ControllersThatAreKilledAreBackAtOnce) {
  int kills = countFrom("KESTRELHOIST_KILLS", 8);
  playBatches({"--kill-controllers", std::to_string(kills), "--kill-every-ms", "400", "--back-ms",
               "0", "--seed", seedOr("13")},
              kills, &RegionProcess::killed);
}

// Single links of controllers (to the state service, the cloud, the workers, one another) are held
// or reset for up to 4.5 s, several at a time; KESTRELHOIST_CUTS=300 plays the long form.
TEST(ClientLoopback, LinksAreCutWhileAClientIsAtWork) {
  int cuts = countFrom("KESTRELHOIST_CUTS", 12);
  playBatches(
      {"--cut-links", std::to_string(cuts), "--cut-every-ms", "500", "--seed", seedOr("12")}, cuts,
      &RegionProcess::cut);
}

// Rule files with keys on: a member's flows are its own.
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

// "Nobody could say who held them": any controller tells, whoever leads; a member's own jobs only.
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
  job.cpus = 1e6;  // accepted by nobody: never runs
  auto never = Client(m.settings(ana)).submit(job);
  EXPECT_FALSE(never);
  job.cpus = job.ramGb = 0.1;
  auto accepted = Client(m.settings(ana)).submit(job);
  ASSERT_TRUE(accepted) << accepted.error().text();
  int code = -1;
  for (const auto& server : m.process->servers) {
    std::string told;
    // Jobs are accepted before there is a first leader.
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

// Users over TLS, controllers among themselves with a certificate each, exchanged while they run.
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
  // Without TLS there is nothing for members; who is not believed is told nothing.
  Settings plain = s;
  plain.tls = false;
  plain.servers = m.process->servers;
  EXPECT_EQ(Client(plain).get(first->id).error().kind, ErrorKind::notPermitted);
  Settings mistrusting = s;
  mistrusting.authority = c.pem("stranger");
  CallOptions soon;
  soon.deadline = std::chrono::seconds(2);
  EXPECT_EQ(Client(mistrusting).get(first->id, soon).error().kind, ErrorKind::unavailable);
  // A leader was elected and heard of, so the mesh works, or the job could not be cancelled and
  // seen elsewhere.
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
  // A call that is open when its client goes ends with it.
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
