/// \file
/// Implements the HTTP interface for members. It authenticates each request by its key, checks the
/// rights of the key, applies the member's rate limits and the fair queue, and resolves job names
/// in the member's own namespace. docs/members.md lists the paths, fields and status codes.
#pragma once

#include <functional>
#include <variant>

#include "config/operator.hpp"
#include "flows/service.hpp"
#include "jobs/service.hpp"
#include "members/watches.hpp"
#include "metrics/metrics.hpp"

namespace kestrelhoist {

/// Serves the requests of members and of users without a key.
class MemberService {
 public:
  /// Stores the references. `metrics` may be null.
  MemberService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
                const Platform& platform, const MemberSettings& settings, JobService& jobs,
                FlowService& flows, Metrics* metrics, std::uint64_t seed);

  /// Answers a request for one of the users' paths, and returns false for any other path. `hold`
  /// says whether a watch may be held open. It is false for a request that another controller
  /// forwarded, since that controller waits for the answer.
  bool handle(const Request& request, const Respond& respond, bool hold = true);
  /// Answers the held watches for which the changed records contain a result.
  void onRecordsChanged();
  /// Runs the periodic work. The caller schedules it every `due`, ten times a second; `took` is
  /// the time since the last call.
  void onTimer(Duration due, Duration took);
  /// Sets the gauges of the member service.
  void fill(MetricGauges& gauges) const;

 private:
  /// Describes the holder of a valid key and the rights of the key.
  struct Caller {
    KeyId key;
    Owner owner;
    unsigned rights{};
    bool root{};
  };
  using AuthResult = std::variant<Caller, Response>;
  /// Returns the caller for a credential, or the response that refuses it. Returns nullopt if the
  /// key is not in the replica and `afterRead` is false. In this case it is called again with
  /// `afterRead` true after a linearizable read.
  std::optional<AuthResult> authenticate(const std::string& credential, bool afterRead) const;
  /// Returns the caller for a key, or nullopt if the key is unknown, expired or revoked.
  std::optional<Caller> callerOf(const KeyId& key) const;
  /// Applies load shedding, rate limits and rights to an authenticated request and runs it.
  void handleAuthenticated(const Caller& caller, const Request& request, const Respond& respond,
                           bool hold);
  /// Runs `start` once the fair queue admits it, or answers 429 if the queue is full.
  void write(const Caller& caller, RequestKind kind, const Respond& respond,
             std::function<void(const Respond&)> start);
  /// Wraps `respond` so that the answer is charged to the member's byte rate and counted in the
  /// metrics.
  Respond counted(const Owner& owner, const char* kindName, const Respond& respond);

  // The following members are defined in members/job_lists.cpp.

  /// Holds one page of a member's job list.
  struct Page {
    Json jobs = Json::array();
    ChangePosition next;
    bool more{};
  };
  Page page(const Owner& owner, const ChangePosition& since, const JobFilter& filter) const;
  Response answer(const Owner& owner, const Page& page) const;
  void list(const Caller& caller, const std::string& query, bool hold, const Respond& respond);
  void holdWatch(Watch watch, Duration wait);
  void answerWatches(const Owner& owner);

  // The following members are defined in members/key_service.cpp.

  bool handleKeys(const Caller& caller, const Request& request, const std::string& path,
                  const Respond& respond);
  void createKey(const Caller& caller, const Request& request, const Respond& respond);
  void listKeys(const Caller& caller, const std::string& query, const Respond& respond);
  void revokeKey(const Caller& caller, const KeyId& id, const Request& request, int triesLeft,
                 const Respond& respond);
  Json viewOf(const KeyId& id, const KeyRecord& record) const;
  void createCursorSecret();

  /// Serves requests for the caller's flows. A flow of another member is answered with 404, like
  /// one that does not exist.
  void flows(const Caller& caller, const Request& request, const std::string& path,
             const Respond& respond);

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  const Platform& platform_;
  const MemberSettings& settings_;
  JobService& jobs_;
  FlowService& flows_;
  Metrics* metrics_;
  LoadGauge gauge_;
  MemberRates rates_;
  TokenBucket writes_;
  FairQueue fairQueue_;
  Watches watches_;
  std::optional<CursorCipher> cursorCipher_;
  std::string cursorSecret_;
  bool creatingCursorSecret_ = false;
};

}  // namespace kestrelhoist
