#include "connectivity/redirect_canary.hpp"

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxCanaries = 2;
constexpr Duration kScheduleSlack{1000};

}  // namespace

RedirectCanary::RedirectCanary(Duration failoverCycle, Duration lease, Duration reportEvery)
    : failoverCycle_(failoverCycle),
      lease_(lease),
      leaseOutlastsCycle_(failoverCycle + reportEvery * 5 / 4 + kScheduleSlack < lease) {}

bool RedirectCanary::mayRedirect(const MemberId& leader, bool idle, Instant now) const {
  const bool survivesCycle = idle || leaseOutlastsCycle_;
  if (leader_ != leader) return survivesCycle;
  if (returnedAt_ && now - *returnedAt_ < 2 * lease_) return false;
  if (redirected_.empty()) return survivesCycle;
  // No canary came back within a failover cycle, so the leader answers them.
  if (now - firstRedirectAt_ > failoverCycle_) return true;
  return redirected_.size() < kMaxCanaries && survivesCycle;
}

void RedirectCanary::onRedirected(const MemberId& leader, const MachineId& machine, Instant now) {
  if (leader_ != leader || returnedAt_) {
    leader_ = leader;
    redirected_.clear();
    returnedAt_.reset();
  }
  if (redirected_.empty()) firstRedirectAt_ = now;
  if (redirected_.size() < kMaxCanaries) redirected_.emplace(machine, now);
}

void RedirectCanary::onReport(const MachineId& machine, Instant now) {
  if (redirected_.erase(machine) == 0) return;
  returnedAt_ = now;
  redirected_.clear();
}

}  // namespace kestrelhoist
