#include "placement/planner.hpp"

#include <gtest/gtest.h>

namespace kestrelhoist {
namespace {

std::shared_ptr<const JobSpec> spec(const char* id, JobKind kind, Priority priority,
                                    std::uint32_t tasks) {
  JobSpec s;
  s.id = JobId{id};
  s.team = TeamId{"t"};
  s.kind = kind;
  s.priority = priority;
  s.tasks = tasks;
  s.perTask = {1, 1, 1};
  s.image = ImageId{"img"};
  s.imageGb = 10;
  return std::make_shared<const JobSpec>(std::move(s));
}

PlanMachine machine(const char* id, std::uint32_t zone, bool hasImage) {
  PlanMachine m;
  m.id = MachineId{id};
  m.type = TypeId{"box"};
  m.zone = zone;
  m.usable = true;
  m.capacity = m.free = m.freeAfterStops = {2, 2, 2};
  m.fetchGbPerS = 0.25;
  if (hasImage) m.images = {{0, 10, true}};
  return m;
}

PlanInput inputWith(std::shared_ptr<const JobSpec> s) {
  PlanInput in;
  in.teams = {Team{}};
  in.teamKnown = {true};
  in.used.resize(1);
  in.zones = 3;
  in.maxJobs = 8;
  PlanJob j;
  j.waiting = s->tasks;
  j.perZone.resize(in.zones);
  j.spec = std::move(s);
  in.jobs.push_back(std::move(j));
  return in;
}

// Fills the machine with two running tasks of the job.
void fill(PlanMachine& m, const std::shared_ptr<const JobSpec>& job) {
  for (std::uint32_t i = 0; i < 2; ++i) {
    m.stoppable.push_back({{{job->id, i}, Attempt{1}}, job, 0, Duration{2000}});
    m.free -= job->perTask;
    m.freeAfterStops -= job->perTask;
  }
}

// Guards against a replica that waits although another machine is free. In every plan, resources on
// a machine with the cached image, beside another replica of its service, were set aside for the
// replica but not used, so it waited for 23 s.
TEST(Planner, AReplicaIsPlacedColdRatherThanLeftWaitingForRoomBesideItsSibling) {
  auto in = inputWith(spec("j-000001", JobKind::service, Priority::production, 2));
  in.machines.push_back(machine("warm", 0, true));
  in.machines.push_back(machine("cold", 1, false));
  auto plan = makePlan(in);
  EXPECT_EQ(plan.placements.size(), 2U);
  EXPECT_EQ(plan.unplaced[0], 0U);
}

// Guards against placing a replica on a machine whose lease is about to expire. The last two
// answers to the worker had been lost, and 2 s after the placement the lease expired and the
// replica was killed (limits-fall-faults with cache 1, seed 563).
TEST(Planner, AReplicaGoesToAMachineWhoseLeaseIsAtRiskOnlyIfNoOtherHasRoom) {
  auto in = inputWith(spec("j-000001", JobKind::service, Priority::production, 3));
  in.machines.push_back(machine("at-risk", 0, true));
  in.machines.push_back(machine("safe", 0, true));
  in.machines[0].leaseAtRisk = true;
  auto plan = makePlan(in);
  ASSERT_EQ(plan.placements.size(), 3U);
  EXPECT_EQ(plan.placements[0].machine, 1U);
  EXPECT_EQ(plan.placements[1].machine, 1U);
  EXPECT_EQ(plan.placements[2].machine, 0U);
}

TEST(Planner, LessImportantWorkGoesFromAMachineThatHasTheImage) {
  auto in = inputWith(spec("j-000001", JobKind::service, Priority::production, 1));
  in.machines.push_back(machine("warm", 0, true));
  in.machines.push_back(machine("cold", 1, false));
  auto low = spec("j-000002", JobKind::array, Priority::low, 2);
  fill(in.machines[0], low);
  auto plan = makePlan(in);
  EXPECT_TRUE(plan.placements.empty());
  ASSERT_EQ(plan.stops.size(), 1U);
  EXPECT_EQ(plan.stops[0].machine, MachineId{"warm"});
  EXPECT_EQ(plan.unplaced[0], 0U);
}

// Guards against a job that waits for ever although each machine has room for it: a machine without
// free CPUs was never tried, not even for tasks that need none.
TEST(Planner, TasksThatNeedNoCpuArePlacedWhereNoneIsFree) {
  for (const Resources& needed : {Resources{0, 0, 0}, Resources{0, 1, 1}}) {
    auto s = std::make_shared<JobSpec>(*spec("j-000001", JobKind::array, Priority::low, 2));
    s->perTask = needed;
    auto in = inputWith(s);
    in.machines.push_back(machine("only", 0, true));
    in.machines[0].free.cpus = in.machines[0].freeAfterStops.cpus = 0;
    auto plan = makePlan(in);
    EXPECT_EQ(plan.placements.size(), 2U) << needed.gpus << " GPUs";
    EXPECT_EQ(plan.unplaced[0], 0U) << needed.gpus << " GPUs";
  }
}

TEST(Planner, EqualsAreNotStopped) {
  auto in = inputWith(spec("j-000001", JobKind::service, Priority::low, 1));
  in.machines.push_back(machine("only", 0, true));
  auto low = spec("j-000002", JobKind::array, Priority::low, 2);
  fill(in.machines[0], low);
  auto plan = makePlan(in);
  EXPECT_TRUE(plan.placements.empty());
  EXPECT_TRUE(plan.stops.empty());
  EXPECT_EQ(plan.unplaced[0], 1U);
}

TEST(Planner, AGangThatDoesNotFitWholeIsNotPlaced) {
  auto in = inputWith(spec("j-000001", JobKind::gang, Priority::low, 5));
  in.machines.push_back(machine("one", 0, true));
  in.machines.push_back(machine("two", 0, true));
  EXPECT_TRUE(makePlan(in).placements.empty());
}

// Guards against renting too many machines. A plan places tasks of at most maxJobs jobs, but the
// tasks of the other jobs must still take free resources in the plan, so that only tasks that find
// none count as demand for machines.
TEST(Planner, JobsBeyondTheTurnCountTheRoomThatIsThere) {
  auto in = inputWith(spec("j-000001", JobKind::array, Priority::low, 2));
  auto second = inputWith(spec("j-000002", JobKind::array, Priority::low, 3));
  in.jobs.push_back(second.jobs[0]);
  in.maxJobs = 1;
  in.machines.push_back(machine("one", 0, true));
  in.machines.push_back(machine("two", 1, false));
  auto plan = makePlan(in);
  EXPECT_EQ(plan.placements.size(), 2U);
  EXPECT_TRUE(plan.hasLaterTasks);
  EXPECT_EQ(plan.unplaced[0], 0U);
  EXPECT_EQ(plan.unplaced[1], 1U);
}

// Guards against uneven spreading of a service over zones, as a zone that is cut off should take as
// few replicas as possible.
TEST(Planner, ReplicasThatAreSpreadGoEvenlyOverTheZones) {
  auto s = std::make_shared<JobSpec>(*spec("j-000001", JobKind::service, Priority::production, 6));
  s->spread = true;
  auto in = inputWith(s);
  for (std::uint32_t i = 0; i < 12; ++i) {
    in.machines.push_back(machine(("m" + std::to_string(i)).c_str(), i / 4, true));
  }
  auto plan = makePlan(in);
  ASSERT_EQ(plan.placements.size(), 6U);
  std::vector<int> perZone(3);
  for (const auto& p : plan.placements) ++perZone[in.machines[p.machine].zone];
  EXPECT_EQ(perZone, (std::vector<int>{2, 2, 2}));
}

}  // namespace
}  // namespace kestrelhoist
