/// \file
/// What the policy says of work at this moment, as it is committed in the shared state: the seam
/// between the policy and those who place and rent. Without a policy nothing of it says anything.
#pragma once

#include "jobs/spec.hpp"

namespace kestrelhoist {

class EffectivePolicy {
 public:
  virtual ~EffectivePolicy() = default;
  /// Services that are kept whatever happens: before all batch work.
  virtual bool protects(const JobSpec&) const { return false; }
  /// Within its rank: 1 goes first, -1 yields, 0 neither.
  virtual int priorityAdjustment(const JobSpec&) const { return 0; }
  /// A storm: losses are being repaired, and what competes with that waits.
  virtual bool massFailure() const { return false; }
  /// Of so many usable machines, those that work which yields may hold while those who go first
  /// take and wait for so many; empty: no bound.
  virtual std::optional<double> machinesForYielding(double machines, double first) const {
    (void)machines, (void)first;
    return std::nullopt;
  }
  /// Work that will have to yield when the next period opens, in so much time.
  virtual std::optional<Duration> untilYielding(const JobSpec&) const { return std::nullopt; }
  /// What is held back may begin within this time: room for it is rented ahead.
  virtual bool returnsWithin(Duration) const { return false; }
  /// Machines that the next opening's work will need, if it is within this time.
  virtual double machinesAhead(Duration) const { return 0; }
  /// Machines kept because they hold an image ahead of a burst.
  virtual bool keepsWarm(const MachineId&) const { return false; }
};

}  // namespace kestrelhoist
