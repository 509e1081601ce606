#include "fleet/lease_estimate.hpp"

#include <algorithm>

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

// A heartbeat may take this much longer to arrive than the previous heartbeat.
constexpr Duration kTransitSlack{250};
// If a worker is still in the same session this long after the estimated expiry, its lease was
// renewed by an answer that this leader does not know.
constexpr Duration kOutlivedMargin{1000};
// A lease is at risk if it expires before this many further answers can be lost.
constexpr int kLostAnswersAtRisk = 2;

}  // namespace

bool LeaseEstimate::newestWasAnswered(const HeartbeatArrival& next, const LeaseTerms& terms) const {
  if (newest_->workerEpoch != next.workerEpoch || newest_->receivedBy != next.receivedBy) {
    return false;
  }
  const Duration gap = next.at - newest_->at;
  // After a lost answer the worker tries all other controllers before it reports to this controller
  // again.
  const auto otherControllers = static_cast<int>(terms.controllers) - 1;
  const Duration retryDelay =
      kWorkerRetryAfterLostAnswer + otherControllers * kWorkerNextControllerDelay;
  if (gap < retryDelay - kTransitSlack) return true;
  if (otherControllers == 0) return gap > retryDelay + kTransitSlack;
  return next.sequence.value == newest_->sequence.value + directAnswers_ + 1;
}

bool LeaseEstimate::onHeartbeat(const HeartbeatArrival& arrival, const LeaseTerms& terms) {
  const bool isOfKnownSession = newest_ && newest_->workerEpoch == arrival.workerEpoch;
  if (arrival.workerEpoch < workerEpoch_ ||
      (isOfKnownSession && arrival.sequence <= newest_->sequence)) {
    return false;
  }
  observeSession(arrival.workerEpoch, arrival.at, terms);
  if (newest_) noteAnswerToNewest(arrival, terms);
  if (!newest_ && !renewedAt_) beginUnknown(arrival, terms);
  newest_ = arrival;
  directAnswers_ = 0;
  return true;
}

void LeaseEstimate::adopt(const LeaseObservation& observation, const LeaseTerms& terms) {
  const HeartbeatArrival& other = observation.newest;
  if (other.workerEpoch < workerEpoch_) return;
  if (other.workerEpoch > workerEpoch_) {
    workerEpoch_ = other.workerEpoch;
    renewedAt_.reset();
    newest_.reset();
    unansweredSince_.reset();
    lostAnswer_ = false;
  }
  if (observation.renewedAt) {
    noteRenewed(std::max(renewedAt_.value_or(*observation.renewedAt), *observation.renewedAt));
  } else if (!renewedAt_) {
    unansweredSince_ = std::min(unansweredSince_.value_or(other.at), other.at);
  }
  const bool isNewer =
      !newest_ || newest_->workerEpoch < other.workerEpoch || newest_->sequence < other.sequence;
  if (isNewer) {
    newest_ = other;
    directAnswers_ = 0;
  }
  const Duration interval = maxHeartbeatInterval(terms.reportEvery) + kTransitSlack;
  const auto firstAt = renewedAt_ ? renewedAt_ : unansweredSince_;
  lostAnswer_ = lostAnswer_ || (firstAt && newest_->at - *firstAt > interval);
}

void LeaseEstimate::noteRenewed(Instant at) {
  renewedAt_ = at;
  unansweredSince_.reset();
}

std::optional<LeaseObservation> LeaseEstimate::observation() const {
  if (!newest_) return std::nullopt;
  return LeaseObservation{*newest_, renewedAt_};
}

void LeaseEstimate::noteEarlierAcknowledgement(Instant at) {
  earlierAcknowledgement_ = std::max(earlierAcknowledgement_.value_or(at), at);
}

void LeaseEstimate::beginUnknown(const HeartbeatArrival& arrival, const LeaseTerms& terms) {
  if (earlierAcknowledgement_) return beginFromEarlierAcknowledgement(arrival.at, terms);
  if (arrival.sequence.value > 1) unansweredSince_ = arrival.at;
}

// Starts the estimate from an acknowledgement by another controller. The acknowledgement reached
// the worker if the worker reports again before it would have stopped waiting. Otherwise the lease
// counts from the previous heartbeat, one interval earlier.
void LeaseEstimate::beginFromEarlierAcknowledgement(Instant arrivedAt, const LeaseTerms& terms) {
  lostAnswer_ = arrivedAt - *earlierAcknowledgement_ >= kWorkerRetryAfterLostAnswer - kTransitSlack;
  renewedAt_ = *earlierAcknowledgement_ -
               (lostAnswer_ ? maxHeartbeatInterval(terms.reportEvery) : Duration{0});
}

// Derives from the next heartbeat whether the answer to the newest heartbeat reached the worker.
void LeaseEstimate::noteAnswerToNewest(const HeartbeatArrival& next, const LeaseTerms& terms) {
  if (newestWasAnswered(next, terms)) {
    noteRenewed(newest_->at);
    lostAnswer_ = false;
  } else if (next.at - newest_->at >= kWorkerRetryAfterLostAnswer - kTransitSlack) {
    lostAnswer_ = true;
  }
}

void LeaseEstimate::onDirectAnswer(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms) {
  ++directAnswers_;
  observeSession(workerEpoch, now, terms);
}

void LeaseEstimate::observeSession(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms) {
  // The session may have begun long ago, so its start is not used.
  if (workerEpoch_ == WorkerEpoch{}) workerEpoch_ = workerEpoch;
  if (workerEpoch > workerEpoch_) return beginSession(workerEpoch, now, terms);
  const auto expiry = earliestExpiry(terms);
  if (workerEpoch == workerEpoch_ && expiry && now > *expiry + kOutlivedMargin)
    noteOutlived(now, terms);
}

// Starts a new session. The session began when the lease of the previous session expired, and no
// later than now.
void LeaseEstimate::beginSession(WorkerEpoch workerEpoch, Instant observedAt,
                                 const LeaseTerms& terms) {
  noteRenewed(std::min(earliestExpiry(terms).value_or(observedAt), observedAt));
  lostAnswer_ = false;
  workerEpoch_ = workerEpoch;
}

// Corrects the estimate for a session that continues after the estimated expiry: the answer to the
// newest heartbeat arrived, or another controller has answered the worker since. If only unanswered
// heartbeats are known, the controller that the worker tried before may instead have refused the
// connection at once.
void LeaseEstimate::noteOutlived(Instant now, const LeaseTerms& terms) {
  if (unansweredSince_) {
    noteRenewed(*unansweredSince_ - kWorkerNextControllerDelay -
                maxHeartbeatInterval(terms.reportEvery));
    return;
  }
  const bool newestExplainsRenewal = newest_ && newest_->workerEpoch == workerEpoch_ &&
                                     now <= newest_->at + terms.lease + kOutlivedMargin;
  renewedAt_ = newestExplainsRenewal ? std::optional(newest_->at) : std::nullopt;
}

std::optional<Instant> LeaseEstimate::earliestExpiry(const LeaseTerms& terms) const {
  if (renewedAt_) return *renewedAt_ + terms.lease;
  if (!unansweredSince_) return std::nullopt;
  // A worker changes to another controller after a lost answer; the last answered heartbeat was one
  // interval before the heartbeat whose answer was lost.
  return *unansweredSince_ - kWorkerRetryAfterLostAnswer - maxHeartbeatInterval(terms.reportEvery) +
         terms.lease;
}

bool LeaseEstimate::isAtRisk(const LeaseTerms& terms, Instant now) const {
  const auto expiry = earliestExpiry(terms);
  return expiry && isUncertain(terms, now) &&
         *expiry <= now + kLostAnswersAtRisk * kWorkerRetryAfterLostAnswer;
}

bool LeaseEstimate::isUncertain(const LeaseTerms& terms, Instant now) const {
  return lostAnswer_ || isOverdue(terms, now);
}

bool LeaseEstimate::isOverdue(const LeaseTerms& terms, Instant now) const {
  return newest_ && now - newest_->at > heartbeatDueAfter(terms.reportEvery);
}

}  // namespace kestrelhoist
