/// \file
/// Computes until when a controller whose records are current as of a known time may renew a
/// worker's lease.
#pragma once

#include <algorithm>

#include "config/platform.hpp"

namespace kestrelhoist {

/// Computes the last time at which a controller may renew a lease from records of a given age.
///
/// The rule that must hold: if a user is notified at time `t` that a job is cancelled, the job's
/// tasks have left their machines by t + cancel (PROTOCOL, "Rules", ran_cancelled). A controller's
/// records contain every change that was committed before time `r`, and at time `a` the controller
/// answers a report that the worker sent at time `s`.
///   t <= r: the cancellation is in the records, and the answer stops the job's tasks.
///   t >  r: no controller that the worker obeys knows of the cancellation. The lease expires at
///           s + lease, and s <= a, so a - r + lease <= cancel is sufficient, because then
///           s + lease <= r + cancel < t + cancel.
/// `t` is the time at which the first user is notified, which is never before the commit. The lease
/// counts from the sending of the report (PROTOCOL, "Leases"), so any delay of the report, of the
/// answer or of this process after `s` only shortens the lease. The inequality therefore needs no
/// term for such delays, and an answer that is forwarded, or sent after this process was suspended,
/// needs no second check.
/// All times are steady time, but different machines measure them, with clocks that drift at most
/// 0.05% apart (PROTOCOL): this controller measures a - r, the worker measures the lease, and the
/// user measures `cancel`. The factor 999 / 1000 on (cancel - lease), which is twice that drift,
/// covers the difference. kSlack covers the delay with which a worker that was just resumed ends
/// its tasks, and the delays of the user's timers and of the controller's own timers.
class LeaseRenewal {
 public:
  static constexpr Duration kSlack{3000};

  explicit LeaseRenewal(const Platform& p)
      : maxRecordAge_(
            std::max(Duration{0}, (p.cancelWithin - p.workerLease) * 999 / 1000 - kSlack)) {}

  /// Returns the last time at which a report may be answered with 200 from records that are current
  /// as of `snapshotTime`.
  Instant renewableUntil(Instant snapshotTime) const { return snapshotTime + maxRecordAge_; }
  /// Returns the maximum age of the records from which a lease may be renewed. A worker that this
  /// leader can't reach may continue for at most this long after its lease would otherwise expire.
  Duration maxRecordAge() const { return maxRecordAge_; }

 private:
  Duration maxRecordAge_;
};

}  // namespace kestrelhoist
