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
  void commit(Pending pending);
  void send(std::shared_ptr<Pending> pending);
  Transaction begin() const;
  void addMachine(Transaction& t, const MachineId& id, const MachineRecord* record) const;
  std::optional<Pending> nextFacts();
  std::optional<Pending> nextRelease();
  std::optional<Pending> nextHire();
  std::optional<Pending> nextOther();
  std::optional<Pending> placementsOf(const PlanInput& input, const Plan& plan);

  // --- plans ---
  bool mayPlace() const;
  PlanInput picture();
  void onPlan(const PlanInput& input, const Plan& plan);
  void push(const MachineId& id);

  // --- machines (leader_machines.cpp) ---
  void readTypes();
  void readList();
  void startReleases();
  void startHires();
  void onHired(const HireRecord& hire, const HireResult& result);
  void decideRenting(bool turn);
  std::map<TypeId, TypeDemand> demandNow() const;
  void turnWindow();
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
  bool settled_ = false;  // one report round has passed
  std::optional<Catalogue> catalogue_;
  bool typesAsked_ = false;

  std::set<AttemptId> told_;  // stops of cancelled jobs that were sent directly once
  struct Pause {
    int failures{};
    Instant until{};
  };
  std::map<JobId, Pause> pauses_;  // jobs whose tasks failed: growing pauses

  std::map<JobId, std::uint32_t> unplaced_;  // by the last plan
  std::set<MachineId> releasing_;            // asked, no answer yet
  std::set<MachineId> releaseConfirmed_;     // 200, to be committed

  std::deque<HireRecord> hireWanted_;  // to be written down before it is asked
  std::set<HireId> hireAsked_;
  std::map<HireId, HireResult> hireResults_;  // to be committed
  std::map<Offer, Instant> refused_;          // when last
  std::uint64_t hireCount_ = 0;

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
