/// \file
/// Until when a worker's lease may be renewed by a controller whose records are as of a known
/// moment.
#pragma once

#include <algorithm>

#include "config/platform.hpp"

namespace kestrelhoist {

/// The rule: a task of a job that its user was told at `t` is cancelled is off its machine by
/// t + cancel (PROTOCOL, "Rules", ran_cancelled). A controller whose records are as of `r` (each
/// change committed before r is in them) answers at `a` a report that was sent at `s`.
///   t <= r: the cancellation is in the records, and the answer stops the job's tasks.
///   t >  r: the worker obeys nobody who knows of it. Its lease ends at s + lease, and s <= a, so
///           a - r + lease <= cancel is enough: then s + lease <= r + cancel < t + cancel.
/// `t` is when the first user hears of it, never before the commit. The lease counts from when the
/// report was sent (PROTOCOL, "Leases"), so whatever holds the report, the answer or this process
/// up between `s` and the worker only shortens the lease: nothing of that is in the sum, and an
/// answer needs no second check when it is sent on (by a relay, or after this process stood still).
/// Terms, all in steady time of different machines, at most 0.05% apart (PROTOCOL): a - r is
/// measured here, the lease by the worker, `cancel` by the user; twice that of (cancel - lease)
/// covers them. kSlack: how late a worker that just woke ends its tasks, and the user's and our own
/// timers.
class LeaseRenewal {
 public:
  static constexpr Duration kSlack{3000};

  explicit LeaseRenewal(const Platform& p)
      : longest_(std::max(Duration{0}, (p.cancelWithin - p.workerLease) * 999 / 1000 - kSlack)) {}

  /// The last instant at which a report may be answered with 200 from records as of `snapshotTime`.
  Instant until(Instant snapshotTime) const { return snapshotTime + longest_; }
  /// The same as an age; how long a worker that nobody hears may go on beyond its lease.
  Duration longest() const { return longest_; }

 private:
  Duration longest_;
};

}  // namespace kestrelhoist
