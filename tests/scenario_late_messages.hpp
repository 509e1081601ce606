/// Declares the steps that delay, lose or repeat messages between controllers, state service and
/// workers, and the check of the records at the end of such a scenario.
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

// Returns the kind of writer of a transaction, derived from its keys and conditions. The kinds are
// submission, abort, claim, placement (also ends of tasks), end (of a job), rental (also releases),
// windows (the forecast), policy, ledger (charges), flow, member and other.
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

/// Plays late, lost and repeated messages.
class ScenarioLateMessages : public ScenarioFaultCombinations {
 protected:
  /// Plays the line and returns true if this class implements its verb.
  bool lateMessagesStep(const std::vector<std::string>& words);

  // expect books: checks that the records become consistent within a minute. Each rented machine
  // must be in exactly one rental record, each rental must have its answer, no release may be
  // unfinished, and the forecast record must be at most 30 s old, so that the present leader wrote
  // it.
  void expectBooks() {
    constexpr int kSteps = 120;
    std::string why = recordInconsistency();
    for (int i = 0; i < kSteps && !why.empty(); ++i) {
      world_->runFor(0.5);
      why = recordInconsistency();
    }
    EXPECT_EQ(why, "");
  }

 private:
  struct MessageFault {
    double share = 0;
    std::int64_t until = 0;
    std::string form;    // This is `late` or `at_once`.
    std::string writer;  // This is a kind from writerOf() or `any`.
    std::string ends =
        "stays";  // The author stays, is `deposed`, or restarts after so many seconds.
    std::int64_t noticeMs = 0;  // A spot machine with a launch under way gets this much notice.
  };

  std::int64_t draw(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(world_->random);
  }
  bool drawsFault(const MessageFault& t) {
    return world_->clock.now() < t.until && std::bernoulli_distribution(t.share)(world_->random);
  }
  static std::int64_t millis(const std::string& seconds) {
    return static_cast<std::int64_t>(std::stod(seconds) * 1000);
  }
  // Parses the words of a line. After the second word come "key value" pairs; `late`, `at_once` and
  // `for_next` have no value.
  MessageFault messageFaultFrom(const std::vector<std::string>& words);

  // late_writes SHARE SECONDS at_once|late [of WRITER] [ends stays|deposed|SECONDS]: loses the
  // answers to this share of a writer's transactions. The state service applies them at once, or 2
  // to 12 s later and thus after newer ones. With `ends` the sender is deposed or crashes right
  // after sending.
  void lateWrites(const std::vector<std::string>& words) {
    if (words[3] == "none") return installHooks();
    writes_ = messageFaultFrom(words);
    installHooks();
  }
  // late_commands SHARE SECONDS [ends stays|deposed|SECONDS] [notices SECONDS]: delivers this share
  // of direct commands 2 to 16 s late and loses the answers. The worker executes a command only if
  // the fencing token and the worker session still match. With `notices`, some spot machines get
  // their termination notice while a launch is under way to them.
  void lateCommands(const std::vector<std::string>& words) {
    commands_ = messageFaultFrom(words);
    installHooks();
  }
  Network::RequestFault requestFault(const std::string& from, const Request& request);
  void noticeAtLaunch(const Request& request);
  // Deposes or crashes the sender once its message is under way, at most once every 5 s, so that a
  // controller can lead in between.
  void failSender(const MessageFault& t, const std::string& author);

  // late_reports SHARE SECONDS [for_next STEP]: delivers a copy of this share of reports 1 to 60 s
  // later. With `for_next` the copies are kept and delivered to every controller when the next
  // leader begins (`token`), in its report round (`round`), or after its first `launch`, `stop`,
  // `clear` or `release`. The oldest and newest reports of each machine are kept, so that some
  // belong to earlier sessions and attempts.
  void lateReports(const std::vector<std::string>& words);
  void keepReport(const std::string& from, const Request& request) {
    if (request.path != "/agent/beat" || !drawsFault(reports_)) return;
    constexpr std::size_t kKept = 24, kOldest = 8;
    auto& kept = keptReports_[from];
    kept.push_back(request);
    if (kept.size() > kKept) kept.erase(kept.begin() + kOldest);
  }
  // Delivers the kept reports at several drawn moments within 600 ms, because the moment at which
  // the new leader evaluates reports is not known exactly.
  void deliverKept();
  void onLeaderStep(const std::string& step) {
    if (step != deliveryStep_ || !awaitingStep_) return;
    awaitingStep_ = false;
    deliverKept();
  }
  void watchCommands(const Json& body) {
    const Json* orders = awaitingStep_ ? field(body, "orders") : nullptr;
    if (!orders) return;
    for (const auto& order : *orders) onLeaderStep(order.at("verb").get<std::string>());
  }

  // aborts FIRST-ID COUNT every S after S: cancels the jobs of a stream one after the other.
  void cancelStream(const std::vector<std::string>& words) {
    constexpr std::int64_t kSpread = 1500;
    int number = std::stoi(words.at(1).substr(2));
    for (int i = 0; i < std::stoi(words.at(2)); ++i) {
      char id[16];
      std::snprintf(id, sizeof id, "j-%06d", number + i);
      std::int64_t at = i * millis(words.at(4)) + millis(words.at(6)) + draw(0, kSpread);
      world_->clock.in(at, [this, id = std::string(id)] { world_->abort(id); });
    }
  }

  // crowd N: stores the records of N jobs that ended long ago.
  void storeEndedJobs(int n);

  // Returns the first inconsistency between the records and the rented machines, or an empty text.
  std::string recordInconsistency();

  void installHooks();
  // Checks that two rental calls with the same rental id ask for the same machines, whichever
  // controller sends them.
  void watchRentals(const Request& q) {
    if (q.path != "/hosts" || q.method != "POST") return;
    Json wanted = *decodeBody(q.body);
    auto [it, isNew] = rentals_.emplace(wanted.at("hire").get<std::string>(), wanted);
    if (!isNew && it->second != wanted) world_->recordViolation("rental_twice", wanted.dump());
  }

  MessageFault writes_, commands_, reports_;
  int readsToLose_ = 0;  // The leader's next reads of the change feed lose their answers.
  std::string deliveryStep_;
  bool awaitingStep_ = false, hooksInstalled_ = false;
  std::int64_t nextSenderFailureAt_ = 0;
  int noticeCount_ = 0;
  std::map<std::string, std::deque<Request>> keptReports_;
  std::map<std::string, Json> rentals_;
};

}  // namespace kestrelhoist::sim
