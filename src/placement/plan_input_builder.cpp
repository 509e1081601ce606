#include "placement/plan_input_builder.hpp"

#include <algorithm>
#include <iterator>

namespace kestrelhoist {
namespace {

// Returns the time since the task was first seen running; empty if it has not been seen running.
std::optional<Duration> observedRunTime(const Machine& machine, const AttemptId& id, Instant now) {
  auto seen = machine.firstSeenRunning.find(id);
  if (seen == machine.firstSeenRunning.end()) return std::nullopt;
  return now - seen->second;
}

// Returns the estimated seconds until the task ends. A task that has run for longer than its
// owner's estimate is assumed to need half of the estimate in addition.
double remainingSeconds(const JobSpec& spec, std::optional<Duration> runTime) {
  double ran = runTime ? toSeconds(*runTime) : 0;
  double estimate = toSeconds(spec.estimate);
  return ran < estimate ? estimate - ran : std::max(1.0, estimate / 2);
}

}  // namespace

PlanInputBuilder::PlanInputBuilder(LeaderContext& context, Fleet& fleet,
                                   const ConfirmedOutcomes& outcomes,
                                   PendingReasons& pendingReasons)
    : context_(context),
      fleet_(fleet),
      outcomes_(outcomes),
      pendingReasons_(pendingReasons),
      now_(context.runtime.now()) {}

PlanInput PlanInputBuilder::build() {
  pendingReasons_.begin();
  input_.maxJobs = context_.platform.transactionOps;
  input_.nowMs = context_.runtime.wallMillis();
  for (const auto& zone : context_.platform.zones) zoneNumber(zone);
  addWaitingJobs();
  if (input_.jobs.empty()) return std::move(input_);
  addTeams();
  decideReservations();
  addMachines();
  addFailedMachines();
  if (context_.effectivePolicy) limitYieldingJobs();
  addSpread();
  return std::move(input_);
}

std::uint32_t PlanInputBuilder::zoneNumber(const ZoneId& zone) {
  auto next = static_cast<std::uint32_t>(zoneNumbers_.size());
  return zoneNumbers_.try_emplace(zone, next).first->second;
}

void PlanInputBuilder::addWaitingJobs() {
  for (const auto& [id, job] : context_.replica.liveJobs()) {
    if (!job->active() || !job->record.spec) continue;
    // A job that is blocked on its dependencies uses nothing of its team's limit or guarantee and
    // does not count as demand.
    if (job->blockedOnDependencies()) {
      pendingReasons_.note(id, PendingReason::dependencies, job->tasks);
      continue;
    }
    WaitingTasks tasks = waitingTasks(id, *job);
    if (tasks.toPlace > 0) addJob(*job, tasks);
  }
}

// Counts the job's tasks that this plan may place. ConfirmedOutcomes::trialsLeft() has a side
// effect, because it no longer treats a service as suspect if a replica runs well. It is therefore
// called only once per job.
PlanInputBuilder::WaitingTasks PlanInputBuilder::waitingTasks(const JobId& id,
                                                              const JobState& job) {
  WaitingTasks result;
  if (auto entry = outcomes_.requeued().find(id); entry != outcomes_.requeued().end()) {
    result.requeued = entry->second;
  }
  std::uint32_t waiting = job.waitingCount() + result.requeued;
  if (waiting == 0) return result;
  if (auto pause = outcomes_.pausedUntil(id); pause && now_ < *pause) {
    pendingReasons_.note(id, outcomes_.refused(id) ? PendingReason::refused : PendingReason::errors,
                         waiting);
    return result;
  }
  // A job that fails on every machine may run only a few tasks at a time, and its other tasks do
  // not count as demand.
  auto trials = outcomes_.trialsLeft(id, job);
  result.suspect = trials.has_value();
  result.toPlace = trials ? std::min(*trials, waiting) : waiting;
  if (result.toPlace < waiting) {
    pendingReasons_.note(id, PendingReason::errors, waiting - result.toPlace);
  }
  return result;
}

void PlanInputBuilder::addJob(const JobState& job, const WaitingTasks& tasks) {
  PlanJob planJob;
  planJob.spec = job.effectiveSpec();
  const JobSpec& spec = *planJob.spec;
  planJob.acceptedAtMs = job.readyAtMs();
  planJob.waiting = tasks.toPlace;
  if (context_.effectivePolicy) {
    planJob.protectedService = context_.effectivePolicy->protects(spec);
    planJob.priorityAdjustment = context_.effectivePolicy->priorityAdjustment(spec);
  }
  auto onRecord = static_cast<std::uint32_t>(job.placed.size());
  planJob.placed = onRecord - std::min(onRecord, tasks.requeued);
  planJob.suspect = tasks.suspect;
  planJob.hasFinishedTasks = job.finishedCount > 0;
  planJob.image = job.image;
  planJob.team = job.team;
  planJob.modRevision = job.modRevision;
  planJob.remainingS = toSeconds(spec.estimate) *
                       static_cast<double>(job.tasks - std::min(job.tasks, job.finishedCount));
  if (spec.zone) planJob.zone = zoneNumber(*spec.zone);
  highestPriority_ = std::max(highestPriority_, spec.priority);
  input_.jobs.push_back(std::move(planJob));
  jobStates_.push_back(&job);
}

void PlanInputBuilder::addTeams() {
  input_.teams.resize(context_.replica.teams());
  input_.teamKnown.resize(input_.teams.size());
  input_.used.resize(input_.teams.size());
  for (const auto& [id, team] : context_.platform.teams) {
    auto number = context_.replica.teamNumber(id);
    if (number >= input_.teams.size()) continue;  // The team has no jobs.
    input_.teams[number] = team;
    input_.teamKnown[number] = true;
    hasGuarantees_ = hasGuarantees_ || team.guaranteed.cpus > 0 || team.guaranteed.gpus > 0;
  }
}

// Determines whether the planner may reserve resources for a job that has waited long. Only then
// does it need the expected ends of running tasks.
void PlanInputBuilder::decideReservations() {
  mayReserve_ = std::any_of(input_.jobs.begin(), input_.jobs.end(), [&](const PlanJob& job) {
    return job.spec->kind != JobKind::service &&
           input_.nowMs - job.acceptedAtMs >= input_.queue.agingThreshold.count();
  });
}

void PlanInputBuilder::addMachines() {
  input_.machines.reserve(context_.replica.machines().size());
  for (const auto& [id, record] : context_.replica.machines()) {
    const Machine* machine = fleet_.find(id);
    PlanMachine planMachine = describeMachine(id, record, machine);
    addTasks(planMachine, record, machine);
    machineIndex_.emplace_hint(machineIndex_.end(), id, input_.machines.size());
    input_.machines.push_back(std::move(planMachine));
  }
}

// Returns the machine without its tasks. `machine` is null if the worker has not registered with
// this leader.
PlanMachine PlanInputBuilder::describeMachine(const MachineId& id, const MachineState& record,
                                              const Machine* machine) {
  const MachineType* type = context_.catalogue->find(record.type);
  PlanMachine result;
  result.id = id;
  result.type = record.type;
  result.zone = zoneNumber(record.zone);
  result.spot = record.spot;
  result.keptForImage = context_.effectivePolicy && context_.effectivePolicy->isWarmMachine(id);
  result.usable =
      type && machine && fleet_.usable(*machine, now_) && !fleet_.cordoned().contains(id);
  result.leaseAtRisk = result.usable && fleet_.isLeaseAtRisk(*machine, now_);
  if (type) {
    result.capacity = type->capacity;
    result.fetchGbPerS = type->fetchGbPerS;
  }
  result.free = result.freeAfterStops = result.capacity;
  if (result.usable) {
    result.images.reserve(static_cast<std::size_t>(std::ranges::distance(machine->images)) + 1);
    for (const auto& image : machine->images) {
      result.images.push_back({image.id, image.gb, image.fetched});
    }
  }
  return result;
}

void PlanInputBuilder::addTasks(PlanMachine& planMachine, const MachineState& record,
                                const Machine* machine) {
  for (const auto& task : record.tasks) {
    if (machine && machine->session.outcomes.contains(task.id)) continue;  // The attempt has ended.
    const auto& spec = task.job->effectiveSpec();
    if (!spec) continue;
    input_.used[task.job->team] += spec->perTask;
    planMachine.free -= spec->perTask;
    bool stopping =
        (machine && machine->session.stopRequests.contains(task.id)) || !task.job->active();
    if (!stopping) planMachine.freeAfterStops -= spec->perTask;
    if (planMachine.usable) addUsableTask(planMachine, *machine, task, stopping);
  }
}

// Adds the data of a task that the planner needs only on a machine that may get new tasks: the
// expected end of the task, its image, and whether it may be preempted.
void PlanInputBuilder::addUsableTask(PlanMachine& planMachine, const Machine& machine,
                                     const PlacedTask& task, bool stopping) const {
  const auto& spec = task.job->effectiveSpec();
  auto runTime = observedRunTime(machine, task.id, now_);
  if (mayReserve_ && spec->kind != JobKind::service) {
    planMachine.expectedEnds.push_back({remainingSeconds(*spec, runTime), spec->perTask});
  }
  if (std::none_of(planMachine.images.begin(), planMachine.images.end(),
                   [&](const PlanImage& image) { return image.id == task.job->image; })) {
    planMachine.images.push_back({task.job->image, spec->imageGb, false});
  }
  // A protected service is never preempted, even if its priority is lower.
  bool isProtected = context_.effectivePolicy && context_.effectivePolicy->protects(*spec);
  if (isProtected) {
    planMachine.protectedShare += spec->perTask.shareOf(planMachine.capacity);
  }
  if (!stopping && !isProtected && (hasGuarantees_ || spec->priority < highestPriority_)) {
    planMachine.stoppable.push_back({task.id, spec, task.job->team, runTime.value_or(Duration{0})});
  }
}

void PlanInputBuilder::addFailedMachines() {
  for (auto& job : input_.jobs) {
    for (const auto& id : fleet_.failureAttribution().machinesToAvoid(job.spec->id)) {
      if (auto at = machineIndex_.find(id); at != machineIndex_.end()) {
        job.failedOn.insert(at->second);
      }
    }
    if (auto id = fleet_.failureAttribution().excludedMachine(job.spec->id, now_)) {
      auto at = machineIndex_.find(*id);
      if (at != machineIndex_.end()) job.excludedMachine = at->second;
    }
  }
}

// Limits the tasks of jobs that yield to the machines that jobs with precedence do not use. Before
// a calendar period in which a job will yield, a task of it that would still run in that period is
// not started, unless the job saves checkpoints.
void PlanInputBuilder::limitYieldingJobs() {
  double usableMachines = 0;
  Resources largest;
  for (const auto& machine : input_.machines) {
    if (!machine.usable) continue;
    ++usableMachines;
    if (machine.capacity.cpus > largest.cpus) largest = machine.capacity;
  }
  std::vector<std::size_t> yielding;
  std::vector<YieldingJob> shares;
  for (std::size_t i = 0; i < input_.jobs.size(); ++i) {
    PlanJob& job = input_.jobs[i];
    double share = job.spec->perTask.shareOf(largest);
    if (job.priorityAdjustment < 0) {
      yielding.push_back(i);
      shares.push_back({share, job.waiting, job.placed});
    } else if (auto until = context_.effectivePolicy->untilYielding(*job.spec);
               until && !job.spec->checkpoints() && job.spec->estimate > *until) {
      job.maxTasks = std::max(job.placed, 1U);  // Every job may run at least one task.
    }
  }
  if (!yielding.empty()) capYieldingJobs(yielding, shares, usableMachines, largest);
}

// Divides the machines that the policy leaves to yielding jobs among those with waiting tasks.
// `yielding` holds indices into input_.jobs, and `shares` has the same order.
void PlanInputBuilder::capYieldingJobs(const std::vector<std::size_t>& yielding,
                                       const std::vector<YieldingJob>& shares,
                                       double usableMachines, const Resources& largest) {
  // Yielding jobs without waiting tasks also use a part of the allowed machines.
  double usedByOthers = 0;
  double demandOfPreferred = 0;
  for (const auto& [id, job] : context_.replica.liveJobs()) {
    if (!job->active() || !job->record.spec) continue;
    int adjustment = context_.effectivePolicy->priorityAdjustment(*job->record.spec);
    double share = job->record.spec->perTask.shareOf(largest);
    auto placed = static_cast<double>(job->placed.size());
    if (adjustment > 0) {
      demandOfPreferred +=
          share * (placed + (job->blockedOnDependencies() ? 0 : job->waitingCount()));
    }
    if (adjustment < 0 && job->waitingCount() == 0) usedByOthers += share * placed;
  }
  auto allowed = context_.effectivePolicy->machinesForYielding(usableMachines, demandOfPreferred);
  if (!allowed) return;
  auto maxTasks = maxTasksOfYieldingJobs(shares, *allowed - usedByOthers);
  for (std::size_t i = 0; i < yielding.size(); ++i) {
    input_.jobs[yielding[i]].maxTasks = maxTasks[i];
  }
}

// Counts the placed tasks by zone, and by machine for services. Only services and jobs with a
// constraint on zones need these counts.
void PlanInputBuilder::addSpread() {
  input_.zones = zoneNumbers_.size();
  for (std::size_t j = 0; j < input_.jobs.size(); ++j) {
    PlanJob& job = input_.jobs[j];
    job.perZone.resize(input_.zones);
    const JobSpec& spec = *job.spec;
    if (!spec.spread && !spec.oneZone && spec.kind != JobKind::service) continue;
    for (const auto& [task, placed] : jobStates_[j]->placed) {
      auto at = machineIndex_.find(placed.machine);
      if (at == machineIndex_.end() || outcomes_.find({{spec.id, task}, placed.attempt})) continue;
      ++job.perZone[input_.machines[at->second].zone];
      if (spec.kind == JobKind::service) ++job.siblings[at->second];
    }
  }
}

}  // namespace kestrelhoist
