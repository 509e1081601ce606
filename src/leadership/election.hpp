/// Leader election as a state machine without I/O. The leader holds the key `leader`, bound to a
/// lease. The key's revision is the fencing token that workers obey and every leader write
/// conditions on.
#pragma once

#include <optional>
#include <string>

#include "base/types.hpp"
#include "store/client.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

class Election {
 public:
  struct Settings {
    MemberId self;
    std::string incarnation;  ///< unique per start of the process
    Duration life{3000};      ///< of the lease
    Duration renewEvery{750};
  };
  /// The leader key according to the newest read.
  struct View {
    bool fresh{};  ///< the read is recent
    std::optional<LeaderRecord> leader;
    FencingToken token;
  };
  enum class Step { none, grant, claim, renew };
  enum class Role { follower, granting, claiming, leader };

  explicit Election(Settings settings) : settings_(std::move(settings)) {}

  /// Returns the step to take now. For `grant`, request a lease and then write record() under it on
  /// the condition of expectedToken(); for `renew`, renew lease().
  Step nextStep(Instant now, const View& view);
  void onGranted(std::optional<LeaseId> lease);
  void onClaimed(Instant now, const CommitResult& result);
  void onRenewed(LeaseOutcome outcome);
  /// Gives up the leadership; this member is no candidate before `until`.
  void stepDown(Instant until);
  /// Keeps this member from being a candidate before `until`.
  void backOff(Instant until) { candidateFrom_ = std::max(candidateFrom_, until); }

  Role role() const { return role_; }
  bool leads() const { return role_ == Role::leader; }
  FencingToken token() const { return token_; }
  std::optional<LeaseId> lease() const { return lease_; }
  FencingToken expectedToken() const { return expectedToken_; }
  LeaderRecord record() const;
  bool isMine(const std::optional<LeaderRecord>& leader) const;

 private:
  Settings settings_;
  Role role_ = Role::follower;
  FencingToken token_;
  FencingToken expectedToken_;
  std::optional<LeaseId> lease_;
  bool renewing_ = false;
  Instant lastRenew_{};
  Instant candidateFrom_{};
  std::uint64_t claims_ = 0;
};

}  // namespace kestrelhoist
