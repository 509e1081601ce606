/// \file
/// Estimates when a worker's lease can end, from the heartbeats that reached the leader.
#pragma once

#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

/// What leases of a deployment's workers depend on.
struct LeaseTerms {
  Duration lease{};           ///< of a worker
  Duration reportEvery{};     ///< the workers' heartbeat interval
  std::size_t controllers{};  ///< that a worker tries in turn
};

/// A heartbeat as it reached the leader.
struct HeartbeatArrival {
  WorkerEpoch workerEpoch;  ///< the session in which the worker sent it
  ReportSequence sequence;  ///< its place among the worker's messages of that session
  MemberId receivedBy;      ///< the controller to which the worker sent it
  Instant at;               ///< when it reached the leader
};

/// What one controller knows of a worker's lease.
struct LeaseSighting {
  HeartbeatArrival newest;  ///< the newest heartbeat that it knows of
  /// When the newest heartbeat that is known to be answered arrived, or the session began; empty if
  /// that is not known.
  std::optional<Instant> renewedAt;
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
  /// Another controller acknowledged a heartbeat that arrived there at `at`, before this
  /// leadership. Matters only until the first heartbeat is taken in.
  void noteEarlierAcknowledgement(Instant at);
  /// Takes in what a controller knows. Of several the newest counts, whatever their order.
  void adopt(const LeaseSighting& sighting, const LeaseTerms& terms);
  /// What is known from heartbeats; empty before the first one.
  std::optional<LeaseSighting> sighting() const;
  /// Takes in a heartbeat. False if it is older than one that was taken in before: a copy, or one
  /// that arrived late; such a heartbeat changes nothing.
  bool onHeartbeat(const HeartbeatArrival& arrival, const LeaseTerms& terms);
  /// The answer to a direct request, newer than all reports before it, showed the worker in this
  /// session.
  void onDirectAnswer(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms);

  /// The earliest end of the present lease; empty if nothing is known of it.
  std::optional<Instant> earliestEnd(const LeaseTerms& terms) const;
  /// Whether an answer was lost or a heartbeat is overdue.
  bool isUncertain(const LeaseTerms& terms, Instant now) const;
  /// Whether it is uncertain, and ends if the next one or two answers are lost, too.
  bool isAtRisk(const LeaseTerms& terms, Instant now) const;

 private:
  bool newestWasAnswered(const HeartbeatArrival& next, const LeaseTerms& terms) const;
  bool isOverdue(const LeaseTerms& terms, Instant now) const;
  void observeSession(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms);
  void beginUnknown(const HeartbeatArrival& arrival, const LeaseTerms& terms);
  void beginFromEarlierAcknowledgement(Instant heardAt, const LeaseTerms& terms);
  void noteAnswerToNewest(const HeartbeatArrival& next, const LeaseTerms& terms);
  void beginSession(WorkerEpoch workerEpoch, Instant seenAt, const LeaseTerms& terms);
  void noteOutlived(Instant now, const LeaseTerms& terms);
  void noteRenewed(Instant at);

  WorkerEpoch workerEpoch_{};  ///< 0: nothing was heard yet
  /// When the newest heartbeat that is known to be answered arrived, or the session began.
  std::optional<Instant> renewedAt_;
  std::optional<HeartbeatArrival> newest_;
  std::uint64_t directAnswers_ = 0;  ///< since the newest heartbeat: each took a sequence number
  std::optional<Instant> earlierAcknowledgement_;
  /// The oldest of the heartbeats that controllers told of as their newest, or the first one here:
  /// none is known to be answered.
  std::optional<Instant> unansweredSince_;
  bool lostAnswer_ = false;  ///< no answer is known to have arrived since one was lost
};

}  // namespace kestrelhoist
