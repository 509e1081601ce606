/// \file
/// A controller's copy of the policy, of what of it is in force, and of who paid.
#pragma once

#include "policy/charges.hpp"
#include "policy/effective_policy.hpp"
#include "policy/policy_state.hpp"
#include "store/record_handler.hpp"

namespace kestrelhoist {

namespace keys {
inline const std::string kPolicy = "kh/policy/now";
inline const std::string kPolicyPast =
    "kh/policy/past/";  ///< by the version's last digit, so bounded
inline const std::string kPolicyState = "kh/policy/standing";
inline const std::string kChargesOfHour = "kh/paid/hour/";
inline const std::string kChargesOfDay = "kh/paid/day/";
inline std::string numbered(const std::string& prefix, std::int64_t n) {
  std::string digits = std::to_string(n);
  return prefix + std::string(digits.size() < 10 ? 10 - digits.size() : 0, '0') + digits;
}
}  // namespace keys

struct PolicyVersion {
  std::uint64_t version{};
  std::int64_t atMs{};  ///< time of day
  std::string by;       ///< the controller that wrote it
  Json document;        ///< null: cleared
};
Json toJson(const PolicyVersion& v);
std::optional<PolicyVersion> policyVersionFrom(const Json& v);

class PolicyReplica : public RecordHandler, public EffectivePolicy {
 public:
  static constexpr std::uint64_t kVersionsKept = 8;

  bool owns(const std::string& key) const override;
  void apply(const std::string& key, const Json* value, Revision modRevision) override;
  void clear() override;

  const std::optional<PolicyVersion>& current() const { return current_; }
  const std::map<std::uint64_t, PolicyVersion>& past() const { return past_; }
  /// Null: none is set, or it can't be read by this version of the program.
  const std::shared_ptr<const Policy>& policy() const { return policy_; }
  std::uint64_t version() const { return current_ ? current_->version : 0; }
  const PolicyState& state() const { return state_; }
  bool active() const { return current_.has_value(); }
  /// Whether a period has opened by then, if none is open.
  bool opensBy(std::int64_t atMs) const;
  const std::map<std::int64_t, ChargeRecord>& hours() const { return hours_; }
  const std::map<std::int64_t, ChargeRecord>& days() const { return days_; }
  /// How time of day is told; for what is to come.
  std::function<std::int64_t()> timeOfDay;

  bool protects(const JobSpec& spec) const override;
  int priorityAdjustment(const JobSpec& spec) const override;
  bool massFailure() const override { return state_.massFailure.has_value(); }
  std::optional<double> machinesForYielding(double machines, double first) const override;
  std::optional<Duration> untilYielding(const JobSpec& spec) const override;
  bool returnsWithin(Duration within) const override;
  double machinesAhead(Duration within) const override;
  bool keepsWarm(const MachineId& machine) const override {
    return warmMachines_.contains(machine);
  }

 private:
  const Period* open() const;
  const std::optional<Occurrence>& next() const;

  std::optional<PolicyVersion> current_;
  std::map<std::uint64_t, PolicyVersion> past_;
  std::shared_ptr<const Policy> policy_;
  PolicyState state_;
  std::set<MachineId> warmMachines_;
  std::map<std::int64_t, ChargeRecord> hours_, days_;
  mutable std::optional<Occurrence> next_;
  mutable std::int64_t nextOf_ = -1;  ///< for which standing it was computed
};

}  // namespace kestrelhoist
