#include "app/leader.hpp"

#include "base/log.hpp"
#include "dependencies/projected_demand.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTick{250};
constexpr std::int64_t kTimersPerFailureDetection = 2;
constexpr double kLeaderWriteShare = 0.7;  // the rest is for users' requests
constexpr Duration kCommitTimeout{1500};
constexpr Duration kRetry{200};
}  // namespace

Leader::Leader(const LeaderContext& context, PlanRunner& planner, PolicyReplica& policy,
               std::function<bool(const ZoneId&)> mayHaveActingLeader)
    : context_(context),
      mayHaveActingLeader_(std::move(mayHaveActingLeader)),
      fleet_(context_.platform, context_.replica, context_.token, context_.electedAt),
      dispatcher_(context_, fleet_),
      outcomes_(context_, fleet_),
      forecasts_{{}, std::mt19937_64(context_.token.value)},
      machineList_(context_, fleet_, dispatcher_),
      taskLoop_(context_, fleet_, dispatcher_, outcomes_),
      planning_(context_, fleet_, dispatcher_, outcomes_, taskLoop_, planner),
      terminations_(context_, fleet_, outcomes_),
      scaling_(context_, fleet_, dispatcher_, planning_, forecasts_),
      forecast_(context_, fleet_, planning_, scaling_, forecasts_),
      flows_(context_, outcomes_, taskLoop_),
      policy_(context_, fleet_, policy),
      loops_{&policy_, &planning_, &taskLoop_, &terminations_, &scaling_, &forecast_, &flows_},
      writes_(context_.platform.stateWritesPerS * kLeaderWriteShare,
              std::max<double>(context_.platform.stateWritesPerS * kLeaderWriteShare,
                               static_cast<double>(context_.platform.transactionOps))) {
  logInfo("leading", "token", context_.token);
  context_.scheduleCycle = [this] { scheduleCycle(); };
  context_.finishStep = [this](std::optional<Commit> c) {
    stepUnderWay_ = false;
    if (c) return commit(std::move(*c));
    scheduleCycle();
  };
  scaling_.upcoming = [this](Duration horizon) {
    auto room = flows_.upcoming(horizon);
    auto ofJobs = demandOfJobsReadyWithin(context_.replica, horizon);
    room.insert(room.end(), ofJobs.begin(), ofJobs.end());
    return room;
  };
  scaling_.ending = [this](Duration horizon) {
    auto room = flows_.ending(horizon);
    auto ofJobs = demandOfDependenciesEndingWithin(context_.replica, horizon);
    room.insert(room.end(), ofJobs.begin(), ofJobs.end());
    return room;
  };
  planning_.resourcesReason = [this](const JobSpec& spec) {
    return scaling_.resourcesReason(spec);
  };
  dispatcher_.onReport = [this](Machine& m) { outcomes_.noteOutcomes(m); };
  if (context_.replica.catalogue())
    context_.catalogue = catalogueFrom(*context_.replica.catalogue());
  const auto& windows = context_.replica.forecast();
  if (const Json* silent = windows ? field(*windows, "silent") : nullptr; silent) {
    for (const auto& [zone, at] : silent->items()) {
      if (!at.is_number_integer()) continue;
      // The time of day is only about right: this decides when to ask for releases.
      Duration ago{
          std::max<std::int64_t>(0, context_.runtime.wallMillis() - at.get<std::int64_t>())};
      fleet_.restoreSuspectedZone(ZoneId{zone}, context_.electedAt - ago);
    }
  }
  if (const Json* suspect = windows ? field(*windows, "suspect") : nullptr; suspect) {
    for (const auto& [job, rounds] : suspect->items()) {
      const auto* known = context_.replica.job(JobId{job});
      if (!known || !known->active() || !rounds.is_number_integer()) continue;
      fleet_.failureAttribution().adopt(JobId{job}, rounds.get<int>(), context_.electedAt);
    }
  }
  fleet_.adoptRecords(context_.electedAt, context_.runtime.wallMillis());
  fleet_.detectFailures(context_.electedAt, context_.catalogue ? &*context_.catalogue : nullptr,
                        mayHaveActingLeader_);
  onTimer();
}

void Leader::onTimer() {
  context_.runtime.after(kTick, context_.whileLeading([this] { onTimer(); }));
  Instant now = context_.runtime.now();
  if (!context_.initialRoundOver && dispatcher_.initialRoundOver()) {
    context_.initialRoundOver = true;
    forecast_.load();
    logInfo("report round over", "machines", fleet_.machines().size());
  }
  if (++timerCount_ % kTimersPerFailureDetection == 0) {
    fleet_.adoptRecords(now, context_.runtime.wallMillis());
    constexpr Duration kLately{3000};
    fleet_.setWorkersReachable(!context_.workersReachedSince ||
                               context_.workersReachedSince(now - kLately));
    fleet_.detectFailures(now, context_.catalogue ? &*context_.catalogue : nullptr,
                          mayHaveActingLeader_);
    dispatcher_.probeOverdue();
  }
  machineList_.onTimer();
  for (ControlLoop* loop : loops_) loop->onTimer();
  scheduleCycle();
}

void Leader::scheduleCycle() {
  if (cycleScheduled_) return;
  cycleScheduled_ = true;
  context_.runtime.after(Duration{5}, context_.whileLeading([this] {
    cycleScheduled_ = false;
    cycle();
  }));
}

// The duties take turns, so that none starves another however much there is of it.
void Leader::cycle() {
  if (stepUnderWay_ || deposed() || !context_.watcher.reachable()) return;
  for (std::size_t i = 0; i < loops_.size(); ++i) {
    std::size_t at = (nextLoop_ + i) % loops_.size();
    LoopStep step = loops_[at]->next();
    if (!step.commit && !step.isAsynchronous) continue;
    nextLoop_ = at + 1;
    stepUnderWay_ = true;
    if (step.commit) commit(std::move(*step.commit));
    return;
  }
}

// One read can bring another's election together with what it has written since. A leader that was
// cut off must not take those records for its own (flow-faults 1 and 12: a job of the new leader's
// whose inputs were not done in the old one's picture).
bool Leader::deposed() const { return context_.replica.leaderToken() != context_.token; }

void Leader::notifyLoops(bool changedByOthers) {
  if (deposed()) return;
  for (ControlLoop* loop : loops_) loop->onRecordsChanged(changedByOthers);
}

void Leader::commit(Commit commit) {
  stepUnderWay_ = true;
  auto shared = std::make_shared<Commit>(std::move(commit));
  double cost = static_cast<double>(shared->transaction.writes.size());
  Duration wait = writes_.waitFor(context_.runtime.now(), cost);
  if (wait.count() > 0) {
    context_.runtime.after(wait, context_.whileLeading([this, shared] { send(shared); }));
  } else {
    send(shared);
  }
}

// The same transaction until there is an answer. Each writes a key that it conditions on, so of
// several copies at most one is applied, and after 200 or 409 none can be applied later.
void Leader::send(std::shared_ptr<Commit> commit) {
  writes_.take(context_.runtime.now(), static_cast<double>(commit->transaction.writes.size()));
  context_.store.commit(
      commit->transaction, kCommitTimeout, context_.whileLeading([this, commit](CommitResult r) {
        switch (r.outcome) {
          case CommitOutcome::applied:
            for (const auto& w : commit->transaction.writes) {
              context_.replica.apply({w.key, w.value, r.revision});
            }
            context_.latestRevision = std::max(context_.latestRevision, r.revision);
            stepUnderWay_ = false;
            notifyLoops(false);
            logDebug("committed", "revision", r.revision, "what", commit->what);
            if (commit->onApplied) commit->onApplied();
            scheduleCycle();
            return;
          case CommitOutcome::conflict:
            logInfo("commit in conflict, reading again", "what", commit->what);
            context_.watcher.linearizableRead(context_.whileLeading([this](bool) {
              stepUnderWay_ = false;
              notifyLoops(false);
              scheduleCycle();
            }));
            return;
          case CommitOutcome::rejected:
          case CommitOutcome::noLease:
            logError("commit rejected", "what", commit->what);
            // Too large, since the limits fell? An earlier copy may have been taken before that.
            context_.runtime.after(Duration{1000}, context_.whileLeading([this] {
              context_.watcher.linearizableRead(context_.whileLeading([this](bool) {
                stepUnderWay_ = false;
                notifyLoops(false);
                scheduleCycle();
              }));
            }));
            return;
          case CommitOutcome::refused:
          case CommitOutcome::unknown:
            context_.runtime.after(kRetry, context_.whileLeading([this, commit] { send(commit); }));
            return;
        }
      }));
}

Response Leader::onReport(const Report& report, bool sure) {
  if (fleet_.isReleased(report.machine)) {
    // Gone for certain: this report was under way for long.
    return jsonResponse(503, {{"error", "released"}});
  }
  Instant now = context_.runtime.now();
  const Machine* before = fleet_.find(report.machine);
  bool wasUsable = before && fleet_.usable(*before, now);
  auto commands = fleet_.onReport(report, now, sure);
  Machine& m = *fleet_.find(report.machine);
  if (!wasUsable && fleet_.usable(m, now)) {
    context_.planInvalidated = true;
    scheduleCycle();
  }
  outcomes_.noteOutcomes(m);
  return jsonResponse(200, reportResponseToJson(context_.token, commands));
}

Json Leader::why(const JobId& id) {
  Instant now = context_.runtime.now();
  Json waits = Json::array();
  Json awaits = Json::array();  // the unfinished jobs that it awaits
  auto add = [&](const std::string& why, std::uint32_t tasks) {
    if (tasks > 0) waits.push_back({{"why", why}, {"tasks", tasks}});
  };
  const auto* job = context_.replica.job(id);
  if (job && job->active()) {
    std::map<PendingReason, std::uint32_t> placed;
    for (const auto& [index, at] : job->placed) {
      const Machine* m = fleet_.find(at.machine);
      const ReportedTask* told = m && m->session.lastReport
                                     ? m->session.lastReport->find({{id, index}, at.attempt})
                                     : nullptr;
      if (!m || !m->hasReported() || fleet_.isOverdue(*m, now)) {
        ++placed[PendingReason::unreachable];
      } else if (!told) {
        ++placed[PendingReason::start];
      } else if (told->state == TaskState::fetching) {
        ++placed[PendingReason::image];
      }
    }
    if (!context_.initialRoundOver) {
      add("the new leader waits for the report round", job->waiting());
    } else if (job->blockedOnDependencies()) {
      for (const auto& awaited : context_.replica.dependencies().unfinishedDependencies(id)) {
        awaits.push_back(awaited.value);
      }
      add(toString(PendingReason::dependencies), job->tasks);
    } else if (!context_.watcher.reachable()) {
      add("the state service is out of reach", job->waiting());
    } else {
      for (const auto& g : planning_.pendingReasons().of(id)) add(toString(g.why), g.tasks);
    }
    for (const auto& [why, tasks] : placed) add(toString(why), tasks);
  }
  Json why = {{"leader", context_.platform.member.value},
              {"leads_s", toSeconds(now - context_.electedAt)},
              {"waits", std::move(waits)}};
  if (!awaits.empty()) why["awaits"] = std::move(awaits);
  if (job && job->active() && job->dependencies && job->dependencies->state.latestEndMs) {
    std::int64_t latestStart =
        *job->dependencies->state.latestEndMs - job->record.spec->estimate.count();
    why["slack_s"] = toSeconds(Duration{latestStart - context_.runtime.wallMillis()});
  }
  return why;
}

void Leader::onRecordsChanged() {
  if (!context_.catalogue && context_.replica.catalogue()) {
    context_.catalogue = catalogueFrom(*context_.replica.catalogue());
  }
  notifyLoops(true);
  scheduleCycle();
}

}  // namespace kestrelhoist
