// Operators read and set the policy, at the address that controllers speak to each other at: only
// controllers and operators reach it (docs/members.md), and no user's key permits any of it.
#pragma once

#include "config/platform.hpp"
#include "policy/copy.hpp"
#include "store/feed.hpp"

namespace kestrelhoist {

class PolicyService {
 public:
  PolicyService(Runtime& runtime, StoreClient& store, Feed& feed, Replica& replica,
                PolicyCopy& copy, const Platform& platform)
      : runtime_(runtime),
        store_(store),
        feed_(feed),
        replica_(replica),
        copy_(copy),
        platform_(platform) {}

  // GET or POST /mesh/policy; GET /mesh/paid. False: not its path.
  bool handle(const Request& request, const Respond& respond);

 private:
  Json view() const;
  Json paid() const;
  // What setting it would change now, in jobs.
  Json effectOf(const Policy& policy) const;
  void set(const Json& body, const Respond& respond);
  // Which version this request has made, of those that are kept.
  std::optional<std::uint64_t> versionOf(const std::string& request) const;

  Runtime& runtime_;
  StoreClient& store_;
  Feed& feed_;
  Replica& replica_;
  PolicyCopy& copy_;
  const Platform& platform_;
};

}  // namespace kestrelhoist
