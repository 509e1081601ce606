// What one leadership shares with its duties: the node's services, its token, and callbacks that
// end with it. It lives from the election to the step-down.
#pragma once

#include <memory>

#include "cloud/catalogue.hpp"
#include "config/operator.hpp"
#include "config/platform.hpp"
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
  HttpClient& http;
  const Platform& platform;
  const OperatorSettings& settings;

  FencingToken token;
  Instant electedAt{};
  bool initialRoundOver = false;          // one report round has passed
  std::optional<Catalogue> catalogue{};   // machine types, once known
  Revision latestRevision{};              // newest revision known: of the feed or of own commits
  bool planInvalidated = true;            // what a plan would be made from has changed
  std::function<void()> scheduleCycle{};  // a duty may have something to do
  // Whether workers were reached by something sent at this time or later. Null: always.
  std::function<bool(Instant)> workersReachedSince{};
  // What the policy says of work now; without one nothing.
  const EffectivePolicy* effectivePolicy = nullptr;
  // Whether each controller reads this format of records. Null: not known.
  std::function<bool(unsigned)> allMembersRead{};
  // Milliseconds since 1970, as the controllers agree on it.
  std::function<std::int64_t()> timeOfDay{};
  std::function<void(std::optional<Commit>)>
      finishStep{};  // ends a held turn, with a commit or without

  // Ignores callbacks that outlive this leadership.
  template <class F>
  auto whileLeading(F f) const {
    return [weak = std::weak_ptr<int>(alive), f = std::move(f)](auto&&... args) mutable {
      if (!weak.expired()) f(std::forward<decltype(args)>(args)...);
    };
  }

  // Every write conditions on the leader key's stamp: a deposed leader's late write fails.
  Transaction begin() const {
    Transaction t;
    t.compares.push_back({keys::kLeader, Revision{token.value}});
    return t;
  }

  // The form of records for smaller limits may be written.
  bool mayWriteFormat2() const { return allMembersRead && allMembersRead(2); }
  // Of a value that an older version may have made larger than the smaller limit: until the new
  // form may be written, the old one is, which the present limit still takes.
  std::size_t legacyValueBytes() const {
    return mayWriteFormat2() ? platform.valueBytes
                             : std::max(platform.valueBytes, platform.valueBytesNow);
  }

  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace kestrelhoist
