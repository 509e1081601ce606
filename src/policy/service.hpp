/// \file
/// Implements the HTTP interface through which operators read and set the policy. It is served at
/// the address for requests between controllers, which only controllers and operators can reach
/// (docs/members.md); no user's key permits these requests.
#pragma once

#include "config/platform.hpp"
#include "policy/policy_replica.hpp"
#include "store/change_watcher.hpp"

namespace kestrelhoist {

/// Answers operators' requests for the policy and the charges on any controller.
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

  /// Answers GET and POST /mesh/policy and GET /mesh/paid; returns false for any other path.
  bool handle(const Request& request, const Respond& respond);

 private:
  Json view() const;
  Json paid() const;
  /// Returns how many current jobs the policy would protect, prioritize or make yield.
  Json effectOf(const Policy& policy) const;
  void set(const Json& body, const Respond& respond);
  /// Returns the version that this request has set; nullopt if no kept version is from the request.
  std::optional<std::uint64_t> versionOf(const std::string& request) const;

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  PolicyReplica& policyReplica_;
  const Platform& platform_;
};

}  // namespace kestrelhoist
