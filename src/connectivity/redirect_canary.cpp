#include "connectivity/redirect_canary.hpp"

#include <algorithm>

#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxCanaries = 2;
constexpr Duration kScheduleSlack{1000};
// On a detour a worker waits for three answers of this controller: the one before it, the redirect
// and the one after it.
constexpr int kAnswersOnDetour = 3;

}  // namespace

RedirectCanary::RedirectCanary(Duration failoverCycle, Duration lease, Duration reportEvery)
    : failoverCycle_(failoverCycle),
      lease_(lease),
      reportEvery_(reportEvery),
      leaseOutlastsCycle_(failoverCycle + maxHeartbeatInterval(reportEvery) + kScheduleSlack <
                          lease) {}

// Between an answer and the next heartbeat pass at least three quarters of the interval.
Duration RedirectCanary::slowestAnswer(const RedirectCandidate& worker) const {
  if (!worker.sinceAcknowledged) return kWorkerAnswerTimeout;
  return std::clamp(*worker.sinceAcknowledged - reportEvery_ * 3 / 4, Duration{0},
                    kWorkerAnswerTimeout);
}

bool RedirectCanary::outlivesDetour(const RedirectCandidate& worker) const {
  if (worker.idle) return true;
  if (!leaseOutlastsCycle_ || !worker.sinceAcknowledged) return leaseOutlastsCycle_;
  return *worker.sinceAcknowledged + kAnswersOnDetour * slowestAnswer(worker) + failoverCycle_ +
             kScheduleSlack <
         lease_;
}

bool RedirectCanary::mayRedirect(const MemberId& leader, const RedirectCandidate& worker,
                                 Instant now) const {
  if (leader_ != leader) return outlivesDetour(worker);
  if (returnedAt_ && now - *returnedAt_ < 2 * lease_) return false;
  if (redirected_.empty()) return outlivesDetour(worker);
  // No canary came back in time, so the leader answers them.
  if (now > returnDue_) return true;
  return redirected_.size() < kMaxCanaries && outlivesDetour(worker);
}

void RedirectCanary::onRedirected(const MemberId& leader, const RedirectCandidate& worker,
                                  Instant now) {
  if (leader_ != leader || returnedAt_) {
    leader_ = leader;
    redirected_.clear();
    returnedAt_.reset();
  }
  if (redirected_.size() >= kMaxCanaries) return;
  // The redirect is on its way to the worker, and then its next heartbeat on its way back.
  const Instant due = now + failoverCycle_ + 2 * slowestAnswer(worker);
  returnDue_ = redirected_.empty() ? due : std::max(returnDue_, due);
  redirected_.emplace(worker.machine, now);
}

void RedirectCanary::onReport(const MachineId& machine, Instant now) {
  if (redirected_.erase(machine) == 0) return;
  returnedAt_ = now;
  redirected_.clear();
}

}  // namespace kestrelhoist
