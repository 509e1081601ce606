/// \file
/// Declares the leader election, a state machine without I/O. The leader owns the key `leader`,
/// which the state service removes when the leader's lease expires. The revision of that key is the
/// fencing token: workers check it, and every transaction of the leader compares it.
#pragma once

#include <optional>
#include <string>

#include "base/types.hpp"
#include "store/client.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// Decides when this controller becomes a candidate, claims the leader key, renews its lease and
/// steps down. The caller performs the requests and reports their results.
class Election {
 public:
  struct Settings {
    MemberId self;
    std::string incarnation;       ///< Identifies one start of the process uniquely.
    Duration leaseDuration{3000};  ///< Holds the duration of the leader's lease.
    Duration renewInterval{750};
  };
  /// Describes the leader key as of the newest read.
  struct View {
    bool fresh{};  ///< Is true if that read is recent.
    std::optional<LeaderRecord> leader;
    FencingToken token;
  };
  enum class Step { none, grant, claim, renew };
  enum class Role { follower, granting, claiming, leader };

  explicit Election(Settings settings) : settings_(std::move(settings)) {}

  /// Returns the step to take now. For `grant`, the caller requests a lease and then writes
  /// record() with that lease in a transaction that compares expectedToken(). For `renew`, the
  /// caller renews lease().
  Step nextStep(Instant now, const View& view);
  void onGranted(std::optional<LeaseId> lease);
  void onClaimed(Instant now, const CommitResult& result);
  void onRenewed(LeaseOutcome outcome);
  /// Adopts the revision of the leader key as the token if this leader has written the key again.
  /// Returns whether the token has changed.
  bool adoptRaisedToken(const std::optional<LeaderRecord>& leader, FencingToken keyRevision);
  /// Ends the leadership of this controller and keeps it from being a candidate before `until`.
  void stepDown(Instant until);
  /// Keeps this controller from being a candidate before `until`.
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
  bool renewalPending_ = false;
  Instant lastRenewal_{};
  Instant candidateFrom_{};
  std::uint64_t claims_ = 0;
};

}  // namespace kestrelhoist
