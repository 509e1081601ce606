#include "connectivity/redirect_canary.hpp"

#include <algorithm>

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxCanaries = 2;
constexpr Duration kScheduleSlack{1000};
// A redirected worker that returns to this controller waits for three responses of this controller:
// the one before the redirect, the redirect itself and the one after its return.
constexpr int kResponsesOnDetour = 3;

}  // namespace

RedirectCanary::RedirectCanary(Duration failoverCycle, Duration lease, Duration reportEvery)
    : failoverCycle_(failoverCycle),
      lease_(lease),
      reportEvery_(reportEvery),
      leaseOutlastsCycle_(failoverCycle + maxHeartbeatInterval(reportEvery) + kScheduleSlack <
                          lease) {}

// Returns an upper bound for the response time of this controller as seen by the worker. A worker
// waits at least three quarters of the heartbeat interval between a response and its next
// heartbeat.
Duration RedirectCanary::maxResponseTime(const RedirectCandidate& worker) const {
  if (!worker.sinceAcknowledged) return kWorkerAnswerTimeout;
  return std::clamp(*worker.sinceAcknowledged - reportEvery_ * 3 / 4, Duration{0},
                    kWorkerAnswerTimeout);
}

bool RedirectCanary::leaseOutlastsDetour(const RedirectCandidate& worker) const {
  if (worker.idle) return true;
  if (!leaseOutlastsCycle_ || !worker.sinceAcknowledged) return leaseOutlastsCycle_;
  return *worker.sinceAcknowledged + kResponsesOnDetour * maxResponseTime(worker) + failoverCycle_ +
             kScheduleSlack <
         lease_;
}

bool RedirectCanary::mayRedirect(const MemberId& leader, const RedirectCandidate& worker,
                                 Instant now) const {
  if (leader_ != leader) return leaseOutlastsDetour(worker);
  if (returnedAt_ && now - *returnedAt_ < 2 * lease_) return false;
  if (redirected_.empty()) return leaseOutlastsDetour(worker);
  // No canary reported here again in time, so the leader responds to the canaries.
  if (now > returnDue_) return true;
  return redirected_.size() < kMaxCanaries && leaseOutlastsDetour(worker);
}

void RedirectCanary::onRedirected(const MemberId& leader, const RedirectCandidate& worker,
                                  Instant now) {
  if (leader_ != leader || returnedAt_) {
    leader_ = leader;
    redirected_.clear();
    returnedAt_.reset();
  }
  if (redirected_.size() >= kMaxCanaries) return;
  // Besides the failover cycle, the redirect takes time to reach the worker, and the worker's next
  // heartbeat takes time to reach this controller.
  const Instant due = now + failoverCycle_ + 2 * maxResponseTime(worker);
  returnDue_ = redirected_.empty() ? due : std::max(returnDue_, due);
  redirected_.emplace(worker.machine, now);
}

void RedirectCanary::onReport(const MachineId& machine, Instant now) {
  if (redirected_.erase(machine) == 0) return;
  returnedAt_ = now;
  redirected_.clear();
}

}  // namespace kestrelhoist
