#include "policy/policy_loop.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr std::int64_t kHourMs = 3600000, kDayMs = 24 * kHourMs;
constexpr std::size_t kMaxHourRecords = 26, kMaxDayRecords = 62;

// Returns the policy state as JSON of at most `bytes`. If the state is too large, the function
// drops data that later intervals restore: first warm machines, then forecasts of starts, then
// pools.
Json toJsonWithin(PolicyState s, std::size_t bytes) {
  Json value = toJson(s);
  auto maxWarmMachines = [&] {
    std::size_t n = 0;
    for (const auto& [image, warm] : s.pools) n = std::max(n, warm.machines.size());
    return n;
  };
  while (jsonBytes(value) > bytes && maxWarmMachines() > 0) {
    std::size_t keep = maxWarmMachines() / 2;
    for (auto& [image, warm] : s.pools) {
      while (warm.machines.size() > keep) warm.machines.erase(std::prev(warm.machines.end()));
    }
    value = toJson(s);
  }
  if (jsonBytes(value) <= bytes) return value;
  for (auto& [image, warm] : s.pools) warm.starts = Forecast{};
  value = toJson(s);
  while (jsonBytes(value) > bytes && !s.pools.empty()) {
    s.pools.erase(std::prev(s.pools.end()));
    value = toJson(s);
  }
  return value;
}
}  // namespace

void PolicyLoop::onTimer() {
  // No policy state has to be computed if there is no policy and no state of an earlier one.
  bool wanted = replica_.policy() || replica_.state().policyVersion != 0 || replica_.version() != 0;
  if (!wanted || !context_.initialRoundOver || !context_.catalogue) return;
  Instant now = context_.runtime.now();
  if (windowEnds_ == Instant{}) {
    windowEnds_ = now + context_.settings.window;
    for (const auto& [image, warm] : replica_.state().pools) {
      for (const auto& m : warm.machines)
        fleet_.noteCachedImage(m, context_.replica.imageNumber(image), warm.gb);
    }
  }
  const PolicyState& s = replica_.state();
  std::int64_t time = context_.timeOfDay();
  windowDue_ = now >= windowEnds_;
  bool boundary = !s.massFailure && (s.openPeriodName.empty() ? replica_.nextPeriodOpensBy(time)
                                                              : time >= s.closesMs);
  due_ = windowDue_ || boundary || s.policyVersion != replica_.version();
}

LoopStep PolicyLoop::next() {
  if (!due_) return LoopStep::idle();
  due_ = false;
  bool window = std::exchange(windowDue_, false);
  if (window) {
    while (windowEnds_ <= context_.runtime.now())
      windowEnds_ = windowEnds_ + context_.settings.window;
  }
  const PolicyState& before = replica_.state();
  PolicyObservation observation = observe(window);
  PolicyState s = computePolicyState(replica_.policy().get(), replica_.version(), before,
                                     observation, context_.settings.spreadMultiple, random_);
  if (window) {
    measureCoverage(s);
    chooseWarmMachines(s);
  }
  if (s.openPeriodName != before.openPeriodName) {
    logInfo(s.openPeriodName.empty() ? "policy period closes" : "policy period opens", "period",
            s.openPeriodName.empty() ? before.openPeriodName : s.openPeriodName, "opened",
            s.openedCount, "closed", s.closedCount);
  }
  if (s.massFailure.has_value() != before.massFailure.has_value()) {
    logInfo(s.massFailure ? "mass failure begins" : "mass failure is over", "lost",
            s.massFailure ? s.massFailure->lost : before.massFailure->lost, "missing",
            observation.missingReplicas);
  }
  TransactionBuilder builder = context_.beginBounded();
  builder.add(
      {{{keys::kPolicyState, context_.replica.modRevisionOf(keys::kPolicyState)}},
       {{keys::kPolicyState, toJsonWithin(s, context_.platform.valueBytes), std::nullopt}}});
  // The charges record says up to when it counts, so what is not written now is written later.
  TransactionPart charges = window ? chargesPart(s, observation.nowMs) : TransactionPart{};
  if (!charges.writes.empty()) builder.add(charges);
  if (builder.empty()) return LoopStep::idle();
  return LoopStep::committing(
      Commit{builder.take(), [this] { context_.planInvalidated = true; }, "what is in force"});
}

PolicyObservation PolicyLoop::observe(bool windowEnds) {
  PolicyObservation s;
  s.nowMs = context_.timeOfDay();
  s.windowEnds = windowEnds;
  if (!windowEnds) return s;
  Instant now = context_.runtime.now();
  s.prioritizedMachines = prioritizedMachines();
  s.lost = fleet_.lostCount() - std::exchange(lostCountBefore_, fleet_.lostCount());
  s.neverBooted =
      fleet_.neverBootedCount() - std::exchange(neverBootedCountBefore_, fleet_.neverBootedCount());
  s.unreachableZones = static_cast<std::uint32_t>(fleet_.unreachableZones().size());
  std::map<ImageId, double> starts;
  for (const auto& [id, m] : fleet_.machines()) {
    if (!m.hasReported()) continue;
    ++s.machines;
    if (m.terminationNoticeEnds && machinesWithNotice_.insert(id).second) ++s.notices;
    for (const auto& [attempt, since] : m.firstSeenRunning) {
      const auto* job = context_.replica.job(attempt.task.job);
      if (job && job->record.spec && since > startsCountedUntil_) ++starts[job->record.spec->image];
    }
  }
  std::erase_if(machinesWithNotice_, [&](const MachineId& id) { return !fleet_.find(id); });
  // Tasks that were already running when this leader took over do not count as starts.
  if (startsCountedUntil_ != Instant{}) s.starts = std::move(starts);
  startsCountedUntil_ = now;
  for (const auto& [id, job] : context_.replica.liveJobs()) {
    if (!job->active() || !job->record.spec || !replica_.protects(*job->record.spec)) continue;
    std::uint32_t up = 0;
    for (const auto& [index, at] : job->placed) {
      const Machine* m = fleet_.find(at.machine);
      up += m && !m->terminationRequested && m->firstSeenRunning.contains({{id, index}, at.attempt})
                ? 1
                : 0;
    }
    s.missingReplicas += job->tasks - std::min(job->tasks, up);
  }
  return s;
}

// Returns the number of machines that prioritized jobs hold or wait for, as a sum of machine
// shares.
double PolicyLoop::prioritizedMachines() const {
  double sum = 0;
  for (const auto& [id, job] : context_.replica.liveJobs()) {
    if (!job->active() || !job->record.spec || replica_.priorityAdjustment(*job->record.spec) != 1)
      continue;
    double share = 1;
    for (const auto& type : context_.catalogue->types) {
      if (job->record.spec->allowsType(type.id)) {
        share = std::min(share, job->record.spec->perTask.shareOf(type.capacity));
      }
    }
    sum += share * static_cast<double>(job->placed.size() + job->waitingCount());
  }
  return sum;
}

void PolicyLoop::measureCoverage(PolicyState& s) const {
  s.coveredShare = 1;
  s.uncoveredReplicas = 0;
  if (!replica_.policy() || replica_.policy()->continuity.services.empty()) return;
  std::vector<CoverageMachine> machines;
  std::vector<CoverageReplicas> replicas;
  std::map<ZoneId, std::uint32_t> zones;
  Instant now = context_.runtime.now();
  for (const auto& [id, record] : context_.replica.machines()) {
    const Machine* m = fleet_.find(id);
    const MachineType* type = context_.catalogue->find(record.type);
    if (!m || !type || !fleet_.usable(*m, now)) continue;
    auto zone = zones.try_emplace(record.zone, static_cast<std::uint32_t>(zones.size())).first;
    CoverageMachine c{zone->second, record.spot ? 0.0 : 1.0, {}};
    for (const auto& image : m->images) {
      if (image.fetched) c.images.insert(image.id);
    }
    std::map<std::pair<std::uint32_t, double>, std::uint32_t> here;
    for (const auto& t : record.tasks) {
      const auto& spec = t.job->record.spec;
      if (!spec) continue;
      double share = spec->perTask.shareOf(type->capacity);
      if (replica_.protects(*spec)) {
        c.spare -= share;
        ++here[{t.job->image, share}];
      } else if (spec->kind == JobKind::service) {
        c.spare -= share;
      }
    }
    for (const auto& [kind, n] : here) {
      replicas.push_back({kind.first, kind.second, machines.size(), n});
    }
    machines.push_back(std::move(c));
  }
  FailoverCoverage worst = worstCoverage(
      machines, replicas, static_cast<std::size_t>(replica_.policy()->continuity.machines));
  s.coveredShare = worst.share();
  s.uncoveredReplicas = worst.displaced - worst.placed;
}

// Chooses the warm machines of each image. A chosen machine stays chosen as long as it holds the
// image; further machines come from the zones with the fewest chosen machines.
void PolicyLoop::chooseWarmMachines(PolicyState& s) const {
  if (!replica_.policy()) return;
  Instant now = context_.runtime.now();
  for (const auto& pool : replica_.policy()->pools) {
    double perHour = 0;  // hourly price of the chosen machines that run no task
    for (const auto& image : pool.images) {
      WarmImage& warm = s.pools[image];
      std::map<ZoneId, int> perZone;
      std::vector<const Machine*> candidates;
      std::set<MachineId> kept;
      auto take = [&](const Machine& m) {
        const auto* record = context_.replica.machine(m.id);
        const MachineType* type = context_.catalogue->find(m.type);
        bool idle = record && record->tasks.empty();
        double price = !type || !idle ? 0 : m.spot ? type->spotPrice : type->price;
        // A machine that would exceed the hourly budget of the pool is not chosen.
        if (pool.budgetPerHour > 0 && perHour + price > pool.budgetPerHour) return;
        if (kept.size() >= warm.wanted) return;
        perHour += price;
        ++perZone[m.zone];
        kept.insert(m.id);
      };
      for (const auto& [id, m] : fleet_.machines()) {
        if (!fleet_.usable(m, now)) continue;
        bool holds = std::any_of(m.images.begin(), m.images.end(), [&](const CachedImage& i) {
          bool it = i.fetched && context_.replica.imageNumber(image) == i.id;
          if (it) warm.gb = i.gb;
          return it;
        });
        if (!holds) continue;
        if (warm.machines.contains(id)) {
          take(m);
        } else {
          candidates.push_back(&m);
        }
      }
      while (!candidates.empty() && kept.size() < warm.wanted) {
        auto best = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto* a, const auto* b) { return perZone[a->zone] < perZone[b->zone]; });
        take(**best);
        candidates.erase(best);
      }
      warm.machines = std::move(kept);
    }
  }
}

// Returns the writes of the charges since the last charge record. The record holds the time up to
// which charges are counted, so that they are counted once, also across leader changes and repeated
// transactions.
TransactionPart PolicyLoop::chargesPart(const PolicyState& s, std::int64_t now) const {
  TransactionPart part;
  std::int64_t hour = now / kHourMs;
  std::int64_t through = now;
  if (!replica_.hours().empty()) through = replica_.hours().rbegin()->second.throughMs;
  if (now <= through && !replica_.hours().empty()) return part;
  ChargeRecord record;
  if (auto same = replica_.hours().find(hour); same != replica_.hours().end())
    record = same->second;
  std::map<MachineId, std::vector<TeamId>> wantedBy;
  if (replica_.policy()) {
    for (const auto& pool : replica_.policy()->pools) {
      for (const auto& image : pool.images) {
        auto warm = s.pools.find(image);
        if (warm == s.pools.end()) continue;
        for (const auto& m : warm->second.machines) wantedBy[m].push_back(pool.team);
      }
    }
  }
  for (const auto& [id, state] : context_.replica.machines()) {
    const MachineType* type = context_.catalogue->find(state.type);
    if (!type || state.rental.empty()) continue;
    const Machine* m = fleet_.find(id);
    MachineTime time;
    time.rentedAtMs = state.rentedAtMs;
    time.pricePerHour = state.spot ? type->spotPrice : type->price;
    time.hasReported = m && m->hasReported();
    for (const auto& task : state.tasks) {
      if (!task.job->record.spec) continue;
      const JobSpec& spec = *task.job->record.spec;
      time.used[spec.team] += spec.perTask.shareOf(type->capacity);
    }
    if (auto wanted = wantedBy.find(id); wanted != wantedBy.end()) time.poolTeams = wanted->second;
    kestrelhoist::charge(record.account, time, through, now);
  }
  record.throughMs = now;
  auto put = [&](const std::string& key, std::optional<Json> value) {
    part.compares.push_back({key, context_.replica.modRevisionOf(key)});
    part.writes.push_back({key, std::move(value), std::nullopt});
  };
  put(keys::numbered(keys::kChargesOfHour, hour), toJson(record));
  // The charges of each interval are added to the record of the hour. The oldest hour is merged
  // into the record of its day, and the oldest day is deleted.
  if (replica_.hours().size() > kMaxHourRecords && replica_.hours().begin()->first != hour) {
    const auto& [oldest, old] = *replica_.hours().begin();
    std::int64_t day = oldest * kHourMs / kDayMs;
    ChargeRecord whole;
    if (auto known = replica_.days().find(day); known != replica_.days().end())
      whole = known->second;
    whole.account.add(old.account);
    whole.throughMs = old.throughMs;
    put(keys::numbered(keys::kChargesOfDay, day), toJson(whole));
    put(keys::numbered(keys::kChargesOfHour, oldest), std::nullopt);
    // The policy state is one more write of the same transaction.
    if (part.writes.size() + 1 < context_.platform.transactionOps &&
        replica_.days().size() > kMaxDayRecords && replica_.days().begin()->first != day) {
      put(keys::numbered(keys::kChargesOfDay, replica_.days().begin()->first), std::nullopt);
    }
  }
  return part;
}

}  // namespace kestrelhoist
