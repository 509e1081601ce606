/// \file
/// Estimates when a worker's lease can expire, from the heartbeats that reached the leader.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// Holds the parameters on which the leases of a deployment's workers depend.
struct LeaseTerms {
  Duration lease{};           ///< Is the duration of a worker's lease.
  Duration reportEvery{};     ///< Is the workers' heartbeat interval.
  std::size_t controllers{};  ///< Is the number of controllers that a worker tries in turn.
};

/// Describes a heartbeat that reached the leader.
struct HeartbeatArrival {
  /// Identifies the worker session in which the worker sent the heartbeat.
  WorkerEpoch workerEpoch;
  /// Is the heartbeat's sequence number among the worker's messages of that session.
  ReportSequence sequence;
  MemberId receivedBy;  ///< Names the controller to which the worker sent the heartbeat.
  Instant at;           ///< Is the time at which the heartbeat reached the leader.
};

/// Holds one controller's observation of a worker's lease.
struct LeaseObservation {
  HeartbeatArrival newest;  ///< Is the newest heartbeat that the controller knows.
  /// Is the arrival time of the newest heartbeat whose answer is known to have reached the worker,
  /// or the start of the worker session; empty if neither is known.
  std::optional<Instant> renewedAt;
};

/// Estimates the lease of one worker.
///
/// A lease counts from the sending of the newest heartbeat whose answer the worker has received.
/// The worker's next heartbeat shows whether it received the answer: after an answer the worker
/// stays with the same controller and reports again within its heartbeat interval, and without one
/// it tries the next controller.
///
/// The estimate determines when the leader probes a worker and which machines it avoids for new
/// tasks. It never proves that tasks have ended: only a report of a later session does.
class LeaseEstimate {
 public:
  /// Records that another controller acknowledged a heartbeat that arrived there at `at`, before
  /// this leadership. The acknowledgement is used only until the first heartbeat is applied.
  void noteEarlierAcknowledgement(Instant at);
  /// Merges another controller's observation. The newest observation takes effect, whatever the
  /// order in which they are merged.
  void adopt(const LeaseObservation& observation, const LeaseTerms& terms);
  /// Returns the observation that results from the heartbeats; empty before the first heartbeat.
  std::optional<LeaseObservation> observation() const;
  /// Applies a heartbeat. Returns false and changes nothing if the heartbeat is a duplicate or
  /// older than one that was applied before.
  bool onHeartbeat(const HeartbeatArrival& arrival, const LeaseTerms& terms);
  /// Records that the answer to a direct request, newer than all earlier reports, shows the worker
  /// in the session `workerEpoch`.
  void onDirectAnswer(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms);

  /// Returns the earliest time at which the current lease can expire; empty if nothing is known
  /// about the lease.
  std::optional<Instant> earliestExpiry(const LeaseTerms& terms) const;
  /// Returns whether an answer was lost or a heartbeat is overdue.
  bool isUncertain(const LeaseTerms& terms, Instant now) const;
  /// Returns whether the lease is uncertain and expires if the next one or two answers are lost,
  /// too.
  bool isAtRisk(const LeaseTerms& terms, Instant now) const;

 private:
  bool newestWasAnswered(const HeartbeatArrival& next, const LeaseTerms& terms) const;
  bool isOverdue(const LeaseTerms& terms, Instant now) const;
  void observeSession(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms);
  void beginUnknown(const HeartbeatArrival& arrival, const LeaseTerms& terms);
  void beginFromEarlierAcknowledgement(Instant arrivedAt, const LeaseTerms& terms);
  void noteAnswerToNewest(const HeartbeatArrival& next, const LeaseTerms& terms);
  void beginSession(WorkerEpoch workerEpoch, Instant observedAt, const LeaseTerms& terms);
  void noteOutlived(Instant now, const LeaseTerms& terms);
  void noteRenewed(Instant at);

  WorkerEpoch workerEpoch_{};  ///< Is 0 until a first report arrives.
  /// Is the arrival time of the newest heartbeat whose answer is known to have reached the worker,
  /// or the start of the worker session.
  std::optional<Instant> renewedAt_;
  std::optional<HeartbeatArrival> newest_;
  /// Counts the answers to direct requests since the newest heartbeat. Each of them uses one
  /// sequence number.
  std::uint64_t directAnswers_ = 0;
  std::optional<Instant> earlierAcknowledgement_;
  /// Is the arrival time of the oldest known heartbeat while no heartbeat's answer is known to have
  /// reached the worker.
  std::optional<Instant> unansweredSince_;
  /// Is true from a lost answer until a later answer is known to have arrived.
  bool lostAnswer_ = false;
};

}  // namespace kestrelhoist
