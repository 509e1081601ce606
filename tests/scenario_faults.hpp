// What a scenario's lines do to a world: its settings, its troubles, drawn mixtures of them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/log.hpp"
#include "sim/world.hpp"

namespace kestrelhoist::sim {

struct Line {
  std::string file;
  int number{};
  std::vector<std::string> words;
  std::string where() const { return file + ":" + std::to_string(number); }
};

// "key value" pairs after `from`.
inline std::map<std::string, std::string> options(const Line& line, std::size_t from) {
  std::map<std::string, std::string> out;
  for (std::size_t i = from; i + 1 < line.words.size(); i += 2)
    out[line.words[i]] = line.words[i + 1];
  return out;
}

// Milliseconds of a word that tells seconds.
inline std::int64_t toMilliseconds(const std::string& seconds) {
  return static_cast<std::int64_t>(std::stod(seconds) * 1000);
}

constexpr std::int64_t kRestartMs = 4000;  // until a process that ended is back

// What is wrong with a line, if anything: numbers that are none, or that can't be. In words at
// these places, counted from the verb.
inline std::string wrongNumber(const Line& line) {
  static const std::map<std::string, std::vector<int>> kPlaces{{"seeds", {1, 2}},
                                                               {"run", {1}},
                                                               {"chaos", {1}},
                                                               {"cut", {5}},
                                                               {"link", {5}},
                                                               {"flap", {5, 6, 7}},
                                                               {"freeze", {2}},
                                                               {"trouble", {3}},
                                                               {"cutzone", {3}},
                                                               {"cutmachine", {3}},
                                                               {"outage", {2}},
                                                               {"refuse", {2}},
                                                               {"hang", {2}},
                                                               {"faulty", {2}},
                                                               {"polls", {1, 2}},
                                                               {"notice", {2}},
                                                               {"lose", {2}},
                                                               {"capacity", {2}},
                                                               {"crash", {2}},
                                                               {"crashes", {2, 3, 4}},
                                                               {"copies", {1, 2, 3}},
                                                               {"beside", {2}},
                                                               {"dieshare", {1}},
                                                               {"alone", {3}},
                                                               {"deafzone", {3}},
                                                               {"stream", {3, 5}},
                                                               {"catch", {4}},
                                                               {"gap", {1}},
                                                               {"late_writes", {1, 2}},
                                                               {"slow", {2, 3}},
                                                               {"held", {1, 2, 3}},
                                                               {"meet", {2}},
                                                               {"pipelines", {1, 2}},
                                                               {"ask", {1, 2}},
                                                               {"late_reports", {1, 2}},
                                                               {"late_commands", {1, 2}},
                                                               {"crowd", {1}},
                                                               {"aborts", {2, 4, 6}},
                                                               {"close_looks", {1}},
                                                               {"cancel_at_end", {1, 2}},
                                                               {"odd_requests", {1}},
                                                               {"alongside", {2}},
                                                               {"own_abort", {1}},
                                                               {"singles_cancelled", {1}},
                                                               {"cancel_now", {1}},
                                                               {"machine_mute", {2}},
                                                               {"cancel_at_claim", {1, 2}},
                                                               {"cancel_edge", {1}},
                                                               {"reach", {2}},
                                                               {"disturb", {2}}};
  static const std::set<std::string> kOptions{
      "nodes", "ordinary",   "spot",  "boot",     "bootfail", "gpusmax", "report",
      "lease", "cancel",     "pace",  "balancer", "writes",   "fetch",   "valuekb",
      "ops",   "flows",      "tasks", "gpus",     "cpus",     "wrong",   "ram",
      "run",   "checkpoint", "due",   "soon",     "failed",   "pagerows"};
  static const std::set<std::string> kWords{
      "phase",      "leader", "flow",    "underserved", "gone",      "waits",  "answered",
      "unanswered", "storm",  "periods", "settled",     "nowaiting", "waiting"};
  auto bad = [&](const std::string& word) -> std::string {
    char* end = nullptr;
    double v = std::strtod(word.c_str(), &end);
    if (word.empty() || *end != '\0') return "'" + word + "' is not a number";
    if (!(v >= 0) || v > 1e9) return word + " is out of range";
    return "";
  };
  const auto& words = line.words;
  auto at = kPlaces.find(words[0]);
  if (at != kPlaces.end()) {
    for (int place : at->second) {
      auto n = static_cast<std::size_t>(place);
      if (n >= words.size()) {
        if (words[0] == "crash") continue;
        return words[0] + " needs a number more";
      }
      if (auto why = bad(words[n]); !why.empty()) return why;
    }
  } else if (words[0] == "world" || words[0] == "submit") {
    for (const auto& [key, value] : options(line, words[0] == "world" ? 1 : 2)) {
      if (!kOptions.contains(key) || (words[0] == "submit" && key == "spot")) continue;
      if (auto why = bad(value); !why.empty()) return key + ": " + why;
      bool some =
          key == "nodes" || key == "tasks" || key == "report" || key == "lease" || key == "ops";
      if (some && std::stod(value) <= 0) return key + " must be more than 0";
    }
  } else if (words[0] == "expect" && words.size() > 2 && !kWords.contains(words[1])) {
    return bad(words.back());
  }
  return "";
}

class ScenarioFaults {
 public:
  virtual ~ScenarioFaults() = default;

 protected:
  void configure(const Line& line) {
    for (const auto& [key, value] : options(line, 1)) {
      double v = std::stod(value);
      if (key == "pace") {  // the three that the deployments have: 1, 3, 8
        settings_.reportS = v;
        settings_.leaseS = v <= 1 ? 11 : v <= 3 ? 17.5 : 36;
        settings_.cancelS = v <= 1 ? 41 : v <= 3 ? 47.5 : 61;
      } else if (key == "nodes")
        settings_.nodes = static_cast<int>(v);
      else if (key == "ordinary")
        settings_.ordinaryPerZone = static_cast<int>(v);
      else if (key == "spot")
        settings_.spotPerZone = static_cast<int>(v);
      else if (key == "boot")
        settings_.bootS = v;
      else if (key == "bootfail")
        settings_.bootFail = v;
      else if (key == "soon")  // share of machines that are up within 0.2 to 2 s
        settings_.soon = v;
      else if (key == "failed")  // seconds until a machine that has died is listed so
        settings_.failedAfterS = v;
      else if (key == "pagerows")  // of the state service
        settings_.pageRows = static_cast<std::size_t>(v);
      else if (key == "gpusmax")
        settings_.gpusMax = v;
      else if (key == "fetch")  // seconds until a machine has an image
        settings_.fetchS = v;
      else if (key == "report")
        settings_.reportS = v;
      else if (key == "lease")
        settings_.leaseS = v;
      else if (key == "cancel")
        settings_.cancelS = v;
      else if (key == "writes")
        settings_.writesPerS = v;
      else if (key == "valuekb")
        settings_.valueKb = static_cast<int>(v);
      else if (key == "ops")
        settings_.txnOps = static_cast<int>(v);
      else if (key == "nextvaluekb")
        settings_.nextValueKb = static_cast<int>(v);
      else if (key == "nextops")
        settings_.nextOps = static_cast<int>(v);
      else if (key == "nextwrites")
        settings_.nextWrites = v;
      else if (key == "old")  // controllers are of the version before until `upgrade`
        settings_.old = v > 0;
      else if (key == "flows")
        settings_.flows = v > 0;
      else if (key == "cache")
        settings_.cache = v > 0;
      else if (key == "balancer")
        settings_.balancer = v > 0;
      else
        FAIL() << "unknown setting " << key;
    }
  }

  CutMode mode(const std::string& word) {
    if (word == "reset" || word == "refuse") return CutMode::reset;
    if (word == "slow") return CutMode::slow;
    return word == "drop" ? CutMode::drop : CutMode::hold;
  }

  std::set<std::string> group(const std::string& word) {
    std::set<std::string> out;
    if (word == "state") out.insert("state");
    if (word == "cloud") out.insert("cloud");
    if (word == "workers") {
      for (int i = 1; i < 9999; ++i) {
        char name[16];
        std::snprintf(name, sizeof name, "host-%06d", i);
        out.insert(name);
      }
    }
    if (word == "users") out.insert("users");
    if (word.starts_with("zone-")) {
      for (const auto& [host, worker] : world_->workers) {
        if (worker->zone == word.substr(5)) out.insert(host);
      }
    }
    if (word == "peers") {
      for (int i = 0; i < settings_.nodes; ++i) out.insert("node" + std::to_string(i));
    }
    return out;  // "all": empty
  }

  // "leader", "other" (the next after it), "third" or a number.
  int nodeOf(const std::string& word) {
    int leader = world_->nodeFrom("leader");
    if (word == "other") return (leader + 1) % settings_.nodes;
    if (word == "third") return (leader + 2) % settings_.nodes;
    return world_->nodeFrom(word);
  }

  // One, in "turn", "all", or the "rest": all but the one that `alone` names.
  void crash(std::string who, std::int64_t downMs) {
    for (int i = 0; who == "rest" && i < settings_.nodes; ++i) {
      if (i != alone_) world_->crash(i, downMs);
    }
    if (who == "rest") return;
    if (who == "turn") who = std::to_string(turn_++ % settings_.nodes);
    if (who != "all") return world_->crash(nodeOf(who), downMs);
    for (int i = 0; i < settings_.nodes; ++i) world_->crash(i, downMs);
  }

  // link NODE to GROUP up|hold|drop|reset|refuse|slow|in|out SECONDS; in, out: only this way is
  // held.
  void link(int node, const std::string& to, const std::string& how, std::int64_t ms) {
    if (how == "up") return;
    CutWay way = how == "in" ? CutWay::in : how == "out" ? CutWay::out : CutWay::both;
    world_->network.cut("node" + std::to_string(node), group(to), mode(how), ms, way);
  }

  // The zone of this controller, from everything outside.
  void cutZone(int node, CutMode how, std::int64_t ms) {
    const auto& zones = settings_.zones;
    const auto& zone = zones[static_cast<std::size_t>(node) % zones.size()];
    std::set<std::string> inside{"node" + std::to_string(node)};
    for (const auto& [host, worker] : world_->workers) {
      if (worker->zone == zone) inside.insert(host);
    }
    world_->network.cutOff(inside, how, ms);
  }

  std::string busyMachine(const std::string& word) {
    auto busy = world_->machinesWithTasks();
    if (word == "busy") return busy.empty() ? "" : busy.front();
    for (const auto& [host, w] : world_->workers) {
      if (word == "spot" && w->spot && !w->gone) return host;
    }
    return word;
  }

  // Of a job that awaits others: see ScenarioPipelines.
  virtual bool pipelineOption(JobPlan& job, const std::string& key, const std::string& value) = 0;

  JobPlan jobFrom(const std::string& id, const std::map<std::string, std::string>& chosen) {
    JobPlan job;
    job.id = id;
    for (const auto& [key, value] : chosen) {
      if (key == "shape")
        job.shape = value;
      else if (key == "tasks")
        job.tasks = std::stoi(value);
      else if (key == "gpus")
        job.gpus = std::stod(value);
      else if (key == "ram")
        job.ram = std::stod(value);
      else if (key == "cpus")
        job.cpus = std::stod(value);
      else if (key == "stagger")  // task 1 runs so much longer than task 0, and so on
        job.staggerS = std::stod(value);
      else if (key == "run")
        job.runS = std::stod(value);
      else if (key == "rank")
        job.rank = value;
      else if (key == "zone")
        job.zone = value;
      else if (key == "together")
        job.together = value == "yes";
      else if (key == "apart")
        job.apart = value == "yes";
      else if (key == "spot")
        job.spot = value == "yes";
      else if (key == "checkpoint")
        job.checkpointS = std::stod(value);
      else if (key == "wrong")  // submitted with a mistake: each task ends in error after this
        job.errsAfterS = std::stod(value);
      else if (key == "class")
        job.jobClass = value;
      else if (key == "team")
        job.team = value;
      else if (key == "image")
        job.image = value;
      else if (key == "gb")
        job.imageGb = std::stod(value);
      else if (pipelineOption(job, key, value))
        continue;
      else
        ADD_FAILURE() << "unknown option " << key;
    }
    return job;
  }

  // Neither state service nor other controllers; its workers reach it.
  void alone(const std::string& who, const std::string& how, std::int64_t ms) {
    alone_ = nodeOf(who);
    link(alone_, "state", how, ms);
    link(alone_, "peers", how, ms);
  }

  // beside WHAT SECONDS: another trouble at the same time.
  void beside(const std::string& what, std::int64_t ms) {
    World& w = *world_;
    if (what == "crash" || what == "leader") crash("leader", kRestartMs);
    if (what == "all") crash("all", kRestartMs);
    if (what == "zone") cutZone(nodeOf("other"), CutMode::hold, ms);
    if (what == "outage") w.state.outage(ms);
    if (what == "notice") {
      if (auto host = busyMachine("spot"); w.workers.contains(host)) w.workers[host]->notice(ms);
    }
    if (what == "abort") w.abort("j-000005");
    if (what == "deaf") deafZone("b", CutMode::hold, ms);
    if (what == "lone") alone("other", "hold", ms);
  }

  // catch STEP WHO DOWN TIMES: at this step of an election the candidate (`one`), it and another
  // (`two`) or `all` end, and are back after so long; so many times.
  struct Catch {
    std::string step, who;
    std::int64_t downMs{};
    int left{};
  };
  void caught(const std::string& step, const std::string& member) {
    World& w = *world_;
    for (auto& c : catches_) {
      if (c.step != step || c.left <= 0) continue;
      --c.left;
      w.clock.in(0, [this, member, c] {
        int node = std::stoi(member.substr(4));
        if (c.who == "all") return crash("all", c.downMs);
        world_->crash(node, c.downMs);
        if (c.who == "two") world_->crash((node + 1) % settings_.nodes, c.downMs);
      });
    }
  }
  // lease: granted, no token yet; token: won, no report yet; round: reports come in; commit: the
  // first change is written, and not heard of.
  void watchElection() {
    if (catches_.size() > 1) return;
    World& w = *world_;
    w.state.onLease = [this](const std::string& host) { caught("lease", host); };
    w.state.onCommit = [this, &w, before = w.state.onCommit,
                        newest = std::string()](const Json& writes) mutable {
      before(writes);
      for (const auto& write : writes) {
        auto key = write.value("set", std::string());
        if (key == "kh/leader") {
          newest = write["data"].at("member").get<std::string>();
          caught("token", newest);
          w.clock.in(300, [this, newest] { caught("round", newest); });
        } else if (!newest.empty() && (key.starts_with("kh/tasks/") || key == "kh/forecast" ||
                                       key.starts_with("kh/rental/"))) {
          caught("commit", std::exchange(newest, ""));
        }
      }
    };
  }

  // These machines' reports arrive, but neither answers nor commands reach them.
  void deafZone(const std::string& zone, CutMode how, std::int64_t ms) {
    for (const auto& [host, worker] : world_->workers) {
      if (zone == "all" || worker->zone == zone) {
        world_->network.cut(host, {}, how, ms, CutWay::in);
      }
    }
  }

  // Any of its parts, with a period that opens within three minutes and closes within five.
  Json drawnPolicy() {
    World& w = *world_;
    auto pick = [&](std::uint64_t n) { return w.random() % n; };
    auto minute = [&](double fromNow) {
      auto m = static_cast<int>((1700000000.0 + w.now()) / 60 + fromNow) % 1440;
      char text[8];
      std::snprintf(text, sizeof text, "%02d:%02d", m / 60, m % 60);
      return std::string(text);
    };
    auto some = [&] {
      return Json::array({pick(2) ? Json{{"rank", "production"}} : Json{{"kind", "batch"}}});
    };
    Json policy = Json::object();
    if (pick(4) != 0) {
      auto opens = static_cast<double>(pick(4));
      policy["calendar"] = {{"zone", "UTC"},
                            {"periods",
                             {{{"name", "drawn"},
                               {"from", minute(opens)},
                               {"to", minute(opens + 1 + static_cast<double>(pick(2)))},
                               {"first", some()},
                               {"yields", some()},
                               {"floor", 0.1}}}}};
    }
    if (pick(2)) policy["continuity"] = {{"services", some()}, {"machines", pick(4)}};
    if (pick(2)) {
      policy["pools"] = {{{"name", "p"},
                          {"images", {"img-1"}},
                          {"team", "team"},
                          {"least", pick(3)},
                          {"most", 3 + pick(4)}}};
    }
    return policy;
  }

  // Random faults, jobs and cancellations for a while; the seed decides.
  void chaos(double seconds) {
    World& w = *world_;
    auto pick = [&](std::uint64_t n) { return w.random() % n; };
    auto until = w.now() + seconds;
    while (w.now() < until) {
      w.runFor(0.5 + static_cast<double>(pick(6000)) / 1000.0);
      if (!w.broken.empty()) return;
      if (policies_ && pick(12) == 0) {
        w.setPolicy(pick(5) ? drawnPolicy() : Json(), "drawn-" + std::to_string(nextJob_++));
      }
      if (policies_ && pick(25) == 0) {
        w.stepClock(static_cast<int>(pick(3)), static_cast<std::int64_t>(pick(600000)) - 300000);
      }
      int node = static_cast<int>(pick(static_cast<std::uint64_t>(settings_.nodes)));
      auto busy = w.machinesWithTasks();
      auto duration = static_cast<std::int64_t>(2000 + pick(38000));
      auto anyMode = static_cast<CutMode>(pick(3));
      const char* groups[] = {"all", "state", "workers", "peers", "cloud"};
      constexpr std::int64_t kDown[] = {0, 50, 200, 500, kRestartMs, kRestartMs, kRestartMs};
      switch (pick(21)) {
        case 0:
          w.crash(node, kDown[pick(std::size(kDown))]);
          break;
        case 1:
          if (int l = w.leaderNode(); l >= 0) w.crash(l, kDown[pick(std::size(kDown))]);
          break;
        case 2:
          w.network.cut("node" + std::to_string(node), group(groups[pick(5)]), anyMode, duration);
          break;
        case 3:
          w.network.cut("node" + std::to_string(w.nodeFrom("leader")), group(groups[pick(5)]),
                        anyMode, duration);
          break;
        case 4:
          w.state.outage(static_cast<std::int64_t>(1000 + pick(20000)));
          break;
        case 5:
          w.state.refuse("node" + std::to_string(w.nodeFrom("leader")), duration);
          break;
        case 6:
          if (!busy.empty()) w.workers[busy[pick(busy.size())]]->die();
          break;
        case 7:
          if (!busy.empty()) w.workers[busy[pick(busy.size())]]->hang(duration);
          break;
        case 8:
          if (!busy.empty()) w.network.cut(busy[pick(busy.size())], {}, anyMode, duration);
          break;
        case 9:
          w.region.cloudOutageUntil = w.clock.now() + duration;
          break;
        case 11:
          cutZone(node, anyMode, 2 * duration);
          break;
        case 12:
          w.freeze(pick(2) ? node : w.nodeFrom("leader"), duration / 2);
          break;
        case 13:
        case 14: {
          const char* ways[] = {"hold", "reset", "slow", "in", "out"};
          link(node, groups[pick(5)], ways[pick(5)], duration);
          break;
        }
        case 16:
          beside("lone", duration);
          break;
        case 17:
          if (pick(2)) {
            deafZone(settings_.zones[pick(settings_.zones.size())], anyMode, duration);
          } else if (!busy.empty()) {
            w.network.cut(busy[pick(busy.size())], {}, CutMode::hold, duration, CutWay::in);
          }
          break;
        case 15:
          for (const auto& host : busy) {
            if (pick(3) == 0) w.workers[host]->hang(duration);
          }
          break;
        case 10:
          if (!submitted_.empty()) w.abort(submitted_[pick(submitted_.size())]);
          break;
        default: {
          JobPlan p;
          p.id = "j-" + std::to_string(nextJob_++);
          bool service = pick(3) == 0;
          p.shape = service ? "daemon" : "batch";
          p.rank = service ? "production" : "best_effort";
          p.tasks = static_cast<int>(1 + pick(service ? 3 : 10));
          p.apart = service;
          p.together = !service && pick(4) == 0;
          p.spot = !service;
          p.checkpointS = pick(2) ? 5 : 0;
          p.runS = static_cast<double>(3 + pick(40));
          w.submit(p);
          submitted_.push_back(p.id);
        }
      }
    }
  }

  static constexpr double kLeastServed = 0.5;
  static constexpr std::int64_t kForgotten = 75000;
  // Less is too short to tell: one machine that ended would be all.
  static constexpr std::int64_t kJudgedMs = 40000;
  std::set<std::string> mayStarve_;
  std::vector<Line> lines_;
  WorldSettings settings_;
  std::unique_ptr<World> world_;
  std::vector<std::string> submitted_;
  std::vector<std::string> named_;  // submitted by lines
  int nextJob_ = 500000;
  int turn_ = 0;
  int leadershipsBefore_ = 0;
  std::vector<Catch> catches_;
  int alone_ = -1, marked_ = -1;
  bool policies_ = false;
  std::map<std::string, Network::Traffic> trafficBefore_;
  double trafficAt_ = 0;
  std::map<std::string, FlowPlanSpec> flows_;
};

}  // namespace kestrelhoist::sim
