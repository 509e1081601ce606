#include "placement/planning_loop.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "placement/plan_input_builder.hpp"

namespace kestrelhoist {
namespace {
// The pause between a plan's end and the next plan is a multiple of the last plan's running time,
// and at least kMinPause.
constexpr Duration kMinPause{50};
constexpr int kPausePerPlanTime = 4;
}  // namespace

// Returns the longest boot time of all machine types, plus a margin of 50%.
Duration PlanningLoop::maxBootTime() const {
  Duration longest{0};
  for (const auto& type : context_.catalogue->types) {
    longest = std::max(longest, type.boot * 3 / 2);
  }
  return longest;
}

bool PlanningLoop::start() {
  Instant now = context_.runtime.now();
  if (!context_.planInvalidated || !mayPlace() || now < nextPlan_) return false;
  context_.planInvalidated = false;
  PlanInput input = PlanInputBuilder(context_, fleet_, outcomes_, pendingReasons_).build();
  if (input.jobs.empty()) {
    unplaced_.clear();
    pendingReasons_.end(now);
    return false;
  }
  planner_.run(std::move(input),
               context_.whileLeading([this, now](const PlanInput& planned, const Plan& plan) {
                 // Requests of workers and users take precedence, so planning gets only a bounded
                 // share of the time.
                 Instant end = context_.runtime.now();
                 nextPlan_ = end + std::max(kMinPause, kPausePerPlanTime * (end - now));
                 context_.runtime.after(
                     nextPlan_ - end, context_.whileLeading([this] { context_.scheduleCycle(); }));
                 applyPlan(planned, plan);
               }));
  return true;
}

void PlanningLoop::applyPlan(const PlanInput& input, const Plan& plan) {
  unplaced_.clear();
  for (std::size_t j = 0; j < input.jobs.size(); ++j) {
    noteDemand(input.jobs[j], plan, j);
    notePendingReasons(*input.jobs[j].spec, plan, j);
  }
  pendingReasons_.end(context_.runtime.now());
  requestStops(plan);
  if (plan.hasLaterTasks) context_.planInvalidated = true;
  context_.finishStep(plan.placements.empty() ? std::nullopt : tasks_.commit(&input, &plan));
}

void PlanningLoop::noteDemand(const PlanJob& job, const Plan& plan, std::size_t index) {
  std::uint32_t demand = plan.unplaced[index];
  // The withheld tasks of a job that yields always count as demand: if machines are available, they
  // are rented for these tasks in addition to those for jobs with precedence. The withheld tasks of
  // other jobs wait for a calendar period, and count as demand only shortly before it closes.
  bool yields = job.priorityAdjustment < 0;
  if (plan.withheld[index] > 0 &&
      (yields || context_.effectivePolicy->periodClosesWithin(maxBootTime()))) {
    demand += plan.withheld[index];
  }
  if (demand > 0) unplaced_[job.spec->id] = demand;
}

void PlanningLoop::notePendingReasons(const JobSpec& spec, const Plan& plan, std::size_t index) {
  pendingReasons_.note(spec.id, PendingReason::preemption, plan.awaitingStops[index]);
  pendingReasons_.note(spec.id, PendingReason::writeQueue, plan.laterTasks[index]);
  pendingReasons_.note(spec.id, PendingReason::policy, plan.withheld[index]);
  if (plan.unplaced[index] == 0) return;
  PendingReason reason = PendingReason::resources;
  if (plan.overLimit[index]) {
    reason = PendingReason::quota;
  } else if (resourcesReason) {
    reason = resourcesReason(spec);
  }
  pendingReasons_.note(spec.id, reason, plan.unplaced[index]);
}

void PlanningLoop::requestStops(const Plan& plan) {
  std::set<MachineId> machines;
  for (const auto& stop : plan.stops) {
    logInfo("task preempted", "task", stop.id.str(), "machine", stop.machine);
    fleet_.requestStop(stop.id, stop.machine, stop.grace);
    machines.insert(stop.machine);
  }
  for (const auto& machine : machines) dispatcher_.sendCommands(machine);
}

}  // namespace kestrelhoist
