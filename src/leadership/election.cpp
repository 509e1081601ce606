#include "leadership/election.hpp"

#include <algorithm>

namespace kestrelhoist {

LeaderRecord Election::record() const {
  return {settings_.self, settings_.incarnation + "." + std::to_string(claims_)};
}

bool Election::isMine(const std::optional<LeaderRecord>& leader) const {
  return leader && leader->member == settings_.self && leader->incarnation == record().incarnation;
}

Election::Step Election::nextStep(Instant now, const View& view) {
  switch (role_) {
    case Role::granting:
    case Role::claiming:
      return Step::none;
    case Role::leader:
      // The lease has expired and the leader key was removed, or another controller owns the key.
      // The state service rejects every further transaction of this leader in both cases.
      if (view.fresh && (!isMine(view.leader) || view.token != token_)) {
        stepDown(now);
        return Step::none;
      }
      if (!renewalPending_ && now - lastRenewal_ >= settings_.renewInterval) {
        renewalPending_ = true;
        lastRenewal_ = now;
        return Step::renew;
      }
      return Step::none;
    case Role::follower:
      break;
  }
  if (!view.fresh) return Step::none;
  if (claims_ > 0 && lease_ && isMine(view.leader)) {
    // The state service has applied an earlier claim of this controller whose response was lost.
    role_ = Role::leader;
    token_ = view.token;
    renewalPending_ = false;
    lastRenewal_ = Instant{};
    return Step::none;
  }
  if (now < candidateFrom_) return Step::none;
  // A leader key with this controller's own name was written by an earlier incarnation. The claim
  // replaces it by comparing its revision.
  if (view.leader && view.leader->member != settings_.self) return Step::none;
  expectedToken_ = view.leader ? view.token : FencingToken{};
  role_ = Role::granting;
  return Step::grant;
}

void Election::onGranted(std::optional<LeaseId> lease) {
  if (role_ != Role::granting) return;
  lease_ = lease;
  role_ = lease ? Role::claiming : Role::follower;
  if (lease) ++claims_;
}

void Election::onClaimed(Instant now, const CommitResult& result) {
  if (role_ != Role::claiming) return;
  if (result.outcome == CommitOutcome::applied) {
    role_ = Role::leader;
    token_ = FencingToken{result.revision.value};
    renewalPending_ = false;
    lastRenewal_ = now;
    return;
  }
  role_ = Role::follower;
  // If there was no response, the claim may have been applied. The lease is kept so that nextStep()
  // can recognize this controller's own leader key.
  if (result.outcome != CommitOutcome::unknown) lease_.reset();
  candidateFrom_ = std::max(candidateFrom_, now + Duration{200});
}

void Election::onRenewed(LeaseOutcome outcome) {
  renewalPending_ = false;
  if (role_ == Role::leader && outcome == LeaseOutcome::notFound) {
    role_ = Role::follower;
    lease_.reset();
  }
}

bool Election::adoptRaisedToken(const std::optional<LeaderRecord>& leader,
                                FencingToken keyRevision) {
  if (role_ != Role::leader || !isMine(leader) || keyRevision <= token_) return false;
  token_ = keyRevision;
  return true;
}

void Election::stepDown(Instant until) {
  role_ = Role::follower;
  lease_.reset();
  renewalPending_ = false;
  backOff(until);
}

}  // namespace kestrelhoist
