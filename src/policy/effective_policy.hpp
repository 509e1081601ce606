/// \file
/// Defines the interface through which placement and scaling read the effective policy, which is
/// the policy document applied to the committed policy state. The default implementations
/// correspond to a cluster without a policy.
#pragma once

#include "jobs/spec.hpp"

namespace kestrelhoist {

/// Answers how the policy treats jobs and machines now. In the comments below a prioritized job is
/// one that the open calendar period lists under `first`, a yielding job one that it lists under
/// `yields`.
class EffectivePolicy {
 public:
  virtual ~EffectivePolicy() = default;
  /// Returns whether the job is a protected service. Protected services go before all batch jobs.
  virtual bool protects(const JobSpec&) const { return false; }
  /// Returns 1 if the job goes before other jobs of its priority, -1 if it yields to them, and 0
  /// otherwise.
  virtual int priorityAdjustment(const JobSpec&) const { return 0; }
  /// Returns whether a mass failure is in progress. Jobs that compete with the replacement of lost
  /// replicas wait until it is over.
  virtual bool massFailure() const { return false; }
  /// Returns how many of `machines` usable machines the yielding jobs may hold together while the
  /// prioritized jobs hold or wait for `prioritizedMachines` machines; nullopt if there is no
  /// bound.
  virtual std::optional<double> machinesForYielding(double machines,
                                                    double prioritizedMachines) const {
    (void)machines, (void)prioritizedMachines;
    return std::nullopt;
  }
  /// Returns the time until the next calendar period opens if the job will yield in that period;
  /// nullopt otherwise.
  virtual std::optional<Duration> untilYielding(const JobSpec&) const { return std::nullopt; }
  /// Returns whether the open period closes within the given time. Jobs that it holds back may
  /// start then, so machines for them are rented ahead.
  virtual bool periodClosesWithin(Duration) const { return false; }
  /// Returns how many machines the prioritized jobs of the next period are expected to need; 0 if
  /// it does not open within the given time.
  virtual double machinesForNextPeriod(Duration) const { return 0; }
  /// Returns whether a warm pool keeps the machine because it holds one of the pool's images.
  virtual bool isWarmMachine(const MachineId&) const { return false; }
};

}  // namespace kestrelhoist
