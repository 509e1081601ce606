/// Late, lost and repeated messages between controllers, state service and workers: which of them a
/// scenario takes out of the world's traffic, and what it looks for in the records at the end.
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
  /// Plays the line if its verb is one of this file; false if not.
  bool lateMessagesStep(const std::vector<std::string>& words);

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
  Trouble troubleFrom(const std::vector<std::string>& words);

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
  Network::RequestFault requestFault(const std::string& from, const Request& request);
  void noticeAtLaunch(const Request& request);
  // What becomes of the author, once the message is under way; seldom enough that somebody leads
  // in between.
  void befalls(const Trouble& t, const std::string& author);

  // late_reports SHARE SECONDS [for_next STEP]: of that share of reports a copy comes 1 to 60 s
  // later; or the copies are kept, and come to every controller when the next leader begins
  // (`token`), in its report round (`round`), or after its first `launch`, `stop`, `clear` or
  // `release`: the newest and the oldest of a machine, of earlier sessions and attempts too.
  void lateReports(const std::vector<std::string>& words);
  void keep(const std::string& from, const Request& request) {
    if (request.path != "/agent/beat" || !falls(reports_)) return;
    constexpr std::size_t kKept = 24, kOldest = 8;
    auto& kept = kept_[from];
    kept.push_back(request);
    if (kept.size() > kKept) kept.erase(kept.begin() + kOldest);
  }
  // Several moments, since nobody knows when exactly the new leader's part begins.
  void deliverKept();
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
  void crowd(int n);

  // What of the records does not agree with the region; empty: nothing.
  std::string unsound();

  void listen();
  // A rental's name stands for one rental, whoever asks.
  void watchRentals(const Request& q) {
    if (q.path != "/hosts" || q.method != "POST") return;
    Json wanted = *decodeBody(q.body);
    auto [it, isNew] = rentals_.emplace(wanted.at("hire").get<std::string>(), wanted);
    if (!isNew && it->second != wanted) world_->recordViolation("rental_twice", wanted.dump());
  }

  Trouble writes_, commands_, reports_;
  int readsToLose_ = 0;  // the answers to that many of the leader's next reads of changes
  std::string step_;
  bool awaiting_ = false, listening_ = false;
  std::int64_t nextEnd_ = 0;
  int notices_ = 0;
  std::map<std::string, std::deque<Request>> kept_;
  std::map<std::string, Json> rentals_;
};

}  // namespace kestrelhoist::sim
