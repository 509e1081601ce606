#include "policy/policy_state.hpp"

#include <algorithm>
#include <cmath>

#include "base/machine_share.hpp"

namespace kestrelhoist {
namespace {

// A mass failure begins if one forecast interval loses at least this number and this share of the
// machines.
constexpr std::uint32_t kMassFailureMinMachines = 3;
constexpr double kMassFailureMinShare = 0.05;
// A mass failure ends after this number of forecast intervals without a loss or a repair.
constexpr std::uint32_t kMaxIntervalsWithoutChange = 6;

void openPeriod(PolicyState& s, const Calendar& c, const Occurrence& o, std::int64_t now) {
  s.openPeriodName = c.periods[o.period].name;
  s.openedAtMs = now;
  s.closesMs = o.closesMs;
  s.peak = 0;
  ++s.openedCount;
}

void closePeriod(PolicyState& s) {
  if (s.openPeriodName.empty()) return;
  if (s.peak > 0) s.lastPeaks[s.openPeriodName] = s.peak;
  s.openPeriodName.clear();
  s.closesMs = 0;
  ++s.closedCount;
}

// Opens and closes periods that are due. Each period opens once and closes once, because
// `appliedUntilMs` never decreases, even if clocks step, the leader changes or the state service is
// unavailable.
void advanceCalendar(PolicyState& s, const Calendar& c, bool edited, std::int64_t now) {
  auto current = occurrenceAt(c, now);
  if (edited) {
    // An edit of the policy document while a period is open takes effect in a single transaction.
    bool stays = current && c.periods[current->period].name == s.openPeriodName;
    if (stays) {
      s.closesMs = current->closesMs;
    } else {
      closePeriod(s);
      if (current) openPeriod(s, c, *current, now);
    }
  } else if (s.openPeriodName.empty() ? current.has_value() : now >= s.closesMs) {
    closePeriod(s);
    if (current) openPeriod(s, c, *current, now);
  }
}

void trackMassFailure(PolicyState& s, const PolicyObservation& observation) {
  std::uint32_t losses = observation.lost + observation.notices + observation.neverBooted;
  bool many = losses >= std::max<double>(kMassFailureMinMachines,
                                         kMassFailureMinShare * observation.machines);
  bool hit = many || observation.unreachableZones > 0;
  if (!s.massFailure) {
    if (hit)
      s.massFailure = MassFailure{observation.nowMs, losses, 1, 0, observation.missingReplicas};
    return;
  }
  MassFailure& massFailure = *s.massFailure;
  massFailure.lost += losses;
  if (hit) ++massFailure.waves;
  bool repaired = observation.missingReplicas < massFailure.missingReplicas;
  massFailure.intervalsWithoutChange = hit || repaired ? 0 : massFailure.intervalsWithoutChange + 1;
  massFailure.missingReplicas = observation.missingReplicas;
  // The mass failure is over when all protected replicas are up again, or when the number
  // of missing replicas no longer falls, which means that no machine can hold them.
  if (!hit && (observation.missingReplicas == 0 ||
               massFailure.intervalsWithoutChange >= kMaxIntervalsWithoutChange))
    s.massFailure.reset();
}

}  // namespace

PolicyState computePolicyState(const Policy* policy, std::uint64_t version,
                               const PolicyState& before, const PolicyObservation& observation,
                               double spreadMultiple, std::mt19937_64& random) {
  PolicyState s = before;
  std::int64_t now = std::max(observation.nowMs, before.appliedUntilMs);
  bool edited = version != before.policyVersion;
  s.policyVersion = version;
  if (observation.windowEnds) trackMassFailure(s, observation);
  static const Calendar kNone;
  const Calendar& calendar = policy ? policy->calendar : kNone;
  // No period opens or closes during a mass failure; those that are due follow when it is over.
  if (!s.massFailure || edited) {
    advanceCalendar(s, calendar, edited, now);
    s.appliedUntilMs = now;
  }
  if (observation.windowEnds && !s.openPeriodName.empty()) {
    s.peak = std::max(s.peak, observation.prioritizedMachines);
    s.demandForecast.observe(observation.prioritizedMachines);
    s.expectedDemand = s.demandForecast.predict(random);
  }
  if (!policy) {
    s.pools.clear();
    return s;
  }
  std::map<ImageId, WarmImage> pools;
  for (const auto& pool : policy->pools) {
    for (const auto& image : pool.images) {
      WarmImage& held = pools[image];
      if (auto old = s.pools.find(image); old != s.pools.end()) held = std::move(old->second);
      if (observation.windowEnds) {
        auto starts = observation.starts.find(image);
        held.starts.observe(starts == observation.starts.end() ? 0 : starts->second);
      }
      auto p = held.starts.predict(random);
      double windows = std::max(1.0, toSeconds(pool.ahead) / 10.0);
      // The size of the warm pool follows Aquatope: the mean of the starts expected within `ahead`,
      // plus their spread times a factor.
      double wanted = p.mean * windows + spreadMultiple * p.spread * std::sqrt(windows);
      held.wanted = std::clamp(static_cast<std::uint32_t>(std::ceil(wanted - 1e-6)),
                               pool.minMachines, pool.maxMachines);
    }
  }
  s.pools = std::move(pools);
  return s;
}

std::vector<std::uint32_t> maxTasksOfYieldingJobs(const std::vector<YieldingJob>& jobs,
                                                  double machines) {
  std::vector<std::uint32_t> maxTasks(jobs.size(), 0);
  std::vector<std::size_t> unsatisfied(jobs.size());
  for (std::size_t j = 0; j < jobs.size(); ++j) unsatisfied[j] = j;
  // Each job may run one task, so that no job waits longer than four minutes for its first task.
  for (auto j : unsatisfied) {
    if (jobs[j].waiting + jobs[j].held > 0) maxTasks[j] = 1;
    machines -= maxTasks[j] * countedShare(jobs[j].share);
  }
  // The remaining machines are shared evenly. A job that needs less than an even share leaves the
  // difference to the other jobs.
  while (!unsatisfied.empty() && machines > 1e-6) {
    double evenShare = machines / static_cast<double>(unsatisfied.size());
    double allocated = 0;
    std::vector<std::size_t> remaining;
    for (auto j : unsatisfied) {
      std::uint32_t wants = jobs[j].waiting + jobs[j].held;
      std::uint32_t additional =
          tasksFor(evenShare, jobs[j].share, wants > maxTasks[j] ? wants - maxTasks[j] : 0);
      maxTasks[j] += additional;
      allocated += additional * countedShare(jobs[j].share);
      if (maxTasks[j] < wants) remaining.push_back(j);
    }
    machines -= allocated;
    if (allocated <= 1e-9) break;
    unsatisfied = std::move(remaining);
  }
  return maxTasks;
}

Json toJson(const PolicyState& s) {
  Json v = s.unknownFields;
  v["policy"] = s.policyVersion;
  v["acted"] = s.appliedUntilMs;
  v["open"] = s.openPeriodName;
  v["since"] = s.openedAtMs;
  v["closes"] = s.closesMs;
  v["opened"] = s.openedCount;
  v["closed"] = s.closedCount;
  v["peak"] = s.peak;
  v["last"] = s.lastPeaks;
  v["day"] = s.demandForecast.toJson();
  v["expected"] = {s.expectedDemand.mean, s.expectedDemand.spread};
  v["covered"] = s.coveredShare;
  v["uncovered"] = s.uncoveredReplicas;
  v.erase("storm");
  if (s.massFailure) {
    v["storm"] = {{"since", s.massFailure->sinceMs},
                  {"lost", s.massFailure->lost},
                  {"waves", s.massFailure->waves},
                  {"calm", s.massFailure->intervalsWithoutChange},
                  {"missing", s.massFailure->missingReplicas}};
  }
  Json pools = Json::object();
  for (const auto& [image, held] : s.pools) {
    Json names = Json::array();
    for (const auto& m : held.machines) names.push_back(m.value);
    pools[image.value] = {
        {"wanted", held.wanted}, {"on", names}, {"gb", held.gb}, {"starts", held.starts.toJson()}};
  }
  v["pools"] = std::move(pools);
  return v;
}

PolicyState policyStateFromJson(const Json& v) {
  PolicyState s;
  if (!v.is_object()) return s;
  s.unknownFields = v;
  for (const char* known :
       {"policy", "acted", "open", "since", "closes", "opened", "closed", "peak", "last", "day",
        "expected", "covered", "uncovered", "storm", "pools"}) {
    s.unknownFields.erase(known);
  }
  auto ms = [&](const char* name) {
    return static_cast<std::int64_t>(countField(v, name).value_or(0));
  };
  s.policyVersion = countField(v, "policy").value_or(0);
  s.appliedUntilMs = ms("acted");
  s.openPeriodName = textField(v, "open").value_or("");
  s.openedAtMs = ms("since");
  s.closesMs = ms("closes");
  s.openedCount = countField(v, "opened").value_or(0);
  s.closedCount = countField(v, "closed").value_or(0);
  s.peak = numberField(v, "peak").value_or(0);
  s.coveredShare = numberField(v, "covered").value_or(1);
  s.uncoveredReplicas = static_cast<std::uint32_t>(countField(v, "uncovered").value_or(0));
  if (const Json* last = field(v, "last"); last && last->is_object()) {
    for (const auto& [name, n] : last->items()) {
      if (n.is_number()) s.lastPeaks[name] = n.get<double>();
    }
  }
  if (const Json* day = field(v, "day")) s.demandForecast.fromJson(*day);
  if (const Json* e = field(v, "expected");
      e && e->is_array() && e->size() == 2 && (*e)[0].is_number() && (*e)[1].is_number()) {
    s.expectedDemand = {(*e)[0].get<double>(), (*e)[1].get<double>()};
  }
  if (const Json* massFailure = field(v, "storm")) {
    auto n = [&](const char* name) {
      return static_cast<std::uint32_t>(countField(*massFailure, name).value_or(0));
    };
    s.massFailure =
        MassFailure{static_cast<std::int64_t>(countField(*massFailure, "since").value_or(0)),
                    n("lost"), n("waves"), n("calm"), n("missing")};
  }
  if (const Json* pools = field(v, "pools"); pools && pools->is_object()) {
    for (const auto& [image, p] : pools->items()) {
      WarmImage& held = s.pools[ImageId{image}];
      held.wanted = static_cast<std::uint32_t>(countField(p, "wanted").value_or(0));
      held.gb = numberField(p, "gb").value_or(0);
      if (const Json* on = field(p, "on"); on && on->is_array()) {
        for (const auto& m : *on) {
          if (auto name = textOf(m)) held.machines.insert(MachineId{*name});
        }
      }
      if (const Json* starts = field(p, "starts")) held.starts.fromJson(*starts);
    }
  }
  return s;
}

}  // namespace kestrelhoist
