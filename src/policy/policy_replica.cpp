#include "policy/policy_replica.hpp"

#include <charconv>

#include "base/log.hpp"

namespace kestrelhoist {

Json toJson(const PolicyVersion& v) {
  return {{"version", v.version}, {"at", v.atMs}, {"by", v.by}, {"document", v.document}};
}

std::optional<PolicyVersion> policyVersionFromJson(const Json& v) {
  auto version = countField(v, "version");
  auto at = countField(v, "at");
  auto by = textField(v, "by");
  if (!version || !at || !by) return std::nullopt;
  const Json* document = field(v, "document");
  return PolicyVersion{*version, static_cast<std::int64_t>(*at), *by,
                       document ? *document : Json()};
}

bool PolicyReplica::owns(const std::string& key) const {
  return key.starts_with("kh/policy/") || key.starts_with("kh/paid/");
}

void PolicyReplica::apply(const std::string& key, const Json* value, Revision) {
  auto numbered = [&](const std::string& prefix, std::map<std::int64_t, ChargeRecord>& to) {
    std::int64_t n = 0;
    std::from_chars(key.data() + prefix.size(), key.data() + key.size(), n);
    auto record = value ? chargeRecordFromJson(*value) : std::nullopt;
    if (record) {
      to[n] = std::move(*record);
    } else {
      to.erase(n);
    }
  };
  if (key == keys::kPolicy) {
    current_ = value ? policyVersionFromJson(*value) : std::nullopt;
    policy_.reset();
    nextComputedForMs_ = -1;
    if (!current_ || current_->document.is_null()) return;
    try {
      policy_ = parsePolicy(current_->document);
    } catch (const std::exception& e) {
      logError("policy document can't be parsed; no policy is applied", "why", e.what());
    }
  } else if (key.starts_with(keys::kPolicyPast)) {
    auto past = value ? policyVersionFromJson(*value) : std::nullopt;
    if (!past) return;
    past_[past->version] = std::move(*past);
    while (past_.size() > kVersionsKept) past_.erase(past_.begin());
  } else if (key == keys::kPolicyState) {
    state_ = value ? policyStateFromJson(*value) : PolicyState{};
    warmMachines_.clear();
    for (const auto& [image, held] : state_.pools) {
      warmMachines_.insert(held.machines.begin(), held.machines.end());
    }
    nextComputedForMs_ = -1;
  } else if (key.starts_with(keys::kChargesOfHour)) {
    numbered(keys::kChargesOfHour, hours_);
  } else if (key.starts_with(keys::kChargesOfDay)) {
    numbered(keys::kChargesOfDay, days_);
  }
}

void PolicyReplica::clear() {
  auto time = std::move(timeOfDay);
  *this = PolicyReplica{};
  timeOfDay = std::move(time);
}

const Period* PolicyReplica::openPeriod() const {
  if (!policy_ || state_.openPeriodName.empty()) return nullptr;
  for (const auto& p : policy_->calendar.periods) {
    if (p.name == state_.openPeriodName) return &p;
  }
  return nullptr;
}

const std::optional<Occurrence>& PolicyReplica::nextOccurrence() const {
  if (nextComputedForMs_ != state_.appliedUntilMs) {
    nextComputedForMs_ = state_.appliedUntilMs;
    next_ = policy_ ? nextOccurrenceAfter(policy_->calendar, state_.appliedUntilMs) : std::nullopt;
  }
  return next_;
}

bool PolicyReplica::nextPeriodOpensBy(std::int64_t atMs) const {
  const auto& o = nextOccurrence();
  return o && o->opensMs <= atMs;
}

bool PolicyReplica::protects(const JobSpec& spec) const {
  return policy_ && spec.kind == JobKind::service && anyMatches(policy_->continuity.services, spec);
}

int PolicyReplica::priorityAdjustment(const JobSpec& spec) const {
  const Period* p = openPeriod();
  if (!p) return 0;
  if (anyMatches(p->first, spec)) return 1;
  return spec.kind != JobKind::service && anyMatches(p->yields, spec) ? -1 : 0;
}

// Leaves machines for the prioritized jobs, because yielding jobs on these machines would have to
// be preempted again. The number of machines is the largest of three: the predicted mean plus its
// spread, the peak of the period's most recent opening, and the current demand.
std::optional<double> PolicyReplica::machinesForYielding(double machines,
                                                         double prioritizedMachines) const {
  const Period* p = openPeriod();
  if (!p) return std::nullopt;
  double expectedDemand = state_.expectedDemand.mean + state_.expectedDemand.spread;
  if (auto last = state_.lastPeaks.find(p->name); last != state_.lastPeaks.end()) {
    expectedDemand = std::max(expectedDemand, last->second);
  }
  return std::max(p->floor * machines, machines - std::max(expectedDemand, prioritizedMachines));
}

std::optional<Duration> PolicyReplica::untilYielding(const JobSpec& spec) const {
  const auto& o = nextOccurrence();
  if (!o || openPeriod() || !timeOfDay || spec.kind == JobKind::service) return std::nullopt;
  if (!anyMatches(policy_->calendar.periods[o->period].yields, spec)) return std::nullopt;
  return Duration{std::max<std::int64_t>(0, o->opensMs - timeOfDay())};
}

bool PolicyReplica::periodClosesWithin(Duration within) const {
  return openPeriod() && timeOfDay && state_.closesMs - timeOfDay() <= within.count();
}

double PolicyReplica::machinesForNextPeriod(Duration within) const {
  const auto& o = nextOccurrence();
  if (!o || !timeOfDay || o->opensMs - timeOfDay() > within.count()) return 0;
  auto last = state_.lastPeaks.find(policy_->calendar.periods[o->period].name);
  return last == state_.lastPeaks.end() ? 0 : last->second;
}

}  // namespace kestrelhoist
