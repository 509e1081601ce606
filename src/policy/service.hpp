/// \file
/// Operators read and set the policy, at the address that controllers speak to each other at: only
/// controllers and operators reach it (docs/members.md), and no user's key permits any of it.
#pragma once

#include "config/platform.hpp"
#include "policy/policy_replica.hpp"
#include "store/change_watcher.hpp"

namespace kestrelhoist {

class PolicyService {
 public:
  PolicyService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
                PolicyReplica& policyReplica, const Platform& platform)
      : runtime_(runtime),
        store_(store),
        watcher_(watcher),
        replica_(replica),
        policyReplica_(policyReplica),
        platform_(platform) {}

  /// GET or POST /mesh/policy; GET /mesh/paid. False: not its path.
  bool handle(const Request& request, const Respond& respond);

 private:
  Json view() const;
  Json paid() const;
  /// What setting it would change now, in jobs.
  Json effectOf(const Policy& policy) const;
  void set(const Json& body, const Respond& respond);
  /// Which version this request has made, of those that are kept.
  std::optional<std::uint64_t> versionOf(const std::string& request) const;

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  PolicyReplica& policyReplica_;
  const Platform& platform_;
};

}  // namespace kestrelhoist
