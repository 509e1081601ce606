#include "app/leader.hpp"

#include "base/log.hpp"
#include "dependencies/room_ahead.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kTick{250};
constexpr std::int64_t kTicksPerJudgement = 2;
constexpr double kLeaderWriteShare = 0.7;  // the rest is for users' requests
constexpr Duration kCommitTimeout{1500};
constexpr Duration kRetry{200};
}  // namespace

Leader::Leader(const Leadership& leadership, PlanRunner& planner, PolicyCopy& policy,
               std::function<bool(const ZoneId&)> standIn)
    : leadership_(leadership),
      standIn_(std::move(standIn)),
      fleet_(leadership_.platform, leadership_.replica, leadership_.token, leadership_.since),
      dispatch_(leadership_, fleet_),
      facts_(leadership_, fleet_),
      forecasts_{{}, std::mt19937_64(leadership_.token.value)},
      listing_(leadership_, fleet_, dispatch_),
      tasks_(leadership_, fleet_, dispatch_, facts_),
      plans_(leadership_, fleet_, dispatch_, facts_, tasks_, planner),
      releases_(leadership_, fleet_, facts_),
      rentals_(leadership_, fleet_, dispatch_, plans_, forecasts_),
      windows_(leadership_, fleet_, plans_, rentals_, forecasts_),
      flows_(leadership_, facts_, tasks_),
      policy_(leadership_, fleet_, policy),
      turns_{&policy_, &plans_, &tasks_, &releases_, &rentals_, &windows_, &flows_},
      writes_(leadership_.platform.stateWritesPerS * kLeaderWriteShare,
              std::max<double>(leadership_.platform.stateWritesPerS * kLeaderWriteShare,
                               static_cast<double>(leadership_.platform.transactionOps))) {
  logInfo("leading", "token", leadership_.token);
  leadership_.kick = [this] { kick(); };
  leadership_.done = [this](std::optional<Commit> c) {
    busy_ = false;
    if (c) return commit(std::move(*c));
    kick();
  };
  rentals_.upcoming = [this](Duration horizon) {
    auto room = flows_.upcoming(horizon);
    auto ofJobs = roomOfJobsReadyWithin(leadership_.replica, horizon);
    room.insert(room.end(), ofJobs.begin(), ofJobs.end());
    return room;
  };
  rentals_.ending = [this](Duration horizon) {
    auto room = flows_.ending(horizon);
    auto ofJobs = roomOfAwaitedJobsEndingWithin(leadership_.replica, horizon);
    room.insert(room.end(), ofJobs.begin(), ofJobs.end());
    return room;
  };
  plans_.roomReason = [this](const JobSpec& spec) { return rentals_.roomReason(spec); };
  dispatch_.onNews = [this](Machine& m) { facts_.noteFacts(m); };
  if (leadership_.replica.catalogue())
    leadership_.catalogue = catalogueFrom(*leadership_.replica.catalogue());
  const auto& windows = leadership_.replica.forecast();
  if (const Json* silent = windows ? field(*windows, "silent") : nullptr; silent) {
    for (const auto& [zone, at] : silent->items()) {
      if (!at.is_number_integer()) continue;
      // The time of day is only about right: this decides when to ask for releases.
      Duration ago{
          std::max<std::int64_t>(0, leadership_.runtime.wallMillis() - at.get<std::int64_t>())};
      fleet_.zoneSilentSince(ZoneId{zone}, leadership_.since - ago);
    }
  }
  if (const Json* suspect = windows ? field(*windows, "suspect") : nullptr; suspect) {
    for (const auto& [job, rounds] : suspect->items()) {
      const auto* known = leadership_.replica.job(JobId{job});
      if (!known || !known->active() || !rounds.is_number_integer()) continue;
      fleet_.evidence().adopt(JobId{job}, rounds.get<int>(), leadership_.since);
    }
  }
  fleet_.adoptRecords(leadership_.since, leadership_.runtime.wallMillis());
  fleet_.judge(leadership_.since, leadership_.catalogue ? &*leadership_.catalogue : nullptr,
               standIn_);
  tick();
}

void Leader::tick() {
  leadership_.runtime.after(kTick, leadership_.guard([this] { tick(); }));
  Instant now = leadership_.runtime.now();
  if (!leadership_.settled && dispatch_.roundOver()) {
    leadership_.settled = true;
    windows_.load();
    logInfo("report round over", "machines", fleet_.machines().size());
  }
  if (++ticks_ % kTicksPerJudgement == 0) {
    fleet_.adoptRecords(now, leadership_.runtime.wallMillis());
    constexpr Duration kLately{3000};
    fleet_.setReached(!leadership_.workersReached || leadership_.workersReached(now - kLately));
    fleet_.judge(now, leadership_.catalogue ? &*leadership_.catalogue : nullptr, standIn_);
    dispatch_.askOverdue();
  }
  listing_.tick();
  for (Duty* duty : turns_) duty->tick();
  kick();
}

void Leader::kick() {
  if (kicked_) return;
  kicked_ = true;
  leadership_.runtime.after(Duration{5}, leadership_.guard([this] {
    kicked_ = false;
    cycle();
  }));
}

// The duties take turns, so that none starves another however much there is of it.
void Leader::cycle() {
  if (busy_ || deposed() || !leadership_.feed.reachable()) return;
  for (std::size_t i = 0; i < turns_.size(); ++i) {
    std::size_t at = (turn_ + i) % turns_.size();
    Turn turn = turns_[at]->next();
    if (!turn.commit && !turn.holds) continue;
    turn_ = at + 1;
    busy_ = true;
    if (turn.commit) commit(std::move(*turn.commit));
    return;
  }
}

// One read can bring another's election together with what it has written since. A leader that was
// cut off must not take those records for its own (flow-faults 1 and 12: a job of the new leader's
// whose inputs were not done in the old one's picture).
bool Leader::deposed() const { return leadership_.replica.leaderToken() != leadership_.token; }

void Leader::changed(bool byOthers) {
  if (deposed()) return;
  for (Duty* duty : turns_) duty->changed(byOthers);
}

void Leader::commit(Commit commit) {
  busy_ = true;
  auto shared = std::make_shared<Commit>(std::move(commit));
  double cost = static_cast<double>(shared->transaction.writes.size());
  Duration wait = writes_.waitFor(leadership_.runtime.now(), cost);
  if (wait.count() > 0) {
    leadership_.runtime.after(wait, leadership_.guard([this, shared] { send(shared); }));
  } else {
    send(shared);
  }
}

// The same transaction until there is an answer. Each writes a key that it conditions on, so of
// several copies at most one is applied, and after 200 or 409 none can be applied later.
void Leader::send(std::shared_ptr<Commit> commit) {
  writes_.take(leadership_.runtime.now(), static_cast<double>(commit->transaction.writes.size()));
  leadership_.store.commit(
      commit->transaction, kCommitTimeout, leadership_.guard([this, commit](CommitResult r) {
        switch (r.outcome) {
          case Outcome::applied:
            for (const auto& w : commit->transaction.writes) {
              leadership_.replica.apply({w.key, w.value, r.revision});
            }
            leadership_.highest = std::max(leadership_.highest, r.revision);
            busy_ = false;
            changed(false);
            logDebug("committed", "revision", r.revision, "what", commit->what);
            if (commit->applied) commit->applied();
            kick();
            return;
          case Outcome::conflict:
            logInfo("commit in conflict, reading again", "what", commit->what);
            leadership_.feed.fresh(leadership_.guard([this](bool) {
              busy_ = false;
              changed(false);
              kick();
            }));
            return;
          case Outcome::rejected:
          case Outcome::noLease:
            logError("commit rejected", "what", commit->what);
            // Too large, since the limits fell? An earlier copy may have been taken before that.
            leadership_.runtime.after(Duration{1000}, leadership_.guard([this] {
              leadership_.feed.fresh(leadership_.guard([this](bool) {
                busy_ = false;
                changed(false);
                kick();
              }));
            }));
            return;
          case Outcome::refused:
          case Outcome::unknown:
            leadership_.runtime.after(kRetry, leadership_.guard([this, commit] { send(commit); }));
            return;
        }
      }));
}

Response Leader::onReport(const Report& report, bool sure) {
  if (fleet_.isReleased(report.machine)) {
    // Gone for certain: this report was under way for long.
    return jsonResponse(503, {{"error", "released"}});
  }
  Instant now = leadership_.runtime.now();
  const Machine* before = fleet_.find(report.machine);
  bool wasUsable = before && fleet_.usable(*before, now);
  auto orders = fleet_.onReport(report, now, sure);
  Machine& m = *fleet_.find(report.machine);
  if (!wasUsable && fleet_.usable(m, now)) {
    leadership_.replan = true;
    kick();
  }
  facts_.noteFacts(m);
  return jsonResponse(200, ordersToJson(leadership_.token, orders));
}

Json Leader::why(const JobId& id) {
  Instant now = leadership_.runtime.now();
  Json waits = Json::array();
  Json awaits = Json::array();  // the unfinished jobs that it awaits
  auto add = [&](const std::string& why, std::uint32_t tasks) {
    if (tasks > 0) waits.push_back({{"why", why}, {"tasks", tasks}});
  };
  const auto* job = leadership_.replica.job(id);
  if (job && job->active()) {
    std::map<Waits, std::uint32_t> placed;
    for (const auto& [index, at] : job->placed) {
      const Machine* m = fleet_.find(at.machine);
      const ReportedTask* told =
          m && m->memory.last ? m->memory.last->find({{id, index}, at.attempt}) : nullptr;
      if (!m || !m->heard() || fleet_.overdue(*m, now)) {
        ++placed[Waits::silent];
      } else if (!told) {
        ++placed[Waits::start];
      } else if (told->state == TaskState::fetching) {
        ++placed[Waits::image];
      }
    }
    if (!leadership_.settled) {
      add("the new leader waits for the report round", job->waiting());
    } else if (job->held()) {
      for (const auto& awaited : leadership_.replica.dependencies().openAwaits(id)) {
        awaits.push_back(awaited.value);
      }
      add(wordOf(Waits::dependencies), job->tasks);
    } else if (!leadership_.feed.reachable()) {
      add("the state service is out of reach", job->waiting());
    } else {
      for (const auto& g : plans_.waits().of(id)) add(wordOf(g.why), g.tasks);
    }
    for (const auto& [why, tasks] : placed) add(wordOf(why), tasks);
  }
  Json why = {{"leader", leadership_.platform.member.value},
              {"leads_s", toSeconds(now - leadership_.since)},
              {"waits", std::move(waits)}};
  if (!awaits.empty()) why["awaits"] = std::move(awaits);
  if (job && job->active() && job->dependencies && job->dependencies->state.latestEndMs) {
    std::int64_t latestStart =
        *job->dependencies->state.latestEndMs - job->record.spec->estimate.count();
    why["slack_s"] = toSeconds(Duration{latestStart - leadership_.runtime.wallMillis()});
  }
  return why;
}

void Leader::onRecordsChanged() {
  if (!leadership_.catalogue && leadership_.replica.catalogue()) {
    leadership_.catalogue = catalogueFrom(*leadership_.replica.catalogue());
  }
  changed(true);
  kick();
}

}  // namespace kestrelhoist
