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
      // The key is gone (the lease ended) or another member has it, so all our writes fail by now.
      if (view.fresh && (!isMine(view.leader) || view.token != token_)) {
        stepDown(now);
        return Step::none;
      }
      if (!renewing_ && now - lastRenew_ >= settings_.renewEvery) {
        renewing_ = true;
        lastRenew_ = now;
        return Step::renew;
      }
      return Step::none;
    case Role::follower:
      break;
  }
  if (!view.fresh) return Step::none;
  if (claims_ > 0 && lease_ && isMine(view.leader)) {
    // A claim whose response was lost has been applied.
    role_ = Role::leader;
    token_ = view.token;
    renewing_ = false;
    lastRenew_ = Instant{};
    return Step::none;
  }
  if (now < candidateFrom_) return Step::none;
  // A key with our own name is from an earlier incarnation and is taken over by its revision.
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
    renewing_ = false;
    lastRenew_ = now;
    return;
  }
  role_ = Role::follower;
  // Without a response the claim may have been applied; nextStep() recognizes it by record().
  if (result.outcome != CommitOutcome::unknown) lease_.reset();
  candidateFrom_ = std::max(candidateFrom_, now + Duration{200});
}

void Election::onRenewed(LeaseOutcome outcome) {
  renewing_ = false;
  if (role_ == Role::leader && outcome == LeaseOutcome::notFound) {
    role_ = Role::follower;
    lease_.reset();
  }
}

void Election::stepDown(Instant until) {
  role_ = Role::follower;
  lease_.reset();
  renewing_ = false;
  backOff(until);
}

}  // namespace kestrelhoist
