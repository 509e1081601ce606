/// \file
/// Defines the leader's control loop for the policy. At the end of each forecast interval and when
/// a period opens or closes, it computes the policy state and commits it, together with the charges
/// since the previous commit, before any decision depends on it.
#pragma once

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"
#include "policy/failover_coverage.hpp"
#include "policy/policy_replica.hpp"

namespace kestrelhoist {

/// Computes and commits the policy state and the charges while this controller leads.
class PolicyLoop : public ControlLoop {
 public:
  PolicyLoop(LeaderContext& context, Fleet& fleet, PolicyReplica& replica)
      : context_(context), fleet_(fleet), replica_(replica), random_(context.token.value) {}

  LoopStep next() override;
  void onTimer() override;

 private:
  PolicyObservation observe(bool windowEnds);
  double prioritizedMachines() const;
  void measureCoverage(PolicyState& s) const;
  void chooseWarmMachines(PolicyState& s) const;
  TransactionPart chargesPart(const PolicyState& s, std::int64_t now) const;

  LeaderContext& context_;
  Fleet& fleet_;
  PolicyReplica& replica_;
  std::mt19937_64 random_;
  Instant windowEnds_{};
  bool due_ = false, windowDue_ = false;
  std::uint32_t lostCountBefore_ = 0, neverBootedCountBefore_ = 0;
  std::set<MachineId> machinesWithNotice_;
  Instant startsCountedUntil_{};
};

}  // namespace kestrelhoist
