#include "placement/reservations.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <vector>

#include "placement/job_placement.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {
namespace {

constexpr std::int64_t kNowMs = 600000;
constexpr std::int64_t kLongAgoMs = 0;
constexpr std::int64_t kLatelyMs = kNowMs - 1000;

PlanJob waitingJob(const char* id, std::uint32_t tasks, const Resources& perTask,
                   JobKind kind = JobKind::array) {
  JobSpec spec;
  spec.kind = kind;
  spec.id = JobId{id};
  spec.team = TeamId{"t"};
  spec.tasks = tasks;
  spec.perTask = perTask;
  spec.image = ImageId{"img"};
  PlanJob job;
  job.spec = std::make_shared<const JobSpec>(std::move(spec));
  job.waiting = tasks;
  job.remainingS = tasks;
  job.perZone.resize(1);
  return job;
}

PlanInput emptyInput() {
  PlanInput input;
  input.teams = {Team{}};
  input.teamKnown = {true};
  input.used.resize(1);
  input.zones = 1;
  input.maxJobs = 8;
  input.nowMs = kNowMs;
  return input;
}

// Returns a machine whose resources are all used by `tasks` tasks that end one after the other.
PlanMachine fullMachine(std::size_t number, const Resources& capacity, int tasks) {
  PlanMachine machine;
  machine.id = MachineId{"m" + std::to_string(number)};
  machine.usable = true;
  machine.capacity = capacity;
  for (int i = 0; i < tasks; ++i) {
    machine.expectedEnds.push_back({static_cast<double>(number % 7 + i), capacity * (1.0 / tasks)});
  }
  return machine;
}

// Lets the process use only this much more memory until the end of the scope; a larger allocation
// throws std::bad_alloc. Without effect under sanitizers, which reserve address space themselves.
class MemoryBound {
 public:
  explicit MemoryBound(rlim_t bytes) {
    getrlimit(RLIMIT_AS, &before_);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    rlim_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages;
    rlimit bound = before_;
    bound.rlim_cur = pages * static_cast<rlim_t>(sysconf(_SC_PAGESIZE)) + bytes;
    setrlimit(RLIMIT_AS, &bound);
#else
    static_cast<void>(bytes);
#endif
  }
  ~MemoryBound() { setrlimit(RLIMIT_AS, &before_); }
  MemoryBound(const MemoryBound&) = delete;
  MemoryBound& operator=(const MemoryBound&) = delete;

 private:
  rlimit before_{};
};

constexpr rlim_t kPlanBytes = rlim_t{60} << 20;
constexpr double kAmounts[] = {1.0, 0.01, 1e-4, 1e-9, 1e-300, 0.0};

// Returns 4,000 full machines and a job of 100,000 tasks that newer work overtakes.
PlanInput tinyTasksBesideFullMachines(double amount) {
  PlanInput input = emptyInput();
  for (std::size_t m = 0; m < 4000; ++m) {
    input.machines.push_back(fullMachine(m, {48, 6, 174}, 6));
  }
  input.jobs.push_back(waitingJob("j-000001", 100000, {amount, 0, amount}));
  input.jobs.push_back(waitingJob("j-000002", 1, {1, 0, 1}));
  input.jobs[0].acceptedAtMs = kLongAgoMs;
  input.jobs[1].acceptedAtMs = kLatelyMs;
  return input;
}

// Guards against a leader that is ended for its memory because the tasks of a job that has waited
// long are tiny: their slots were listed one by one, as often as a task fits.
TEST(Reservations, TakeLittleMemoryHoweverSmallTheTasks) {
  for (double amount : kAmounts) {
    PlanInput input = tinyTasksBesideFullMachines(amount);
    PlanState state(input);
    Reservations reservations;
    JobPlacement placement(input, state, reservations, input.jobs[0], TaskSpread{{0}, {}});
    MemoryBound bound(kPlanBytes);
    ASSERT_NO_THROW(reservations.reserve(input, state, placement, 100000)) << amount;
    EXPECT_FALSE(reservations.empty()) << amount;
  }
}

// Guards against the same in a whole plan.
TEST(Reservations, APlanTakesLittleMemoryHoweverSmallTheTasks) {
  for (double amount : kAmounts) {
    PlanInput input = tinyTasksBesideFullMachines(amount);
    MemoryBound bound(kPlanBytes);
    Plan plan;
    ASSERT_NO_THROW(plan = makePlan(input)) << amount;
    EXPECT_EQ(plan.placements.size() + plan.unplaced[0] + plan.unplaced[1], 100001U) << amount;
  }
}

// Resources in steps that a double holds exactly, so that sums have no rounding errors.
Resources drawnResources(int least, int most) {
  constexpr double kStep = 1.0 / 64;
  auto amount = [&] { return *rc::gen::inRange(least, most) * kStep; };
  return {amount(), amount(), amount()};
}

RC_GTEST_PROP(ReservationsProperty, ResourcesAreCountedAsOneByOne, ()) {
  Resources task = drawnResources(0, 20);
  Resources free = drawnResources(-10, 400);
  auto most = *rc::gen::inRange<std::uint32_t>(0, 60);
  std::uint32_t oneByOne = 0;
  for (Resources left = free; oneByOne < most && task.fitsIn(left); left -= task) ++oneByOne;
  RC_ASSERT(task.countIn(free, most) == oneByOne);
}

// Lists the slots of each task one by one and returns by machine when it is needed. A gang needs
// all of them when the last one is free.
std::map<std::size_t, double> neededByEachTask(const PlanInput& input, std::size_t tasks) {
  std::vector<std::pair<double, std::size_t>> slots;
  for (std::size_t m = 0; m < input.machines.size(); ++m) {
    Resources free = input.machines[m].free;
    auto ends = input.machines[m].expectedEnds;
    std::stable_sort(ends.begin(), ends.end(),
                     [](auto& a, auto& b) { return a.inSeconds < b.inSeconds; });
    ends.insert(ends.begin(), ExpectedTaskEnd{});
    for (const auto& end : ends) {
      free += end.capacity;
      for (; input.jobs[0].spec->perTask.fitsIn(free); free -= input.jobs[0].spec->perTask) {
        slots.emplace_back(end.inSeconds, m);
      }
    }
  }
  std::sort(slots.begin(), slots.end());
  const bool gang = input.jobs[0].spec->kind == JobKind::gang;
  if (gang && slots.size() < tasks) return {};
  slots.resize(std::min(slots.size(), tasks));
  std::map<std::size_t, double> needed;
  for (const auto& [inSeconds, machine] : slots) {
    needed.try_emplace(machine, gang ? slots.back().first : inSeconds);
  }
  return needed;
}

RC_GTEST_PROP(ReservationsProperty, TheMachinesAreThoseOfTheEarliestTasks, ()) {
  PlanInput input = emptyInput();
  const auto tasks = *rc::gen::inRange<std::uint32_t>(1, 40);
  const auto kind = *rc::gen::element(JobKind::array, JobKind::gang);
  input.jobs.push_back(waitingJob("j-000001", tasks, drawnResources(1, 100), kind));
  const auto machines = *rc::gen::inRange<std::size_t>(1, 8);
  for (std::size_t m = 0; m < machines; ++m) {
    PlanMachine machine = fullMachine(m, {8, 8, 8}, *rc::gen::element(1, 2, 4, 8));
    machine.free = drawnResources(0, 100);
    input.machines.push_back(std::move(machine));
  }
  PlanState state(input);
  Reservations reservations;
  JobPlacement placement(input, state, reservations, input.jobs[0], TaskSpread{{0}, {}});
  reservations.reserve(input, state, placement, tasks);
  auto expected = neededByEachTask(input, tasks);
  PlanJob other;
  for (std::size_t m = 0; m < machines; ++m) {
    auto needed = expected.find(m);
    auto reserved = reservations.neededIn(m, other);
    RC_ASSERT(reserved.has_value() == (needed != expected.end()));
    if (reserved) RC_ASSERT(*reserved == needed->second);
  }
}

}  // namespace
}  // namespace kestrelhoist
