#include "fleet/lease_estimate.hpp"

#include <algorithm>

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

// How much a heartbeat's way here may take longer than that of the one before.
constexpr Duration kTransitSlack{250};
// A worker that is seen in the same session so long after the estimated end was renewed by an
// answer that this leader does not know of.
constexpr Duration kOutlivedAfter{1000};
// A lease is at risk if it ends before this many lost answers from now.
constexpr int kTriesLeftAtRisk = 2;

}  // namespace

bool LeaseEstimate::newestWasAnswered(const HeartbeatArrival& next, const LeaseTerms& terms) const {
  if (newest_->workerEpoch != next.workerEpoch || newest_->receivedBy != next.receivedBy) {
    return false;
  }
  const Duration gap = next.at - newest_->at;
  // After a lost answer the worker tries all other controllers before it comes back to this one.
  const auto others = static_cast<int>(terms.controllers) - 1;
  const Duration back = kWorkerRetryAfterLostAnswer + others * kWorkerNextControllerDelay;
  if (gap < back - kTransitSlack) return true;
  if (others == 0) return gap > back + kTransitSlack;
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

void LeaseEstimate::adopt(const LeaseSighting& sighting, const LeaseTerms& terms) {
  const HeartbeatArrival& theirs = sighting.newest;
  if (theirs.workerEpoch < workerEpoch_) return;
  if (theirs.workerEpoch > workerEpoch_) {
    workerEpoch_ = theirs.workerEpoch;
    renewedAt_.reset();
    newest_.reset();
    unansweredSince_.reset();
    lostAnswer_ = false;
  }
  if (sighting.renewedAt) {
    noteRenewed(std::max(renewedAt_.value_or(*sighting.renewedAt), *sighting.renewedAt));
  } else if (!renewedAt_) {
    unansweredSince_ = std::min(unansweredSince_.value_or(theirs.at), theirs.at);
  }
  const bool isNewer =
      !newest_ || newest_->workerEpoch < theirs.workerEpoch || newest_->sequence < theirs.sequence;
  if (isNewer) {
    newest_ = theirs;
    directAnswers_ = 0;
  }
  const Duration interval = maxHeartbeatInterval(terms.reportEvery) + kTransitSlack;
  const auto since = renewedAt_ ? renewedAt_ : unansweredSince_;
  lostAnswer_ = lostAnswer_ || (since && newest_->at - *since > interval);
}

void LeaseEstimate::noteRenewed(Instant at) {
  renewedAt_ = at;
  unansweredSince_.reset();
}

std::optional<LeaseSighting> LeaseEstimate::sighting() const {
  if (!newest_) return std::nullopt;
  return LeaseSighting{*newest_, renewedAt_};
}

void LeaseEstimate::noteEarlierAcknowledgement(Instant at) {
  earlierAcknowledgement_ = std::max(earlierAcknowledgement_.value_or(at), at);
}

void LeaseEstimate::beginUnknown(const HeartbeatArrival& arrival, const LeaseTerms& terms) {
  if (earlierAcknowledgement_) return beginFromEarlierAcknowledgement(arrival.at, terms);
  if (arrival.sequence.value > 1) unansweredSince_ = arrival.at;
}

// The answer arrived if the worker reports again before it would have given up waiting. Else the
// one before it is the last that did, an interval earlier.
void LeaseEstimate::beginFromEarlierAcknowledgement(Instant heardAt, const LeaseTerms& terms) {
  lostAnswer_ = heardAt - *earlierAcknowledgement_ >= kWorkerRetryAfterLostAnswer - kTransitSlack;
  renewedAt_ = *earlierAcknowledgement_ -
               (lostAnswer_ ? maxHeartbeatInterval(terms.reportEvery) : Duration{0});
}

// What the next heartbeat tells of the answer to the newest one.
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
  if (workerEpoch_ == WorkerEpoch{}) workerEpoch_ = workerEpoch;  // may have begun long ago
  if (workerEpoch > workerEpoch_) return beginSession(workerEpoch, now, terms);
  const auto end = earliestEnd(terms);
  if (workerEpoch == workerEpoch_ && end && now > *end + kOutlivedAfter) noteOutlived(now, terms);
}

// The session began when the lease of the one before ended, at the latest now.
void LeaseEstimate::beginSession(WorkerEpoch workerEpoch, Instant seenAt, const LeaseTerms& terms) {
  noteRenewed(std::min(earliestEnd(terms).value_or(seenAt), seenAt));
  lostAnswer_ = false;
  workerEpoch_ = workerEpoch;
}

// The newest heartbeat was answered after all, or another controller has answered since. Where only
// unanswered heartbeats are known, the one before them may have been refused at once instead.
void LeaseEstimate::noteOutlived(Instant now, const LeaseTerms& terms) {
  if (unansweredSince_) {
    noteRenewed(*unansweredSince_ - kWorkerNextControllerDelay -
                maxHeartbeatInterval(terms.reportEvery));
    return;
  }
  const bool explains = newest_ && newest_->workerEpoch == workerEpoch_ &&
                        now <= newest_->at + terms.lease + kOutlivedAfter;
  renewedAt_ = explains ? std::optional(newest_->at) : std::nullopt;
}

std::optional<Instant> LeaseEstimate::earliestEnd(const LeaseTerms& terms) const {
  if (renewedAt_) return *renewedAt_ + terms.lease;
  if (!unansweredSince_) return std::nullopt;
  // A worker comes to another controller after a lost answer, and an interval before that one.
  return *unansweredSince_ - kWorkerRetryAfterLostAnswer - maxHeartbeatInterval(terms.reportEvery) +
         terms.lease;
}

bool LeaseEstimate::isAtRisk(const LeaseTerms& terms, Instant now) const {
  const auto end = earliestEnd(terms);
  return end && isUncertain(terms, now) &&
         *end <= now + kTriesLeftAtRisk * kWorkerRetryAfterLostAnswer;
}

bool LeaseEstimate::isUncertain(const LeaseTerms& terms, Instant now) const {
  return lostAnswer_ || isOverdue(terms, now);
}

bool LeaseEstimate::isOverdue(const LeaseTerms& terms, Instant now) const {
  return newest_ && now - newest_->at > heartbeatDueAfter(terms.reportEvery);
}

}  // namespace kestrelhoist
