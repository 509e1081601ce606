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
// A lease is at risk while no more heartbeats than this, the newest included, can still renew it.
constexpr int kTriesLeftAtRisk = 2;

}  // namespace

bool LeaseEstimate::wasAnswered(const HeartbeatArrival& previous, const HeartbeatArrival& next,
                                const LeaseTerms& terms) {
  if (previous.workerEpoch != next.workerEpoch || previous.receivedBy != next.receivedBy) {
    return false;
  }
  const Duration gap = next.at - previous.at;
  if (gap < kWorkerRetryAfterLostAnswer - kTransitSlack) return true;
  // A lone controller is the next one, too.
  if (terms.controllers == 1) return gap > kWorkerRetryAfterLostAnswer + kTransitSlack;
  // Before the worker came back to the same controller it would have tried the others.
  return next.sequence.value == previous.sequence.value + 1;
}

bool LeaseEstimate::onHeartbeat(const HeartbeatArrival& arrival, const LeaseTerms& terms) {
  const bool isOfKnownSession = newest_ && newest_->workerEpoch == arrival.workerEpoch;
  if (arrival.workerEpoch < workerEpoch_ ||
      (isOfKnownSession && arrival.sequence <= newest_->sequence)) {
    return false;
  }
  const bool isFirst = !newest_;
  if (isFirst) workerEpoch_ = arrival.workerEpoch;
  onSession(arrival.workerEpoch, arrival.at, terms);
  if (!isFirst) noteAnswerToNewest(arrival, terms);
  newest_ = arrival;
  return true;
}

// What the next heartbeat tells of the answer to the newest one.
void LeaseEstimate::noteAnswerToNewest(const HeartbeatArrival& next, const LeaseTerms& terms) {
  if (wasAnswered(*newest_, next, terms)) {
    renewedAt_ = newest_->at;
    lostAnswer_ = false;
  } else if (next.at - newest_->at >= kWorkerRetryAfterLostAnswer - kTransitSlack) {
    lostAnswer_ = true;
  }
}

void LeaseEstimate::onSession(WorkerEpoch workerEpoch, Instant now, const LeaseTerms& terms) {
  if (workerEpoch > workerEpoch_) return beginSession(workerEpoch, now, terms);
  const auto end = earliestEnd(terms);
  if (workerEpoch == workerEpoch_ && end && now > *end + kOutlivedAfter) noteOutlived(now, terms);
}

// The session began when the lease of the one before ended, at the latest now.
void LeaseEstimate::beginSession(WorkerEpoch workerEpoch, Instant seenAt, const LeaseTerms& terms) {
  renewedAt_ = std::min(earliestEnd(terms).value_or(seenAt), seenAt);
  lostAnswer_ = false;
  workerEpoch_ = workerEpoch;
}

// The newest heartbeat was answered after all, or another controller has answered since.
void LeaseEstimate::noteOutlived(Instant now, const LeaseTerms& terms) {
  const bool explains = newest_ && newest_->workerEpoch == workerEpoch_ &&
                        now <= newest_->at + terms.lease + kOutlivedAfter;
  renewedAt_ = explains ? std::optional(newest_->at) : std::nullopt;
}

std::optional<Instant> LeaseEstimate::earliestEnd(const LeaseTerms& terms) const {
  if (!renewedAt_) return std::nullopt;
  return *renewedAt_ + terms.lease;
}

bool LeaseEstimate::isAtRisk(const LeaseTerms& terms) const {
  const auto end = earliestEnd(terms);
  return lostAnswer_ && end && *end <= newest_->at + kTriesLeftAtRisk * kWorkerRetryAfterLostAnswer;
}

}  // namespace kestrelhoist
