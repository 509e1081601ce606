// One leadership: everything that only the leader does. It lives from the election to the
// step-down; each of its writes conditions on the leader key's stamp, its token.
#pragma once

#include <deque>
#include <random>

#include "cloud/client.hpp"
#include "cloud/renting.hpp"
#include "config/operator.hpp"
#include "config/platform.hpp"
#include "fleet/fleet.hpp"
#include "placement/runner.hpp"
#include "store/feed.hpp"

namespace kestrelhoist {

class Leader {
 public:
  struct Services {
    Runtime& runtime;
    StoreClient& store;
    Feed& feed;
    Replica& replica;
    CloudClient& cloud;
    HttpClient& http;
    PlanRunner& planner;
    const Platform& platform;
    const OperatorSettings& settings;
    // Whether a controller in that zone may be answering its workers unseen.
    std::function<bool(const ZoneId&)> standIn;
  };
  Leader(Services services, Token token);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Answers a worker's report. `sure`: the state service was reached a moment ago.
  Response onReport(const Report& report, bool sure);
  void onRecordsChanged();
  Token token() const { return token_; }
  Fleet& fleet() { return fleet_; }

 private:
  // Ignores callbacks that outlive this leadership.
  template <class F>
  auto guard(F f) {
    return [weak = std::weak_ptr<int>(alive_), f = std::move(f)](auto&&... args) mutable {
      if (!weak.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  void tick();
  void kick();
  void cycle();

  // --- commits (leader_commits.cpp) ---
  struct Pending {
    Transaction transaction;
    std::function<void()> applied;
    std::string what;
  };
  // What has been proven of a task that is still on record.
  struct Fact {
    Attempt attempt;
    Gone gone{};
  };
  // Facts of one stretch of a job's tasks, to be committed together.
  struct DueFacts {
    Instant since{};
    std::map<std::uint32_t, Fact> facts;  // by the task's number
  };
  using StretchKey = std::pair<JobId, std::uint32_t>;
  class TaskWrites;

  void commit(Pending pending);
  void send(std::shared_ptr<Pending> pending);
  Transaction begin() const;
  // Takes in what a machine's reports have proven.
  void noteFacts(Machine& m);
  void noteFact(const TaskOn& task, Gone gone);
  void forgetFact(const AttemptId& id, const JobState& job);
  const Fact* factOf(const AttemptId& id) const;
  bool factsUrgent(const StretchKey& key, const DueFacts& due) const;
  std::optional<Pending> nextTasks(const PlanInput* input, const Plan* plan);
  std::optional<Pending> nextReleases();
  std::optional<Pending> nextRentals();
  std::optional<Pending> nextOther();

  // --- plans ---
  bool mayPlace() const;
  PlanInput picture();
  bool startPlan();
  void onPlan(const PlanInput& input, const Plan& plan);
  void push(const MachineId& id);
  void ask(Machine& m);
  void askAll();
  void askOverdue();
  bool roundOver() const;

  // --- machines (leader_machines.cpp) ---
  void readTypes();
  void readList();
  void startReleases();
  void startHires();
  void onHired(const RentalRecord& rental, const HireResult& result);
  void decideRenting(bool turn);
  std::map<TypeId, TypeDemand> demandNow();
  void turnWindow();
  void emptyMachines(const TypeId& type, std::size_t surplus);
  void loadForecasts();
  Json forecastsToJson() const;

  Services s_;
  Token token_;
  Instant since_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  Fleet fleet_;
  RateBudget writes_;
  Revision highest_;   // newest revision known: of the feed or of our own commits
  bool busy_ = false;  // a commit or a plan is under way
  bool kicked_ = false;
  bool planDirty_ = true;
  Instant nextPlan_{};    // plans take a bounded share of the time
  std::size_t turn_ = 0;  // which kind of work comes first in the next cycle
  std::int64_t ticks_ = 0;
  bool settled_ = false;   // one report round has passed
  bool askedAll_ = false;  // in place of waiting for the round
  std::deque<MachineId> toAsk_;
  std::set<MachineId> asking_;  // no answer yet
  std::optional<Catalogue> catalogue_;
  bool typesAsked_ = false;

  std::set<AttemptId> told_;  // stops of cancelled jobs that were sent directly once
  struct Pause {
    int failures{};
    Instant until{};
  };
  std::map<JobId, Pause> pauses_;  // jobs whose tasks failed: growing pauses

  std::map<StretchKey, DueFacts> due_;
  std::map<JobId, std::uint32_t> dueDone_;   // tasks found done, not committed yet
  std::map<JobId, std::uint32_t> dueAgain_;  // tasks found gone that must run again

  std::map<JobId, std::uint32_t> unplaced_;  // by the last plan
  std::set<MachineId> emptying_;             // get no more work, to be given back
  std::set<MachineId> releasing_;            // asked, no answer yet
  std::set<MachineId> releaseConfirmed_;     // 200, still on record

  std::map<Offer, std::uint32_t> wanted_;  // machines to be rented, by the last decision
  std::set<RentalId> rentalsAsked_;
  std::map<RentalId, HireResult> rentalResults_;  // to be committed
  std::map<Offer, Instant> refused_;              // when last
  std::uint64_t rentalCount_ = 0;

  struct Series {
    Forecast firm, flexible;
  };
  std::map<TypeId, Series> forecasts_;
  std::mt19937_64 random_;
  Instant windowEnds_{};
  Instant nextRentCheck_{};
  Instant nextList_{};
  Instant firstList_{};
  bool listing_ = false;
  bool forecastDirty_ = false;
  bool forecastsLoaded_ = false;
};

}  // namespace kestrelhoist
