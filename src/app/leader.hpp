// One leadership. It lets its duties take turns and commits one transaction at a time; what they
// decide is theirs. It lives from the election to the step-down.
#pragma once

#include "cloud/listing_duty.hpp"
#include "cloud/release_duty.hpp"
#include "cloud/window_duty.hpp"
#include "flows/duty.hpp"
#include "policy/duty.hpp"

namespace kestrelhoist {

class Leader {
 public:
  // `standIn`: whether a controller in that zone may be answering its workers unseen.
  Leader(const Leadership& leadership, PlanRunner& planner, PolicyCopy& policy,
         std::function<bool(const ZoneId&)> standIn);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Answers a worker's report. `sure`: the state service was reached a moment ago.
  Response onReport(const Report& report, bool sure);
  void onRecordsChanged();
  // Why a job's tasks wait, who leads and since when, in seconds: for operators.
  Json why(const JobId& job);
  FencingToken token() const { return leadership_.token; }
  Fleet& fleet() { return fleet_; }

 private:
  void tick();
  void kick();
  void cycle();
  bool deposed() const;
  void changed(bool byOthers);
  void commit(Commit commit);
  void send(std::shared_ptr<Commit> commit);

  Leadership leadership_;
  std::function<bool(const ZoneId&)> standIn_;
  Fleet fleet_;
  Dispatch dispatch_;
  TaskFacts facts_;
  DemandForecasts forecasts_;
  ListingDuty listing_;
  TaskDuty tasks_;
  PlanDuty plans_;
  ReleaseDuty releases_;
  RentalDuty rentals_;
  WindowDuty windows_;
  FlowDuty flows_;
  PolicyDuty policy_;
  std::vector<Duty*> turns_;  // in the order in which they take turns
  RateBudget writes_;
  bool busy_ = false;  // a commit or a held turn is under way
  bool kicked_ = false;
  std::size_t turn_ = 0;  // which duty comes first in the next cycle
  std::int64_t ticks_ = 0;
};

}  // namespace kestrelhoist
