/// \file
/// Defines the in-memory replica of the policy document, the policy state and the charge records.
#pragma once

#include "policy/charges.hpp"
#include "policy/effective_policy.hpp"
#include "policy/policy_state.hpp"
#include "store/record_handler.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kPolicy = "kh/policy/now";
/// Keys of past versions consist of this prefix and the version modulo kVersionsKept.
inline const std::string kPolicyPast = "kh/policy/past/";
inline const std::string kPolicyState = "kh/policy/standing";
inline const std::string kChargesOfHour = "kh/paid/hour/";
inline const std::string kChargesOfDay = "kh/paid/day/";
/// Returns `prefix` followed by `n` with leading zeros, so that keys sort by number.
inline std::string numbered(const std::string& prefix, std::int64_t n) {
  std::string digits = std::to_string(n);
  return prefix + std::string(digits.size() < 10 ? 10 - digits.size() : 0, '0') + digits;
}
}  // namespace keys

/// Holds one version of the policy document as it is stored in the state service.
struct PolicyVersion {
  std::uint64_t version{};
  std::int64_t atMs{};  ///< time of day
  std::string by;       ///< names the operator's request that has set this version
  Json document;        ///< is null if this version clears the policy
};
Json toJson(const PolicyVersion& v);
std::optional<PolicyVersion> policyVersionFromJson(const Json& v);

/// Applies the records of the policy to an in-memory copy and answers queries about the effective
/// policy from it.
class PolicyReplica : public RecordHandler, public EffectivePolicy {
 public:
  static constexpr std::uint64_t kVersionsKept = 8;

  bool owns(const std::string& key) const override;
  void apply(const std::string& key, const Json* value, Revision modRevision) override;
  void clear() override;

  const std::optional<PolicyVersion>& current() const { return current_; }
  const std::map<std::uint64_t, PolicyVersion>& past() const { return past_; }
  /// Returns the parsed policy; null if none is set or this version of the program can't parse it.
  const std::shared_ptr<const Policy>& policy() const { return policy_; }
  std::uint64_t version() const { return current_ ? current_->version : 0; }
  const PolicyState& state() const { return state_; }
  bool active() const { return current_.has_value(); }
  /// Returns whether the next period opens at or before this time of day. The answer is only valid
  /// while no period is open.
  bool nextPeriodOpensBy(std::int64_t atMs) const;
  const std::map<std::int64_t, ChargeRecord>& hours() const { return hours_; }
  const std::map<std::int64_t, ChargeRecord>& days() const { return days_; }
  /// Returns the time of day, from which the time to the next opening or closing is computed.
  std::function<std::int64_t()> timeOfDay;

  bool protects(const JobSpec& spec) const override;
  int priorityAdjustment(const JobSpec& spec) const override;
  bool massFailure() const override { return state_.massFailure.has_value(); }
  std::optional<double> machinesForYielding(double machines,
                                            double prioritizedMachines) const override;
  std::optional<Duration> untilYielding(const JobSpec& spec) const override;
  bool periodClosesWithin(Duration within) const override;
  double machinesForNextPeriod(Duration within) const override;
  bool isWarmMachine(const MachineId& machine) const override {
    return warmMachines_.contains(machine);
  }

 private:
  const Period* openPeriod() const;
  const std::optional<Occurrence>& nextOccurrence() const;

  std::optional<PolicyVersion> current_;
  std::map<std::uint64_t, PolicyVersion> past_;
  std::shared_ptr<const Policy> policy_;
  PolicyState state_;
  std::set<MachineId> warmMachines_;
  std::map<std::int64_t, ChargeRecord> hours_, days_;
  mutable std::optional<Occurrence> next_;
  /// Holds the `appliedUntilMs` of the policy state for which `next_` was computed.
  mutable std::int64_t nextComputedForMs_ = -1;
};

}  // namespace kestrelhoist
