/// State that the leader shares with its control loops: the node's services, the fencing token, and
/// callbacks that end with the leadership. It lives from the election to the step-down.
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

struct LeaderContext {
  Runtime& runtime;
  StoreClient& store;
  ChangeWatcher& watcher;
  Replica& replica;
  CloudClient& cloud;
  WorkerTransport& workers;  ///< requests to workers go through it
  const Platform& platform;
  const OperatorSettings& settings;

  FencingToken token;
  Instant electedAt{};
  bool initialRoundOver = false;          ///< the initial heartbeat round is complete
  std::optional<Catalogue> catalogue{};   ///< machine types; empty until read
  Revision latestRevision{};              ///< newest known, from the change feed or own commits
  bool planInvalidated = true;            ///< the inputs of the plan have changed
  std::function<void()> scheduleCycle{};  ///< a control loop may have work to do
  /// Whether anything sent at this time or later reached a worker. A null function means always.
  std::function<bool(Instant)> workersReachedSince{};
  /// The policy in force now; null if there is none.
  const EffectivePolicy* effectivePolicy = nullptr;
  /// Whether every controller reads this record format. A null function means unknown.
  std::function<bool(unsigned)> allMembersRead{};
  /// The time of day that the controllers agree on, in milliseconds since 1970.
  std::function<std::int64_t()> timeOfDay{};
  /// Per zone, an instant after which no controller acknowledged a heartbeat from there, for the
  /// zones of which that is known; see ZoneAckLog. A null function means none.
  std::function<std::map<ZoneId, Instant>()> zoneAckBounds{};
  /// Whether a peer that may be alive has not been heard lately. A null function means no.
  std::function<bool()> hasUnheardPeer{};
  /// Called with the silence of each machine that is given up for it; may be null.
  std::function<void(Duration)> onLostBySilence{};
  /// Called when commands are sent to a machine once more; may be null.
  std::function<void()> onCommandsRepeated{};
  /// Called with the name of what came of a probe at the end of a worker's lease; may be null.
  std::function<void(const char*)> onLeaseEndProbe{};
  std::function<void(std::optional<Commit>)>
      finishStep{};  ///< ends an asynchronous step, with or without a commit

  /// Wraps a callback so that it becomes a no-op once this leader has stepped down.
  template <class F>
  auto whileLeading(F f) const {
    return [weak = std::weak_ptr<int>(alive), f = std::move(f)](auto&&... args) mutable {
      if (!weak.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  /// Begins a transaction that fails once the leader key's revision is no longer this token.
  Transaction begin() const {
    Transaction t;
    t.compares.push_back({keys::kLeader, Revision{token.value}});
    return t;
  }

  /// Whether records may be written in format 2, which fits smaller value limits.
  bool mayWriteFormat2() const { return allMembersRead && allMembersRead(2); }
  /// The size limit for a value that an older version may have made larger than the smaller limit.
  /// The old format is written, which the present limit admits, until format 2 may be written.
  std::size_t legacyValueBytes() const {
    return mayWriteFormat2() ? platform.valueBytes
                             : std::max(platform.valueBytes, platform.valueBytesNow);
  }

  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace kestrelhoist
