// hoist-region runs the region model on loopback with real processes as tasks and, unless
// --controllers is 0, the controllers. When it exits, it ends every process that it has started.
#include <arpa/inet.h>
#include <event2/event.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "base/log.hpp"
#include "base/process_signals.hpp"
#include "simulator/host/link_proxy.hpp"
#include "simulator/host/loop_seams.hpp"
#include "simulator/host/process_tasks.hpp"

namespace kh = kestrelhoist;
namespace fs = std::filesystem;
using kh::simulator::SimulatedRegion;

namespace {

struct Options {
  std::string directory = "region";
  std::string program = "kestrelhoist", hoist = "hoist", operatorFile;
  int controllers = 3, port = 7400, machines = 2;
  double cpus = 4, gpus = 2, ram = 16, bootS = 0.5, fetchS = 0.02;
  std::vector<std::string> teams{"herbarium", "audit"};
  std::uint64_t seed = 1;
  int killControllers = 0, killMachines = 0;
  int killEveryMs = 0;
  int restartDelayMs = 1000;
  int cutLinks = 0, cutEveryMs = 500;
  double commandCopies = 0;
  // With --port 0 this holds the free ports that the system chose.
  std::vector<int> freePortNumbers;
};

// Copies of direct commands arrive within this time after the worker answered the command.
constexpr std::int64_t kFirstCopyMs = 500, kLastCopyMs = 10000;

int portOf(const Options& o, int n) {
  return o.freePortNumbers.empty() ? o.port + n : o.freePortNumbers[static_cast<std::size_t>(n)];
}

// Returns a socket that is bound to the port, or -1 if the port is in use.
int bindTo(int port) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0) return fd;
  close(fd);
  return -1;
}

// Returns ports that were unused at the time of the call. They lie below the ports of outgoing
// connections, because one of these could take the port at an offset that a controller also needs.
std::vector<int> freePorts(int count) {
  constexpr int kFirst = 10000, kLast = 31000, kTries = 1000;
  std::random_device random;
  std::uniform_int_distribution<int> draw(kFirst, kLast);
  std::vector<int> fds, out;
  for (int i = 0; i < kTries && static_cast<int>(out.size()) < count; ++i) {
    int port = draw(random);
    int fd = bindTo(port);
    if (fd < 0) continue;
    fds.push_back(fd);
    out.push_back(port);
  }
  for (int fd : fds) close(fd);
  if (static_cast<int>(out.size()) < count) throw std::runtime_error("no free ports on 127.0.0.1");
  return out;
}

// Holds a proxy for each network link of a controller if links are to be cut. The names of the
// links are "0 to state", "1 to cloud", "2 to workers" (which users share) and "0 to 1".
class Links {
 public:
  Links(kh::EventLoop& loop, const Options& o) : loop_(loop), cutsLinks_(o.cutLinks > 0) {}
  // Returns the address of the link's proxy, or the target itself if no links are to be cut.
  std::string addressOf(const std::string& name, const std::string& target) {
    if (!cutsLinks_) return target;
    for (const auto& l : links_) {
      if (l->name() == name) return l->address();
    }
    links_.push_back(std::make_unique<kh::simulator::LinkProxy>(loop_, name, target));
    return links_.back()->address();
  }
  void cutOne(std::mt19937_64& random) {
    using Mode = kh::simulator::LinkProxy::Mode;
    auto& link = *links_[random() % links_.size()];
    if (link.mode() != Mode::up) return;
    bool hold = random() % 3 != 0;
    kh::Duration time{500 + static_cast<std::int64_t>(random() % 4000)};
    kh::logInfo("network link cut", "link", link.name(), "how", hold ? "hold" : "reset", "ms",
                time.count());
    link.set(hold ? Mode::hold : Mode::reset);
    loop_.after(time, [&link] { link.set(Mode::up); });
  }

 private:
  kh::EventLoop& loop_;
  bool cutsLinks_;
  std::vector<std::unique_ptr<kh::simulator::LinkProxy>> links_;
};

// Runs the controllers as processes, restarts those that exit, and kills them in its destructor.
class Controllers {
 public:
  Controllers(kh::EventLoop& loop, const Options& o, Links& links)
      : loop_(loop), options_(o), links_(links), pids_(static_cast<std::size_t>(o.controllers)) {
    child_ = evsignal_new(
        loop_.base(), SIGCHLD,
        [](int, short, void* self) { static_cast<Controllers*>(self)->reap(); }, this);
    evsignal_add(child_, nullptr);
  }
  ~Controllers() {
    ending_ = true;
    for (pid_t pid : pids_) {
      if (pid <= 0) continue;
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    event_free(child_);
  }

  static std::string address(const Options& o, int i, bool mesh) {
    return "127.0.0.1:" + std::to_string(portOf(o, 2 + 2 * i + (mesh ? 1 : 0)));
  }

  void start(int i) {
    std::string config = options_.directory + "/node" + std::to_string(i) + ".toml";
    // Tests read the file while a controller is started again, so it is replaced as a whole.
    writeSettings(i, config + ".new");
    std::filesystem::rename(config + ".new", config);
    std::string log = options_.directory + "/node" + std::to_string(i) + ".log";
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      FILE* out = std::freopen(log.c_str(), "a", stderr);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      kh::restoreDefaultSignals();
      if (!out) _exit(126);
      if (options_.operatorFile.empty()) {
        execlp(options_.program.c_str(), "kestrelhoist", "--config", config.c_str(),
               static_cast<char*>(nullptr));
      } else {
        execlp(options_.program.c_str(), "kestrelhoist", "--operator",
               options_.operatorFile.c_str(), "--config", config.c_str(),
               static_cast<char*>(nullptr));
      }
      _exit(127);
    }
    pids_[static_cast<std::size_t>(i)] = pid;
  }

  void killOne(std::uint64_t draw) {
    std::size_t i = draw % pids_.size();
    if (pids_[i] <= 0) return;
    kh::logInfo("killing controller", "node", i);
    kill(pids_[i], SIGKILL);
  }

 private:
  void reap() {
    if (ending_) return;
    for (std::size_t i = 0; i < pids_.size(); ++i) {
      int status = 0;
      if (pids_[i] <= 0 || waitpid(pids_[i], &status, WNOHANG) != pids_[i]) continue;
      pids_[i] = 0;
      if (WIFEXITED(status)) {
        kh::logError("controller exited on its own", "node", i, "status", WEXITSTATUS(status));
      } else if (WTERMSIG(status) != SIGKILL) {
        kh::logError("controller was ended by a signal", "node", i, "signal", WTERMSIG(status));
      }
      loop_.after(kh::Duration{options_.restartDelayMs}, [this, i] {
        if (!ending_) start(static_cast<int>(i));
      });
    }
  }

  void writeSettings(int i, const std::string& path) {
    std::ofstream out(path);
    const char* zones[] = {"a", "b", "c"};
    out << "member = \"node" << i << "\"\nsite = \"" << zones[i % 3] << "\"\napi_addr = \""
        << address(options_, i, false) << "\"\nmesh_addr = \"" << address(options_, i, true)
        << "\"\n";
    for (int k = 0; k < options_.controllers; ++k) {
      if (k == i) continue;
      out << "[[peers]]\nmember = \"node" << k << "\"\nsite = \"" << zones[k % 3] << "\"\naddr = \""
          << links_.addressOf(std::to_string(i) + " to " + std::to_string(k),
                              address(options_, k, true))
          << "\"\n";
    }
    auto own = [&](const char* what, int port) {
      return links_.addressOf(std::to_string(i) + " to " + what,
                              "127.0.0.1:" + std::to_string(port));
    };
    out << "[external]\ncloud = \"" << own("cloud", portOf(options_, 1)) << "\"\nstate = \""
        << own("state", portOf(options_, 0)) << "\"\n"
        << "[settings]\nsize = " << options_.controllers
        << "\nzones = [\"a\", \"b\", \"c\"]\ntime_bound_ms = 1000.0\n";
    for (const auto& team : options_.teams) {
      out << "[[settings.teams]]\nname = \"" << team
          << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n";
    }
    out << "[settings.workers]\nreport_s = 0.5\nlease_s = 8.0\ngang_wait_s = 45.0\ngang_peer_s = "
           "5.0\ncancel_s = 30.0\n"
        << "[settings.state]\nrps = 600.0\nwrite_rps = 300.0\nvalue_kb = 16.0\ntxn_ops = 24\n"
        << "[settings.cloud]\nrps = 10.0\nlist_lag_s = 0.5\n"
        << "[settings.limits]\ncores = 1.0\nram_mb = 200.0\nmax_connections = 600\n";
  }

  kh::EventLoop& loop_;
  const Options& options_;
  Links& links_;
  std::vector<pid_t> pids_;
  event* child_;
  bool ending_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  Options o;
  CLI::App app{"hoist-region runs state service, cloud, workers and controllers on loopback"};
  app.add_option("--directory", o.directory, "directory for files, logs and settings");
  app.add_option("--program", o.program, "path of the controller program");
  app.add_option("--hoist", o.hoist, "path of the hoist program that tasks can call");
  app.add_option("--operator", o.operatorFile,
                 "file with the operator's settings for the controllers");
  app.add_option("--controllers", o.controllers, "number of controllers to run")
      ->check(CLI::Range(0, 9));
  app.add_option("--port", o.port, "first of the consecutive ports to use; 0 chooses free ports")
      ->check(CLI::Range(0, 65000));
  app.add_option("--machines", o.machines,
                 "number of spot machines and of on-demand machines in each of three zones")
      ->check(CLI::Range(1, 100));
  app.add_option("--teams", o.teams, "names of the teams")->delimiter(',');
  app.add_option("--seed", o.seed, "seed of all random choices");
  app.add_option("--kill-controllers", o.killControllers,
                 "number of controllers to kill, each at a randomly chosen task start");
  app.add_option(
      "--kill-every-ms", o.killEveryMs,
      "average interval in ms between controller kills, which then happen at random times");
  app.add_option("--back-ms", o.restartDelayMs,
                 "time in ms until a controller that exited is restarted")
      ->check(CLI::Range(0, 60000));
  app.add_option("--kill-machines", o.killMachines,
                 "number of machines to kill, each at a randomly chosen task start");
  app.add_option("--cut-links", o.cutLinks,
                 "number of times to cut one network link of a controller, at random times");
  app.add_option("--command-copies", o.commandCopies,
                 "share of the direct commands of which a copy arrives up to 10 s later")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--cut-every-ms", o.cutEveryMs, "average interval in ms between cuts");
  app.footer(
      "Example: hoist-region --directory /tmp/region --program target/kestrelhoist --operator "
      "deploy/flows.json");
  CLI11_PARSE(app, argc, argv);
  kh::setupLogging("region");
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  kh::ignoreBrokenPipes();

  try {
    o.directory = fs::absolute(o.directory).string();
    if (o.hoist.find('/') != std::string::npos) o.hoist = fs::absolute(o.hoist).string();
    if (o.port == 0) o.freePortNumbers = freePorts(2 + 2 * o.controllers);
    fs::create_directories(o.directory + "/files");
    fs::create_directories(o.directory + "/jobs");
    kh::EventLoop loop;
    kh::EvHttpClient http(loop, 400);
    kh::simulator::LoopClock clock(loop);
    kh::simulator::LoopTransport transport(loop, http);
    transport.mapAddress("state:1", "127.0.0.1:" + std::to_string(portOf(o, 0)));
    transport.mapAddress("cloud:1", "127.0.0.1:" + std::to_string(portOf(o, 1)));
    std::mt19937_64 random(o.seed);

    kh::simulator::RegionSettings settings;
    settings.cpus = o.cpus;
    settings.gpus = o.gpus;
    settings.ram = o.ram;
    settings.bootS = o.bootS;
    settings.fetchS = o.fetchS;
    settings.onDemandPerZone = settings.spotPerZone = o.machines;
    settings.reportS = 0.5;
    settings.leaseS = 8;
    settings.listLagS = 0.2;
    kh::simulator::ProcessSettings processes{
        o.directory + "/files", o.directory + "/jobs", {}, o.hoist};
    Links links(loop, o);
    for (int i = 0; i < o.controllers; ++i) {
      settings.nodes.push_back(
          links.addressOf(std::to_string(i) + " to workers", Controllers::address(o, i, false)));
      processes.servers.push_back(Controllers::address(o, i, false));
    }
    kh::simulator::ProcessTasks tasks(loop, http, processes);
    SimulatedRegion region(settings, clock, transport, random, tasks);
    region.state.valueBytes = 16 * 1024;
    region.state.transactionOps = 24;
    region.commandCopies = {o.commandCopies, kFirstCopyMs, kLastCopyMs};
    Controllers controllers(loop, o, links);
    for (int i = 0; i < o.controllers; ++i) controllers.start(i);

    // Kills happen at randomly chosen task starts, so their number does not depend on the speed of
    // the machine.
    std::vector<std::pair<std::size_t, bool>> kills;
    if (o.killEveryMs == 0) {
      for (int i = 0; i < o.killControllers; ++i) kills.emplace_back(2 + random() % 16, true);
    }
    for (int i = 0; i < o.killMachines; ++i) kills.emplace_back(2 + random() % 16, false);
    tasks.onTaskStart = [&] {
      for (auto& [at, controller] : kills) {
        if (at == 0 || at > tasks.startedTaskCount()) continue;
        at = 0;
        if (controller) {
          controllers.killOne(random());
          continue;
        }
        auto busy = region.machinesWithTasks();
        if (busy.empty()) continue;
        std::string victim = busy[random() % busy.size()];
        loop.after(kh::Duration{0}, [&region, victim] {
          kh::logInfo("killing machine", "machine", victim);
          region.workers[victim]->die();
        });
      }
    };

    // Kills and cuts happen at random times after the first controller is ready. The program prints
    // "killed N" or "cut N" after the last one.
    std::mt19937_64 times(o.seed + 1);
    struct Series {
      const char* word;
      int count, everyMs;
      std::function<void()> act;
    };
    Series killing{"killed", o.killEveryMs == 0 ? 0 : o.killControllers, o.killEveryMs,
                   [&] { controllers.killOne(times()); }};
    Series cutting{"cut", o.cutLinks, o.cutEveryMs, [&] { links.cutOne(times); }};
    std::function<void(const Series&, int)> scheduleSeries = [&](const Series& s, int left) {
      if (s.count == 0) return;
      if (left == 0) {
        std::printf("%s %d\n", s.word, s.count);
        std::fflush(stdout);
        return;
      }
      auto pause = static_cast<std::int64_t>(times() % (2 * static_cast<unsigned>(s.everyMs)));
      loop.after(kh::Duration{pause + 1}, [&, left] {
        s.act();
        scheduleSeries(s, left - 1);
      });
    };

    std::string servers;
    for (const auto& s : processes.servers) servers += (servers.empty() ? "" : ",") + s;
    std::function<void(int)> waitUntilReady = [&](int left) {
      http.send(processes.servers.empty() ? "127.0.0.1:1" : processes.servers[0],
                {"GET", "/ready", ""}, kh::Duration{1000},
                [&, left](std::optional<kh::Response> r) {
                  if (r && r->status == 200) {
                    std::printf("ready %s %s\n", servers.c_str(), processes.files.c_str());
                    std::fflush(stdout);
                    scheduleSeries(killing, killing.count);
                    scheduleSeries(cutting, cutting.count);
                    return;
                  }
                  if (left > 0)
                    loop.after(kh::Duration{200}, [&, left] { waitUntilReady(left - 1); });
                });
    };
    if (o.controllers > 0) waitUntilReady(600);

    event* signalEvents[2];
    int signals[2] = {SIGINT, SIGTERM};
    for (int i = 0; i < 2; ++i) {
      signalEvents[i] = evsignal_new(
          loop.base(), signals[i],
          [](int, short, void* l) { static_cast<kh::EventLoop*>(l)->stop(); }, &loop);
      evsignal_add(signalEvents[i], nullptr);
    }
    loop.run();
    for (auto* e : signalEvents) event_free(e);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "hoist-region: %s\n", e.what());
    return 1;
  }
  return 0;
}
