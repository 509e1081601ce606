// Whether workers that come here can be pointed to a leader that this controller does not hear. It
// may hear them no better: controllers refused one another, the leader had lost the workers, and
// the one that heard them all sent them there; each spent its lease on the tour. So a few go first.
// Pure.
#pragma once

#include <map>
#include <optional>

#include "base/types.hpp"

namespace kestrelhoist {

class RedirectCanary {
 public:
  // `tour`: the longest that a worker needs to come back from nodes that hang; `lease`: the
  // workers'.
  RedirectCanary(Duration failoverCycle, Duration lease, Duration reportEvery)
      : failoverCycle_(failoverCycle),
        lease_(lease),
        leaseOutlastsCycle_(failoverCycle + reportEvery * 5 / 4 + Duration{1000} < lease) {}

  // Whether this worker may be pointed to `holder` now. `idle`: it has no tasks to lose.
  bool mayRedirect(const MemberId& leader, bool idle, Instant now) const {
    if (leader_ != leader) return idle || leaseOutlastsCycle_;
    if (backAt_ && now - *backAt_ < 2 * lease_) return false;
    if (redirected_.empty()) return idle || leaseOutlastsCycle_;
    // None came back in the time of a tour: they are answered there.
    if (now - firstAt_ > failoverCycle_) return true;
    return redirected_.size() < kMost && (idle || leaseOutlastsCycle_);
  }
  void onRedirected(const MemberId& leader, const MachineId& machine, Instant now) {
    if (leader_ != leader || backAt_) {
      leader_ = leader;
      redirected_.clear();
      backAt_.reset();
    }
    if (redirected_.empty()) firstAt_ = now;
    if (redirected_.size() < kMost) redirected_.emplace(machine, now);
  }
  // A worker reports here: one that was sent did not get through.
  void onReport(const MachineId& machine, Instant now) {
    if (!redirected_.erase(machine)) return;
    backAt_ = now;
    redirected_.clear();
  }

 private:
  static constexpr std::size_t kMost = 2;
  Duration failoverCycle_, lease_;
  bool leaseOutlastsCycle_;  // a worker with tasks survives the tour
  MemberId leader_;
  Instant firstAt_{};
  std::optional<Instant> backAt_;
  std::map<MachineId, Instant> redirected_;
};

}  // namespace kestrelhoist
