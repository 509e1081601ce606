#include "app/leader.hpp"

#include <algorithm>

#include "app/pending_explanation.hpp"
#include "base/log.hpp"
#include "dependencies/projected_demand.hpp"
#include "fleet/command_log.hpp"
#include "store/commit_confirmation.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTimerInterval{250};
constexpr std::int64_t kTimersPerFailureDetection = 2;
constexpr double kLeaderWriteShare = 0.7;  // The rest is reserved for users' requests.
constexpr Duration kCommitTimeout{1500};
constexpr Duration kRetryDelay{200};
// Workers count as reachable if a request sent within this time has reached one of them.
constexpr Duration kWorkersReachableWithin{3000};
// These fields of the forecast record hold the suspected zones and the suspect jobs.
constexpr const char* kSuspectedZonesField = "silent";
constexpr const char* kSuspectedJobsField = "suspect";

// Returns whether the commands change which tasks the worker's next report lists.
bool changesTasks(const std::vector<WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), [](const WorkerCommand& command) {
    return command.operation != WorkerCommand::Operation::clear;
  });
}
}  // namespace

Leader::Leader(const LeaderContext& context, PlanRunner& planner, PolicyReplica& policy,
               std::function<bool(const ZoneId&)> mayHaveActingLeader)
    : context_(context),
      mayHaveActingLeader_(std::move(mayHaveActingLeader)),
      fleet_(context_.platform, context_.replica, context_.token, context_.electedAt),
      dispatcher_(context_, fleet_),
      repeater_([this](const MachineId& machine) { return dispatcher_.sendCommands(machine); }),
      prober_(context_, fleet_),
      initialRound_(context_, fleet_, prober_),
      leaseEndProber_(context_, fleet_),
      outcomes_(context_, fleet_),
      forecasts_{{}, std::mt19937_64(context_.token.value)},
      machineList_(context_, fleet_, initialRound_),
      taskLoop_(context_, fleet_, dispatcher_, outcomes_),
      planning_(context_, fleet_, dispatcher_, outcomes_, taskLoop_, planner),
      terminations_(context_, fleet_, outcomes_),
      scaling_(context_, fleet_, dispatcher_, planning_, forecasts_),
      forecast_(context_, fleet_, planning_, scaling_, forecasts_),
      flows_(context_, outcomes_, taskLoop_),
      policy_(context_, fleet_, policy),
      tokenRaise_(context_, fleet_),
      loops_{&policy_,  &planning_, &taskLoop_, &terminations_,
             &scaling_, &forecast_, &flows_,    &tokenRaise_},
      writes_(context_.platform.stateWritesPerS * kLeaderWriteShare,
              std::max<double>(context_.platform.stateWritesPerS * kLeaderWriteShare,
                               static_cast<double>(context_.platform.transactionOps))) {
  logInfo("became leader", "token", context_.token, "member", context_.platform.member);
  connectLoops();
  fleet_.onLostBySilence = context_.onLostBySilence;
  fleet_.onClearedAttemptReported = context_.onClearedAttemptReported;
  if (context_.replica.catalogue()) {
    context_.catalogue = catalogueFromJson(*context_.replica.catalogue());
  }
  if (const auto& forecast = context_.replica.forecast()) {
    restoreSuspectedZones(*forecast);
    restoreFailureAttribution(*forecast);
  }
  fleet_.adoptRecords(context_.electedAt, context_.runtime.wallMillis());
  detectFailures(context_.electedAt);
  onTimer();
}

void Leader::connectLoops() {
  context_.scheduleCycle = [this] { scheduleCycle(); };
  context_.finishStep = [this](std::optional<Commit> next) { finishStep(std::move(next)); };
  scaling_.demandStartingWithin = [this](Duration horizon) {
    auto demand = flows_.upcoming(horizon);
    auto ofJobs = demandOfJobsReadyWithin(context_.replica, horizon);
    demand.insert(demand.end(), ofJobs.begin(), ofJobs.end());
    return demand;
  };
  scaling_.demandEndingWithin = [this](Duration horizon) {
    auto demand = flows_.ending(horizon);
    auto ofJobs = demandOfDependenciesEndingWithin(context_.replica, horizon);
    demand.insert(demand.end(), ofJobs.begin(), ofJobs.end());
    return demand;
  };
  planning_.resourcesReason = [this](const JobSpec& spec) {
    return scaling_.resourcesReason(spec);
  };
  dispatcher_.onSent = [this](const MachineId& machine) {
    repeater_.expectConfirmation(machine, context_.runtime.now());
  };
  repeater_.onRepeated = context_.onCommandsRepeated;
  dispatcher_.onReport = [this](Machine& machine) { outcomes_.noteOutcomes(machine); };
  prober_.onReport = leaseEndProber_.onReport = [this](Machine& machine) {
    outcomes_.noteOutcomes(machine);
    repeater_.expectConfirmation(machine.id, context_.runtime.now());
    context_.planInvalidated = true;
    scheduleCycle();
  };
}

void Leader::finishStep(std::optional<Commit> next) {
  stepInProgress_ = false;
  if (next) return commit(std::move(*next));
  scheduleCycle();
}

void Leader::restoreSuspectedZones(const Json& forecast) {
  const Json* zones = field(forecast, kSuspectedZonesField);
  if (!zones) return;
  for (const auto& [zone, since] : zones->items()) {
    if (!since.is_number_integer()) continue;
    // The wall clock may be inaccurate, but this time only affects when terminations are requested.
    Duration ago{
        std::max<std::int64_t>(0, context_.runtime.wallMillis() - since.get<std::int64_t>())};
    fleet_.restoreSuspectedZone(ZoneId{zone}, context_.electedAt - ago);
  }
}

void Leader::restoreFailureAttribution(const Json& forecast) {
  const Json* suspectJobs = field(forecast, kSuspectedJobsField);
  if (!suspectJobs) return;
  for (const auto& [id, rounds] : suspectJobs->items()) {
    const auto* job = context_.replica.job(JobId{id});
    if (!job || !job->active() || !rounds.is_number_integer()) continue;
    fleet_.failureAttribution().restoreSuspect(JobId{id}, rounds.get<int>(), context_.electedAt);
  }
}

void Leader::detectFailures(Instant now) {
  if (context_.zoneAckBounds) fleet_.setZoneAckBounds(context_.zoneAckBounds(), now);
  fleet_.setPeerUnreachable(context_.hasUnreachablePeer && context_.hasUnreachablePeer());
  fleet_.detectFailures(now, context_.catalogue ? &*context_.catalogue : nullptr,
                        mayHaveActingLeader_);
}

void Leader::onTimer() {
  context_.runtime.after(kTimerInterval, context_.whileLeading([this] { onTimer(); }));
  Instant now = context_.runtime.now();
  if (!context_.initialRoundOver && initialRound_.isOver()) {
    context_.initialRoundOver = true;
    forecast_.restoreStored();
    logInfo("initial heartbeat round complete", "machines", fleet_.machines().size());
    fleet_.logSignsOfLife(now);
  }
  if (++timerCount_ % kTimersPerFailureDetection == 0) {
    fleet_.adoptRecords(now, context_.runtime.wallMillis());
    fleet_.setWorkersReachable(!context_.workersReachedSince ||
                               context_.workersReachedSince(now - kWorkersReachableWithin));
    detectFailures(now);
    prober_.probeOverdue();
    leaseEndProber_.schedule(kTimersPerFailureDetection * kTimerInterval);
  }
  repeater_.repeatDue(now);
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

// Each cycle starts with the loop after the one that acted last, so that a busy loop cannot starve
// the others.
void Leader::cycle() {
  if (stepInProgress_ || isLeadershipLost() || !context_.watcher.isReachable()) return;
  for (std::size_t i = 0; i < loops_.size(); ++i) {
    std::size_t at = (nextLoop_ + i) % loops_.size();
    LoopStep step = loops_[at]->next();
    if (!step.commit && !step.isAsynchronous) continue;
    nextLoop_ = at + 1;
    stepInProgress_ = true;
    if (step.commit) commit(std::move(*step.commit));
    return;
  }
}

// One read can return both the election of another leader and the records that it has written
// since. The old leader must not act on those records as if they were its own: in flow-faults 1 and
// 12 a job created by the new leader had inputs that were not done in the old leader's view.
bool Leader::isLeadershipLost() const { return context_.replica.leaderToken() != context_.token; }

void Leader::notifyLoops(bool changedByOthers) {
  if (isLeadershipLost()) return;
  for (ControlLoop* loop : loops_) loop->onRecordsChanged(changedByOthers);
}

void Leader::commit(Commit commit) {
  stepInProgress_ = true;
  sent_ = std::make_shared<SentCommit>(SentCommit{std::move(commit)});
  double cost = static_cast<double>(sent_->commit.transaction.writes.size());
  Duration wait = writes_.waitFor(context_.runtime.now(), cost);
  if (wait.count() > 0) {
    context_.runtime.after(wait, context_.whileLeading([this, sent = sent_] { send(sent); }));
  } else {
    send(sent_);
  }
}

// Repeats the transaction until its outcome is known. The transaction writes a key that it also
// compares, so it is applied at most once, and it cannot be applied after an answer of 200 or 409.
void Leader::send(const SentCommitPtr& sent) {
  if (sent->settled) return;
  const Transaction& transaction = sent->commit.transaction;
  writes_.take(context_.runtime.now(), static_cast<double>(transaction.writes.size()));
  context_.store.commit(
      transaction, kCommitTimeout,
      context_.whileLeading([this, sent](const CommitResult& r) { onCommitResult(sent, r); }));
}

void Leader::onCommitResult(const SentCommitPtr& sent, const CommitResult& result) {
  if (sent->settled) return;
  switch (result.outcome) {
    case CommitOutcome::applied:
      return onCommitApplied(sent, result.revision);
    case CommitOutcome::conflict:
      logInfo("commit conflicted; reading the records again", "what", sent->commit.what);
      return rereadRecords(sent);
    case CommitOutcome::rejected:
    case CommitOutcome::noLease:
      logError("commit rejected", "what", sent->commit.what);
      // An earlier send may have been applied before the state service lowered its limits. The next
      // commit differs from this one, see CommitLimits.
      context_.runtime.after(kRetryDelay,
                             context_.whileLeading([this, sent] { rereadRecords(sent); }));
      return;
    case CommitOutcome::refused:
    case CommitOutcome::unknown:
      logDebug("commit outcome unknown; sending it again", "refused",
               result.outcome == CommitOutcome::refused, "what", sent->commit.what);
      context_.runtime.after(kRetryDelay, context_.whileLeading([this, sent] { send(sent); }));
      return;
  }
}

void Leader::onChangesApplied(const std::vector<Change>& changes) {
  if (!sent_ || sent_->settled || isLeadershipLost()) return;
  auto revision = appliedRevision(sent_->commit.transaction, changes);
  if (!revision) return;
  logInfo("commit confirmed by the change feed", "what", sent_->commit.what);
  onCommitApplied(sent_, *revision);
}

void Leader::onCommitApplied(const SentCommitPtr& sent, Revision revision) {
  sent->settled = true;
  const Commit& commit = sent->commit;
  // Skips changes that the change feed has already delivered, because their records may have
  // changed again since.
  if (revision > context_.replica.revision()) {
    for (const auto& write : commit.transaction.writes) {
      context_.replica.apply({write.key, write.value, revision});
    }
    if (isLeadershipLost()) context_.onLeaderKeyWritten();
  }
  context_.latestRevision = std::max(context_.latestRevision, revision);
  stepInProgress_ = false;
  notifyLoops(false);
  logDebug("committed", "revision", revision, "what", commit.what);
  if (commit.onApplied) commit.onApplied();
  scheduleCycle();
}

// Reads the changes that made a commit fail and ends the step of the commit. The read may show that
// an earlier send of the commit was applied.
void Leader::rereadRecords(const SentCommitPtr& sent) {
  if (sent->settled) return;
  context_.watcher.linearizableRead(context_.whileLeading([this, sent](bool) {
    if (sent->settled) return;
    sent->settled = true;
    stepInProgress_ = false;
    notifyLoops(false);
    scheduleCycle();
  }));
}

bool Leader::isRaisingToken() const {
  return sent_ && !sent_->settled && sent_->commit.transaction.writes.front().key == keys::kLeader;
}

void Leader::adoptToken(FencingToken token) {
  logInfo("token raised", "token", token, "earlier", context_.token);
  context_.token = token;
  fleet_.adoptToken(token);
  if (context_.onTokenRaised) context_.onTokenRaised();
}

Response Leader::onReport(const Report& report, const MemberId& receivedBy, bool mayLaunch) {
  if (fleet_.isTerminated(report.machine)) {
    // The cloud has confirmed the termination of the machine, so the network delayed this
    // heartbeat.
    return jsonResponse(503, {{"error", "released"}});
  }
  Instant now = context_.runtime.now();
  const Machine* before = fleet_.find(report.machine);
  bool wasUsable = before && fleet_.usable(*before, now);
  auto commands = fleet_.onReport(report, receivedBy, now, mayLaunch);
  Machine& m = *fleet_.find(report.machine);
  if (!wasUsable && fleet_.usable(m, now)) {
    context_.planInvalidated = true;
    scheduleCycle();
  }
  outcomes_.noteOutcomes(m);
  logCommands("heartbeat", report, context_.token, commands);
  if (changesTasks(commands)) repeater_.expectConfirmation(report.machine, now);
  return jsonResponse(200, reportResponseToJson(context_.token, commands));
}

Json Leader::why(const JobId& id) {
  return explainPending(context_, fleet_, planning_.pendingReasons(), id);
}

void Leader::onRecordsChanged() {
  if (!context_.catalogue && context_.replica.catalogue()) {
    context_.catalogue = catalogueFromJson(*context_.replica.catalogue());
  }
  notifyLoops(true);
  scheduleCycle();
}

}  // namespace kestrelhoist
