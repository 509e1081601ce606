#include "scenario_faults.hpp"

namespace kestrelhoist::sim {

std::string numberError(const Line& line) {
  // Maps each verb to the positions of its numbers; the verb has position 0.
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
                                                               {"lose_answers", {3}},
                                                               {"capacity", {2}},
                                                               {"crash", {2}},
                                                               {"crashes", {2, 3, 4}},
                                                               {"copies", {1, 2, 3}},
                                                               {"command_copies", {1, 2, 3}},
                                                               {"beside", {2}},
                                                               {"dieshare", {1}},
                                                               {"alone", {3}},
                                                               {"deafzone", {3}},
                                                               {"stream", {3, 5}},
                                                               {"catch", {4}},
                                                               {"gap", {1}},
                                                               {"late_writes", {1, 2}},
                                                               {"slow", {2, 3}},
                                                               {"slowness", {1}},
                                                               {"recover", {2, 4}},
                                                               {"held", {1, 2, 3}},
                                                               {"meet", {2}},
                                                               {"pipelines", {1, 2}},
                                                               {"ask", {1, 2}},
                                                               {"late_reports", {1, 2}},
                                                               {"late_commands", {1, 2}},
                                                               {"lose_reads", {1}},
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
      "nodes", "ordinary",   "spot",  "boot",     "bootfail", "gpusmax",  "report",
      "lease", "cancel",     "pace",  "balancer", "writes",   "fetch",    "valuekb",
      "ops",   "flows",      "tasks", "gpus",     "cpus",     "wrong",    "ram",
      "run",   "checkpoint", "due",   "soon",     "failed",   "pagerows", "types"};
  static const std::set<std::string> kWords{
      "phase",  "leader",     "flow",  "underserved", "gone",    "waits",     "answered",
      "marked", "unanswered", "storm", "periods",     "settled", "nowaiting", "waiting"};
  auto bad = [&](const std::string& word) -> std::string {
    char* end = nullptr;
    double v = std::strtod(word.c_str(), &end);
    if (word.empty() || *end != '\0') return "'" + word + "' is not a number";
    if (!(v >= 0) || v > 1e9) return word + " is out of range";
    return "";
  };
  const auto& words = line.words;
  if (words[0] == "at") {  // at MACHINE WHEN SECONDS STEP
    constexpr std::size_t kStepFrom = 4;
    if (words.size() <= kStepFrom) return "at needs a step";
    if (auto why = bad(words[kStepFrom - 1]); !why.empty()) return why;
    return numberError({line.file, line.number, {words.begin() + kStepFrom, words.end()}});
  }
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

void ScenarioFaults::configure(const Line& line) {
  for (const auto& [key, value] : options(line, 1)) {
    double v = std::stod(value);
    if (key == "pace") {  // The deployments use report intervals of 1, 3 and 8 s.
      settings_.reportS = v;
      settings_.leaseS = v <= 1 ? 11 : v <= 3 ? 17.5 : 36;
      settings_.cancelS = v <= 1 ? 41 : v <= 3 ? 47.5 : 61;
    } else if (key == "nodes")
      settings_.nodes = static_cast<int>(v);
    else if (key == "ordinary")
      settings_.onDemandPerZone = static_cast<int>(v);
    else if (key == "spot")
      settings_.spotPerZone = static_cast<int>(v);
    else if (key == "boot")
      settings_.bootS = v;
    else if (key == "bootfail")
      settings_.bootFailureShare = v;
    else if (key == "soon")  // This is the share of machines that boot within 0.2 to 2 s.
      settings_.fastBootShare = v;
    else if (key == "failed")  // The cloud lists a dead machine as failed after this time.
      settings_.failedAfterS = v;
    else if (key == "types")
      settings_.machineTypes = static_cast<int>(v);
    else if (key == "pagerows")  // This is the page size of the state service in rows.
      settings_.pageRows = static_cast<std::size_t>(v);
    else if (key == "gpusmax")
      settings_.gpusMax = v;
    else if (key == "fetch")  // A machine needs this time to fetch an image.
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
    else if (key == "old")  // Controllers run the earlier version until `upgrade`.
      settings_.old = v > 0;
    else if (key == "flows")
      settings_.flows = v > 0;
    else if (key == "cache")
      settings_.cache = v > 0;
    else if (key == "latesessions")
      settings_.lateSessions = v > 0;
    else if (key == "latechanges")
      settings_.lateChanges = v > 0;
    else if (key == "balancer")
      settings_.balancer = v > 0;
    else
      FAIL() << "unknown setting " << key;
  }
}

std::set<std::string> ScenarioFaults::group(const std::string& word) {
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
  return out;  // The set stays empty for "all".
}

JobPlan ScenarioFaults::jobFrom(const std::string& id,
                                const std::map<std::string, std::string>& chosen) {
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
    else if (key == "stagger")  // Each task runs this much longer than the task before it.
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
    else if (key == "wrong")  // Each task fails after this time because of a mistake in the job.
      job.failsAfterS = std::stod(value);
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

void ScenarioFaults::addFault(const std::string& what, std::int64_t ms) {
  World& w = *world_;
  if (what == "crash" || what == "leader") crash("leader", kRestartMs);
  if (what == "all") crash("all", kRestartMs);
  if (what == "zone") cutZone(nodeOf("other"), CutMode::hold, ms);
  if (what == "outage") w.state.outage(ms);
  if (what == "notice") {
    if (auto host = busyMachine("spot"); w.workers.contains(host)) w.workers[host]->notice(ms);
  }
  if (what == "abort") w.abort("j-000005");
  if (what == "deaf") blockMessagesToZone("b", CutMode::hold, ms);
  if (what == "lone") isolate("other", "hold", ms);
  if (what == "back") {  // The leader and a machine are back within a second.
    crash("leader", 200);
    if (auto host = busyMachine("busy"); w.workers.contains(host)) w.workers[host]->hang(700);
  }
  if (what == "deposed") w.state.rejectRequestsFrom("node" + std::to_string(nodeOf("leader")), ms);
  if (what == "answers") {
    w.network.responseLossShare = 0.1;
    w.clock.in(ms, [&w] { w.network.responseLossShare = 0; });
  }
  if (what == "mute") {
    for (const auto& host : group("zone-b")) w.network.blockRequestsFrom(host, true, ms);
  }
}

void ScenarioFaults::crashAtElectionStep(const std::string& step, const std::string& member) {
  World& w = *world_;
  for (auto& c : electionCrashes_) {
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

void ScenarioFaults::watchElection() {
  if (electionCrashes_.size() > 1) return;
  World& w = *world_;
  w.state.onLease = [this](const std::string& host) { crashAtElectionStep("lease", host); };
  w.state.onCommit = [this, &w, before = w.state.onCommit,
                      newest = std::string()](const Json& writes) mutable {
    before(writes);
    for (const auto& write : writes) {
      auto key = write.value("set", std::string());
      if (key == "kh/leader") {
        newest = write["data"].at("member").get<std::string>();
        crashAtElectionStep("token", newest);
        w.clock.in(300, [this, newest] { crashAtElectionStep("round", newest); });
      } else if (!newest.empty() && (key.starts_with("kh/tasks/") || key == "kh/forecast" ||
                                     key.starts_with("kh/rental/"))) {
        crashAtElectionStep("commit", std::exchange(newest, ""));
      }
    }
  };
}

Json ScenarioFaults::drawnPolicy() {
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

std::uint64_t ScenarioFaults::drawBelow(std::uint64_t bound) { return world_->random() % bound; }

void ScenarioFaults::chaos(double seconds) {
  World& w = *world_;
  auto until = w.now() + seconds;
  while (w.now() < until) {
    w.runFor(0.5 + static_cast<double>(drawBelow(6000)) / 1000.0);
    if (!w.broken.empty()) return;
    if (policies_) drawPolicyChange();
    DrawnFault fault;
    fault.node = static_cast<int>(drawBelow(static_cast<std::uint64_t>(settings_.nodes)));
    fault.busy = w.machinesWithTasks();
    fault.durationMs = static_cast<std::int64_t>(2000 + drawBelow(38000));
    fault.mode = static_cast<CutMode>(drawBelow(3));
    // Kind 10 cancels a job, and kinds 18 to 20 submit one. Each other kind is a case in only one
    // of the two functions below.
    auto kind = drawBelow(21);
    if (kind > 17) {
      submitDrawnJob();
    } else if (kind == 10) {
      if (!submitted_.empty()) w.abort(submitted_[drawBelow(submitted_.size())]);
    } else {
      drawControllerFault(kind, fault);
      drawMachineFault(kind, fault);
    }
  }
}

void ScenarioFaults::drawPolicyChange() {
  World& w = *world_;
  if (drawBelow(12) == 0) {
    w.setPolicy(drawBelow(5) ? drawnPolicy() : Json(), "drawn-" + std::to_string(nextJob_++));
  }
  if (drawBelow(25) == 0) {
    w.stepClock(static_cast<int>(drawBelow(3)),
                static_cast<std::int64_t>(drawBelow(600000)) - 300000);
  }
}

void ScenarioFaults::drawControllerFault(std::uint64_t kind, const DrawnFault& fault) {
  World& w = *world_;
  constexpr const char* kGroups[] = {"all", "state", "workers", "peers", "cloud"};
  constexpr std::int64_t kDown[] = {0, 50, 200, 500, kRestartMs, kRestartMs, kRestartMs};
  switch (kind) {
    case 0:
      w.crash(fault.node, kDown[drawBelow(std::size(kDown))]);
      break;
    case 1:
      if (int l = w.leaderNode(); l >= 0) w.crash(l, kDown[drawBelow(std::size(kDown))]);
      break;
    case 2:
      w.network.cut("node" + std::to_string(fault.node), group(kGroups[drawBelow(5)]), fault.mode,
                    fault.durationMs);
      break;
    case 3:
      w.network.cut("node" + std::to_string(w.parseController("leader")),
                    group(kGroups[drawBelow(5)]), fault.mode, fault.durationMs);
      break;
    case 4:
      w.state.outage(static_cast<std::int64_t>(1000 + drawBelow(20000)));
      break;
    case 5:
      w.state.rejectRequestsFrom("node" + std::to_string(w.parseController("leader")),
                                 fault.durationMs);
      break;
    case 9:
      w.region.cloudOutageUntil = w.clock.now() + fault.durationMs;
      break;
    case 11:
      cutZone(fault.node, fault.mode, 2 * fault.durationMs);
      break;
    case 12:
      w.freeze(drawBelow(2) ? fault.node : w.parseController("leader"), fault.durationMs / 2);
      break;
    case 13:
    case 14: {
      const char* ways[] = {"hold", "reset", "slow", "in", "out"};
      link(fault.node, kGroups[drawBelow(5)], ways[drawBelow(5)], fault.durationMs);
      break;
    }
    case 16:
      addFault("lone", fault.durationMs);
      break;
    default:
      break;
  }
}

void ScenarioFaults::drawMachineFault(std::uint64_t kind, const DrawnFault& fault) {
  World& w = *world_;
  switch (kind) {
    case 6:
      if (!fault.busy.empty()) w.workers[fault.busy[drawBelow(fault.busy.size())]]->die();
      break;
    case 7:
      if (!fault.busy.empty())
        w.workers[fault.busy[drawBelow(fault.busy.size())]]->hang(fault.durationMs);
      break;
    case 8:
      if (!fault.busy.empty())
        w.network.cut(fault.busy[drawBelow(fault.busy.size())], {}, fault.mode, fault.durationMs);
      break;
    case 17:
      if (drawBelow(2)) {
        blockMessagesToZone(settings_.zones[drawBelow(settings_.zones.size())], fault.mode,
                            fault.durationMs);
      } else if (!fault.busy.empty()) {
        w.network.cut(fault.busy[drawBelow(fault.busy.size())], {}, CutMode::hold, fault.durationMs,
                      CutWay::in);
      }
      break;
    case 15:
      for (const auto& host : fault.busy) {
        if (drawBelow(3) == 0) w.workers[host]->hang(fault.durationMs);
      }
      break;
    default:
      break;
  }
}

void ScenarioFaults::submitDrawnJob() {
  World& w = *world_;
  JobPlan p;
  p.id = "j-" + std::to_string(nextJob_++);
  bool service = drawBelow(3) == 0;
  p.shape = service ? "daemon" : "batch";
  p.rank = service ? "production" : "best_effort";
  p.tasks = static_cast<int>(1 + drawBelow(service ? 3 : 10));
  p.apart = service;
  p.together = !service && drawBelow(4) == 0;
  p.spot = !service;
  p.checkpointS = drawBelow(2) ? 5 : 0;
  p.runS = static_cast<double>(3 + drawBelow(40));
  w.submit(p);
  submitted_.push_back(p.id);
}

}  // namespace kestrelhoist::sim
