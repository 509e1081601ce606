/// \file
/// Declares the state that the leader shares with its control loops.
#pragma once

#include <map>
#include <memory>

#include "cloud/catalogue.hpp"
#include "config/operator.hpp"
#include "config/platform.hpp"
#include "connectivity/worker_transport.hpp"
#include "leadership/control_loop.hpp"
#include "policy/effective_policy.hpp"
#include "store/change_watcher.hpp"

namespace kestrelhoist {

class CloudClient;

/// Holds the services of this controller, the fencing token and callbacks for the control loops. It
/// is created when this controller is elected and destroyed when it steps down.
struct LeaderContext {
  Runtime& runtime;
  StoreClient& store;
  ChangeWatcher& watcher;
  Replica& replica;
  CloudClient& cloud;
  WorkerTransport& workers;  ///< All requests to workers use this transport.
  const Platform& platform;
  const OperatorSettings& settings;

  /// Is the newest token of this leader; see TokenRaiseLoop.
  FencingToken token;
  Instant electedAt{};
  /// Is true once the initial heartbeat round is complete.
  bool initialRoundOver = false;
  /// Lists the machine types. It is empty until they have been read.
  std::optional<Catalogue> catalogue{};
  /// Holds the newest revision seen in the change feed or in a commit of this leader.
  Revision latestRevision{};
  /// Is true if the inputs of the plan have changed since the last planning run.
  bool planInvalidated = true;
  /// Returns the write that sets the leader key to the record of this leader again.
  std::function<Write()> leaderKeyWrite{};
  /// Is called after this leader has set the leader key again, to adopt its revision as the token.
  std::function<void()> onLeaderKeyWritten{};
  /// Schedules another cycle of the control loops.
  std::function<void()> scheduleCycle{};
  /// Returns whether a worker was reached at the given instant or later (see
  /// WorkerTransport::reachedSince()). A null function counts as true.
  std::function<bool(Instant)> workersReachedSince{};
  /// Points to the policy that is in force now. It is null if there is no policy.
  const EffectivePolicy* effectivePolicy = nullptr;
  /// Returns whether every controller can read the given record format. A null function counts as
  /// false.
  std::function<bool(unsigned)> allMembersRead{};
  /// Returns the time of day that the controllers agree on, in milliseconds since 1970.
  std::function<std::int64_t()> timeOfDay{};
  /// Returns, for each zone that ZoneAckLog has a bound for, an instant after which no controller
  /// acknowledged a heartbeat from that zone. A null function counts as an empty map.
  std::function<std::map<ZoneId, Instant>()> zoneAckBounds{};
  /// Returns whether a peer that may be running has sent no status recently. A null function counts
  /// as false.
  std::function<bool()> hasUnreachablePeer{};
  /// Is called, for each machine declared dead because its heartbeats stopped, with the time since
  /// its last heartbeat. It may be null.
  std::function<void(Duration)> onLostBySilence{};
  /// Is called when this leader uses a new token. It may be null.
  std::function<void()> onTokenRaised{};
  /// Is called for each attempt that a worker reports again after it was cleared. It may be null.
  std::function<void()> onClearedAttemptReported{};
  /// Is called when commands are sent to a machine again. It may be null.
  std::function<void()> onCommandsRepeated{};
  /// Is called with the name of the outcome of each probe sent when a worker's lease expires. It
  /// may be null.
  std::function<void(const char*)> onLeaseEndProbe{};
  /// Ends an asynchronous step, with or without a commit.
  std::function<void(std::optional<Commit>)> finishStep{};

  /// Wraps a callback so that it becomes a no-op once this leader has stepped down.
  template <class F>
  auto whileLeading(F f) const {
    return [weak = std::weak_ptr<int>(alive), f = std::move(f)](auto&&... args) mutable {
      if (!weak.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  /// Begins a transaction that the state service rejects if the revision of the leader key is no
  /// longer this leader's token.
  Transaction begin() const {
    Transaction t;
    t.compares.push_back({keys::kLeader, Revision{token.value}});
    return t;
  }

  /// Begins a transaction to which parts can be added within the limits in force.
  TransactionBuilder beginBounded() const { return {store.limits(), begin()}; }

  /// Returns whether records may be written in format 2, whose values fit a smaller size limit.
  bool mayWriteFormat2() const { return allMembersRead && allMembersRead(2); }
  /// Returns the size limit for values that an older version may have made larger than the smaller
  /// limit. Until all controllers read format 2, the old format is written, whose values need the
  /// present, larger limit.
  std::size_t legacyValueBytes() const {
    return mayWriteFormat2() ? platform.valueBytes
                             : std::max(platform.valueBytes, store.limits().presentValueBytes());
  }

  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace kestrelhoist
