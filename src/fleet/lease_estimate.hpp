/// \file
/// Estimates when a worker's lease can end, from the heartbeats that reached the leader.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// What leases of a deployment's workers depend on.
struct LeaseTerms {
  Duration lease{};        ///< of a worker
  Duration reportEvery{};  ///< the workers' heartbeat interval
  std::size_t controllers{};
};

/// A heartbeat as it reached the leader.
struct HeartbeatArrival {
  WorkerEpoch workerEpoch;
  ReportSequence sequence;
  MemberId receivedBy;  ///< the controller to which the worker sent it
  Instant at;
};

/// The lease of one worker, as far as a leader can know it.
///
/// A lease counts from the sending of the newest heartbeat whose answer the worker has accepted.
/// Whether it has shows in its next heartbeat: a worker that was answered stays with its controller
/// and reports again within its interval, one that was not goes on to the next controller.
///
/// An estimate tells when to ask a worker and where work had better not go. It never proves that
/// tasks have ended: only a report of a later session does.
class LeaseEstimate {
 public:
  /// Takes in a heartbeat. False if it is older than one that was taken in before: a copy, or one
  /// that arrived late; such a heartbeat changes nothing.
  bool onHeartbeat(const HeartbeatArrival& arrival, const LeaseTerms& terms);
  /// Any newer report, also the answer to a direct request, showed the worker in this session.
  void onSession(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms);

  /// The earliest end of the present lease; empty if nothing is known of it.
  std::optional<Instant> earliestEnd(const LeaseTerms& terms) const;
  /// Whether an answer was lost, and the lease ends if the next one or two are lost, too.
  bool isAtRisk(const LeaseTerms& terms) const;

 private:
  static bool wasAnswered(const HeartbeatArrival& previous, const HeartbeatArrival& next,
                          const LeaseTerms& terms);
  void noteAnswerToNewest(const HeartbeatArrival& next, const LeaseTerms& terms);
  void beginSession(WorkerEpoch workerEpoch, Instant seenAt, const LeaseTerms& terms);
  void noteOutlived(Instant now, const LeaseTerms& terms);

  WorkerEpoch workerEpoch_{};
  /// When the newest heartbeat that is known to be answered arrived, or the session began.
  std::optional<Instant> renewedAt_;
  std::optional<HeartbeatArrival> newest_;
  bool lostAnswer_ = false;  ///< no answer is known to have arrived since one was lost
};

}  // namespace kestrelhoist
