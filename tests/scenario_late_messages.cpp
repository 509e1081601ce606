#include "scenario_late_messages.hpp"

namespace kestrelhoist::sim {

bool ScenarioLateMessages::lateMessagesStep(const std::vector<std::string>& words) {
  const std::string& verb = words[0];
  if (verb == "late_writes" && words.size() > 3) {
    lateWrites(words);
  } else if (verb == "late_reports") {
    lateReports(words);
  } else if (verb == "late_commands") {
    lateCommands(words);
  } else if (verb == "lose_reads") {  // lose_reads TIMES
    readsToLose_ = std::stoi(words.at(1));
    installHooks();
  } else if (verb == "aborts") {
    cancelStream(words);
  } else if (verb == "crowd") {
    storeEndedJobs(std::stoi(words.at(1)));
  } else {
    return false;
  }
  return true;
}

ScenarioLateMessages::MessageFault ScenarioLateMessages::messageFaultFrom(
    const std::vector<std::string>& words) {
  MessageFault t;
  t.share = std::stod(words.at(1));
  t.until = world_->clock.now() + millis(words.at(2));
  for (std::size_t i = 3; i < words.size(); ++i) {
    if (words[i] == "of") {
      t.writer = words.at(++i);
    } else if (words[i] == "notices") {
      t.noticeMs = millis(words.at(++i));
    } else if (words[i] == "ends") {
      t.ends = words.at(++i);
    } else {
      t.form = words[i];
    }
  }
  return t;
}

Network::RequestFault ScenarioLateMessages::requestFault(const std::string& from,
                                                         const Request& request) {
  constexpr std::int64_t kWriteFrom = 2000, kWriteTo = 12000, kCommandFrom = 2000,
                         kCommandTo = 16000;
  if (request.path.starts_with("/changes") && readsToLose_ > 0 &&
      from == "node" + std::to_string(world_->leaderNode())) {
    --readsToLose_;
    return {0, true};
  }
  if (request.path == "/commands" && drawsFault(commands_)) {
    failSender(commands_, from);
    if (commands_.noticeMs > 0) noticeAtLaunch(request);
    return {draw(kCommandFrom, kCommandTo), true};
  }
  if (request.path != "/commit" || world_->clock.now() >= writes_.until) return {};
  if (writes_.writer != "any" && writerOf(*decodeBody(request.body)) != writes_.writer) return {};
  if (!drawsFault(writes_)) return {};
  failSender(writes_, from);
  return {writes_.form == "at_once" ? 0 : draw(kWriteFrom, kWriteTo), true};
}

void ScenarioLateMessages::noticeAtLaunch(const Request& request) {
  constexpr int kOneIn = 3, kMost = 6;
  World& w = *world_;
  const Json body = *decodeBody(request.body);
  for (const auto& order : body.at("orders")) {
    if (order.at("verb") != "launch" || noticeCount_ >= kMost || draw(1, kOneIn) != 1) continue;
    auto task = order.at("shard").get<std::string>();
    auto slash = task.find('/');
    auto index = static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)));
    for (const auto& key : w.state.keysBelow(keys::kTasks + task.substr(0, slash + 1))) {
      auto record = taskChunkRecordFromJson(*w.state.valueOf(key));
      auto placed = record->placed.find(index);
      if (placed == record->placed.end()) continue;
      auto worker = w.workers.find(placed->second.machine.value);
      if (worker == w.workers.end() || worker->second->isDead || !worker->second->spot) continue;
      ++noticeCount_;
      w.clock.in(draw(1, 300), [this, target = worker->second.get()] {
        if (!target->isDead) target->notice(commands_.noticeMs);
      });
    }
  }
}

void ScenarioLateMessages::failSender(const MessageFault& t, const std::string& author) {
  constexpr std::int64_t kUnderWay = 6, kPause = 5000, kDeposed = 8000;
  if (t.ends == "stays" || !author.starts_with("node")) return;
  if (world_->clock.now() < nextSenderFailureAt_) return;
  nextSenderFailureAt_ = world_->clock.now() + kPause;
  int node = std::stoi(author.substr(4));
  world_->clock.in(kUnderWay, [this, node, author, ends = t.ends] {
    if (ends == "deposed") return world_->state.rejectRequestsFrom(author, kDeposed);
    world_->crash(node, millis(ends));
  });
}

void ScenarioLateMessages::lateReports(const std::vector<std::string>& words) {
  constexpr std::int64_t kFrom = 1000, kTo = 60000;
  if (words.size() < 4) {
    world_->network.duplicateReports = {std::stod(words.at(1)), kFrom, kTo};
    world_->clock.in(millis(words.at(2)), [this] { world_->network.duplicateReports = {}; });
    return;
  }
  reports_ = messageFaultFrom({words.begin(), words.begin() + 4});
  deliveryStep_ = words.at(4);
  installHooks();
}

void ScenarioLateMessages::deliverKept() {
  if (world_->clock.now() >= reports_.until) return;
  constexpr std::int64_t kWithin = 600;
  constexpr int kOfEach = 4;
  for (const auto& [host, kept] : keptReports_) {
    for (int i = 0; i < kOfEach && !kept.empty(); ++i) {
      const Request& copy =
          kept[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(kept.size()) - 1))];
      for (int n = 0; n < settings_.nodes; ++n) {
        world_->network.deliver(host, world_->nodeApi(n), copy, draw(0, kWithin));
      }
    }
  }
}

void ScenarioLateMessages::storeEndedJobs(int n) {
  Json spec = {{"ref", ""},          {"lane", "any"},     {"owner", "team"}, {"shape", "batch"},
               {"rank", "standard"}, {"shards", 1},       {"cpus", 1.0},     {"gpus", 0.0},
               {"ram_gb", 1.0},      {"bundle", "img-1"}, {"size_gb", 1.0},  {"rigs", nullptr},
               {"site", nullptr},    {"together", false}, {"apart", false},  {"loaners", true},
               {"guess_s", 1.0},     {"snapshot_s", 0.0}, {"flush_s", 0.0},  {"due_s", nullptr}};
  constexpr int kFirst = 200000;
  for (int i = 0; i < n; ++i) {
    std::string id = "j-" + std::to_string(kFirst + i);
    spec["ref"] = id;
    auto parsed = std::get<JobSpec>(parseSubmission(spec));
    parsed.id = JobId{id};
    JobRecord record{std::make_shared<const JobSpec>(std::move(parsed)),
                     JobPhase::done,
                     0,
                     64,
                     nullptr,
                     nullptr};
    world_->state.put(keys::job(JobId{id}), toJson(record));
  }
}

std::string ScenarioLateMessages::recordInconsistency() {
  World& w = *world_;
  std::map<std::string, int> onRecord;
  for (const auto& key : w.state.keysBelow(keys::kRental)) {
    auto record =
        rentalRecordFromJson(RentalId{key.substr(keys::kRental.size())}, *w.state.valueOf(key));
    if (!record) return key + " can't be read";
    if (!record->answered) return key + " is not answered";
    for (const auto& m : record->machines) {
      if (m.draining) return key + ": " + m.id.value + " is still leaving";
      ++onRecord[m.id.value];
    }
  }
  for (const auto& [machine, times] : onRecord) {
    if (times > 1) return machine + " is on " + std::to_string(times) + " rentals";
    if (!w.region.isRented(machine)) return machine + " is on record and gone";
  }
  for (const auto& machine : w.region.rentedMachines()) {
    if (!onRecord.contains(machine)) return machine + " is on no record";
  }
  const Json* windows = w.state.valueOf(keys::kForecast);
  if (!windows) return "no record of the windows";
  constexpr std::int64_t kEpochMs = 1700000000000, kAge = 30000;
  if (windows->at("at").get<std::int64_t>() < kEpochMs + w.clock.now() - kAge) {
    return "the record of the windows is old";
  }
  return w.leaderNode() < 0 ? "nobody leads" : "";
}

void ScenarioLateMessages::installHooks() {
  if (std::exchange(hooksInstalled_, true)) return;
  World& w = *world_;
  w.network.requestFault = [this](const std::string& from, const Request& q) {
    return requestFault(from, q);
  };
  w.network.onSent = [this](const std::string& from, const Request& q) {
    keepReport(from, q);
    watchRentals(q);
    if (!awaitingStep_) return;
    if (q.path == "/hosts/release") onLeaderStep("release");
    if (q.path == "/commands") watchCommands(*decodeBody(q.body));
  };
  w.network.onResponse = [this, before = w.network.onResponse](const Request& q,
                                                               const Response& r) {
    if (before) before(q, r);
    if (!awaitingStep_ || q.path != "/agent/beat" || r.status != 200) return;
    if (auto body = decodeBody(r.body)) watchCommands(*body);
  };
  w.state.onCommit = [this, &w, before = w.state.onCommit](const Json& writes) {
    before(writes);
    for (const auto& write : writes) {
      if (write.value("set", std::string()) != keys::kLeader) continue;
      awaitingStep_ = true;
      onLeaderStep("token");
      w.clock.in(300, [this] { onLeaderStep("round"); });
    }
  };
}

}  // namespace kestrelhoist::sim
