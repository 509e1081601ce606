// Late, lost and repeated messages between controllers, state service and workers: which of them a
// scenario takes out of the world's traffic, and what it looks for in the records at the end.
#pragma once

#include <deque>

#include "scenario_fault_combinations.hpp"

namespace kestrelhoist::sim {

inline std::vector<std::string> keysWritten(const Json& transaction) {
  std::vector<std::string> out;
  for (const auto& write : transaction.at("writes")) {
    out.push_back(write.contains("set") ? write["set"].get<std::string>()
                                        : write["drop"].get<std::string>());
  }
  return out;
}

// Who writes a transaction, told by its keys and conditions: submission, abort, claim, placement
// (and ends of tasks), end (of a job), rental (and releases), windows, policy, ledger, flow,
// member.
inline std::string writerOf(const Json& transaction) {
  bool byLeader = false, isNew = false;
  for (const auto& condition : transaction.at("when")) {
    byLeader = byLeader || condition.at("path") == keys::kLeader;
    isNew = isNew || condition.at("stamp") == 0;
  }
  auto keys = keysWritten(transaction);
  auto writes = [&](const std::string& prefix) {
    return std::any_of(keys.begin(), keys.end(),
                       [&](const std::string& key) { return key.starts_with(prefix); });
  };
  if (writes(keys::kLeader)) return "claim";
  if (writes("kh/flow") || writes(keys::kText)) return "flow";
  if (writes(keys::kPolicyState) || writes("kh/paid/")) return "ledger";
  if (writes("kh/policy/")) return "policy";
  if (writes(keys::kKey) || writes(keys::kCursorKey)) return "member";
  if (writes(keys::kRental)) return "rental";
  if (writes(keys::kForecast) || writes(keys::kCatalogue)) return "windows";
  if (writes(keys::kJob)) return byLeader ? "end" : isNew ? "submission" : "abort";
  return writes(keys::kTasks) ? "placement" : "other";
}

class ScenarioLateMessages : public ScenarioFaultCombinations {
 protected:
  // The verbs of this file; false: none of them.
  bool lateMessagesStep(const std::vector<std::string>& words) {
    const std::string& verb = words[0];
    if (verb == "late_writes" && words.size() > 3) {
      lateWrites(words);
    } else if (verb == "late_reports") {
      lateReports(words);
    } else if (verb == "late_commands") {
      lateCommands(words);
    } else if (verb == "aborts") {
      aborts(words);
    } else if (verb == "crowd") {
      crowd(std::stoi(words.at(1)));
    } else {
      return false;
    }
    return true;
  }

  // expect books: within a minute each rented machine is on exactly one rental's record, each
  // rental is answered, each release that was begun is over, and the windows' record is the present
  // leader's.
  void expectBooks() {
    constexpr int kSteps = 120;
    std::string why = unsound();
    for (int i = 0; i < kSteps && !why.empty(); ++i) {
      world_->runFor(0.5);
      why = unsound();
    }
    EXPECT_EQ(why, "");
  }

 private:
  struct Trouble {
    double share = 0;
    std::int64_t until = 0;
    std::string form;            // late or at_once
    std::string writer;          // or any
    std::string ends = "stays";  // what the author does: seconds until it is back, or `deposed`
    std::int64_t noticeMs = 0;   // of a spot machine that a launch was on its way to
  };

  std::int64_t draw(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(world_->random);
  }
  bool falls(const Trouble& t) {
    return world_->clock.now() < t.until && std::bernoulli_distribution(t.share)(world_->random);
  }
  static std::int64_t millis(const std::string& seconds) {
    return static_cast<std::int64_t>(std::stod(seconds) * 1000);
  }
  // The words after the second, in pairs; `late`, `at_once` and `for_next` stand alone.
  Trouble troubleFrom(const std::vector<std::string>& words) {
    Trouble t;
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

  // late_writes SHARE SECONDS at_once|late [of WRITER] [ends stays|deposed|SECONDS]: that share of
  // a writer's transactions gets no answer, and is carried out at once or 2 to 12 s later, after
  // newer ones; its author ends just after it was sent.
  void lateWrites(const std::vector<std::string>& words) {
    if (words[3] == "none") return listen();
    writes_ = troubleFrom(words);
    listen();
  }
  // late_commands SHARE SECONDS [ends stays|deposed|SECONDS] [notices SECONDS]: direct commands
  // without an answer, carried out once 2 to 16 s later, if token and session still match. With
  // notices, some spot machines get theirs while a launch is on its way to them.
  void lateCommands(const std::vector<std::string>& words) {
    commands_ = troubleFrom(words);
    listen();
  }
  Network::Fate fateOf(const std::string& from, const Request& request) {
    constexpr std::int64_t kWriteFrom = 2000, kWriteTo = 12000, kCommandFrom = 2000,
                           kCommandTo = 16000;
    if (request.path == "/commands" && falls(commands_)) {
      befalls(commands_, from);
      if (commands_.noticeMs > 0) noticeAtLaunch(request);
      return {draw(kCommandFrom, kCommandTo), true};
    }
    if (request.path != "/commit" || world_->clock.now() >= writes_.until) return {};
    if (writes_.writer != "any" && writerOf(*decodeBody(request.body)) != writes_.writer) return {};
    if (!falls(writes_)) return {};
    befalls(writes_, from);
    return {writes_.form == "at_once" ? 0 : draw(kWriteFrom, kWriteTo), true};
  }
  void noticeAtLaunch(const Request& request) {
    constexpr int kOneIn = 3, kMost = 6;
    World& w = *world_;
    const Json body = *decodeBody(request.body);
    for (const auto& order : body.at("orders")) {
      if (order.at("verb") != "launch" || notices_ >= kMost || draw(1, kOneIn) != 1) continue;
      auto task = order.at("shard").get<std::string>();
      auto slash = task.find('/');
      auto index = static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)));
      for (const auto& key : w.state.keysBelow(keys::kTasks + task.substr(0, slash + 1))) {
        auto record = taskChunkRecordFrom(*w.state.valueOf(key));
        auto placed = record->placed.find(index);
        if (placed == record->placed.end()) continue;
        auto worker = w.workers.find(placed->second.machine.value);
        if (worker == w.workers.end() || worker->second->gone || !worker->second->spot) continue;
        ++notices_;
        w.clock.in(draw(1, 300), [this, target = worker->second.get()] {
          if (!target->gone) target->notice(commands_.noticeMs);
        });
      }
    }
  }
  // What becomes of the author, once the message is under way; seldom enough that somebody leads
  // in between.
  void befalls(const Trouble& t, const std::string& author) {
    constexpr std::int64_t kUnderWay = 6, kPause = 5000, kDeposed = 8000;
    if (t.ends == "stays" || !author.starts_with("node")) return;
    if (world_->clock.now() < nextEnd_) return;
    nextEnd_ = world_->clock.now() + kPause;
    int node = std::stoi(author.substr(4));
    world_->clock.in(kUnderWay, [this, node, author, ends = t.ends] {
      if (ends == "deposed") return world_->state.refuse(author, kDeposed);
      world_->crash(node, millis(ends));
    });
  }

  // late_reports SHARE SECONDS [for_next STEP]: of that share of reports a copy comes 1 to 60 s
  // later; or the copies are kept, and come to every controller when the next leader begins
  // (`token`), in its report round (`round`), or after its first `launch`, `stop`, `clear` or
  // `release`: the newest and the oldest of a machine, of earlier sessions and attempts too.
  void lateReports(const std::vector<std::string>& words) {
    constexpr std::int64_t kFrom = 1000, kTo = 60000;
    if (words.size() < 4) {
      world_->network.copies = {std::stod(words.at(1)), kFrom, kTo};
      world_->clock.in(millis(words.at(2)), [this] { world_->network.copies = {}; });
      return;
    }
    reports_ = troubleFrom({words.begin(), words.begin() + 4});
    step_ = words.at(4);
    listen();
  }
  void keep(const std::string& from, const Request& request) {
    if (request.path != "/agent/beat" || !falls(reports_)) return;
    constexpr std::size_t kKept = 24, kOldest = 8;
    auto& kept = kept_[from];
    kept.push_back(request);
    if (kept.size() > kKept) kept.erase(kept.begin() + kOldest);
  }
  // Several moments, since nobody knows when exactly the new leader's part begins.
  void deliverKept() {
    if (world_->clock.now() >= reports_.until) return;
    constexpr std::int64_t kWithin = 600;
    constexpr int kOfEach = 4;
    for (const auto& [host, kept] : kept_) {
      for (int i = 0; i < kOfEach && !kept.empty(); ++i) {
        const Request& copy =
            kept[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(kept.size()) - 1))];
        for (int n = 0; n < settings_.nodes; ++n) {
          world_->network.deliver(host, world_->nodeApi(n), copy, draw(0, kWithin));
        }
      }
    }
  }
  void reached(const std::string& step) {
    if (step != step_ || !awaiting_) return;
    awaiting_ = false;
    deliverKept();
  }
  void watchOrders(const Json& body) {
    const Json* orders = awaiting_ ? field(body, "orders") : nullptr;
    if (!orders) return;
    for (const auto& order : *orders) reached(order.at("verb").get<std::string>());
  }

  // aborts FIRST-ID COUNT every S after S: jobs of a stream are cancelled, one after the other.
  void aborts(const std::vector<std::string>& words) {
    constexpr std::int64_t kSpread = 1500;
    int number = std::stoi(words.at(1).substr(2));
    for (int i = 0; i < std::stoi(words.at(2)); ++i) {
      char id[16];
      std::snprintf(id, sizeof id, "j-%06d", number + i);
      std::int64_t at = i * millis(words.at(4)) + millis(words.at(6)) + draw(0, kSpread);
      world_->clock.in(at, [this, id = std::string(id)] { world_->abort(id); });
    }
  }

  // crowd N: so many jobs are on record that are over long since.
  void crowd(int n) {
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

  // What of the records does not agree with the region; empty: nothing.
  std::string unsound() {
    World& w = *world_;
    std::map<std::string, int> onRecord;
    for (const auto& key : w.state.keysBelow(keys::kRental)) {
      auto record =
          rentalRecordFrom(RentalId{key.substr(keys::kRental.size())}, *w.state.valueOf(key));
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

  void listen() {
    if (std::exchange(listening_, true)) return;
    World& w = *world_;
    w.network.fateOf = [this](const std::string& from, const Request& q) {
      return fateOf(from, q);
    };
    w.network.onSent = [this](const std::string& from, const Request& q) {
      keep(from, q);
      watchRentals(q);
      if (!awaiting_) return;
      if (q.path == "/hosts/release") reached("release");
      if (q.path == "/commands") watchOrders(*decodeBody(q.body));
    };
    w.network.onAnswered = [this](const Request& q, const Response& r) {
      if (!awaiting_ || q.path != "/agent/beat" || r.status != 200) return;
      if (auto body = decodeBody(r.body)) watchOrders(*body);
    };
    w.state.onCommit = [this, &w, before = w.state.onCommit](const Json& writes) {
      before(writes);
      for (const auto& write : writes) {
        if (write.value("set", std::string()) != keys::kLeader) continue;
        awaiting_ = true;
        reached("token");
        w.clock.in(300, [this] { reached("round"); });
      }
    };
  }
  // A rental's name stands for one rental, whoever asks.
  void watchRentals(const Request& q) {
    if (q.path != "/hosts" || q.method != "POST") return;
    Json wanted = *decodeBody(q.body);
    auto [it, isNew] = rentals_.emplace(wanted.at("hire").get<std::string>(), wanted);
    if (!isNew && it->second != wanted) world_->breaks("rental_twice", wanted.dump());
  }

  Trouble writes_, commands_, reports_;
  std::string step_;
  bool awaiting_ = false, listening_ = false;
  std::int64_t nextEnd_ = 0;
  int notices_ = 0;
  std::map<std::string, std::deque<Request>> kept_;
  std::map<std::string, Json> rentals_;
};

}  // namespace kestrelhoist::sim
