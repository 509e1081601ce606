/// \file
/// The users' interface with keys on: every request is asked for its key, checked against what the
/// key may do, the member's rates and turns, and answered within the member's own space of names.
/// Paths, fields and statuses are in docs/members.md.
#pragma once

#include <functional>
#include <variant>

#include "config/operator.hpp"
#include "flows/service.hpp"
#include "jobs/service.hpp"
#include "members/watches.hpp"
#include "metrics/metrics.hpp"

namespace kestrelhoist {

class MemberService {
 public:
  /// `metrics` may be null.
  MemberService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
                const Platform& platform, const MemberSettings& settings, JobService& jobs,
                FlowService& flows, Metrics* metrics, std::uint64_t seed);

  /// Answers all users' paths; false if the path is not one of these. `hold`: whether a watch may
  /// be held open; not if another controller passed it on and waits.
  bool handle(const Request& request, const Respond& respond, bool hold = true);
  /// The records have changed: watches may have something to tell.
  void onRecordsChanged();
  /// Ten times a second; `took` since the last one.
  void onTimer(Duration due, Duration took);
  void fill(MetricGauges& gauges) const;

 private:
  struct Caller {
    KeyId key;
    Owner owner;
    unsigned rights{};
    bool root{};
  };
  using Checked = std::variant<Caller, Response>;
  /// What the key in the request says now; `sure`: after a read that was sent after the request.
  std::optional<Checked> check(const std::string& credential, bool sure) const;
  std::optional<Caller> callerOf(const KeyId& key) const;
  void admitted(const Caller& caller, const Request& request, const Respond& respond, bool hold);
  void write(const Caller& caller, Work work, const Respond& respond,
             std::function<void(const Respond&)> start);
  /// Answers and counts.
  Respond counted(const Owner& owner, const char* kind, const Respond& respond);

  /// members/job_lists.cpp
  struct Page {
    Json jobs = Json::array();
    ChangePlace next;
    bool more{};
  };
  Page page(const Owner& owner, const ChangePlace& since, const JobFilter& filter) const;
  Response answer(const Owner& owner, const Page& page) const;
  void list(const Caller& caller, const std::string& query, bool hold, const Respond& respond);
  void park(Watch watch, Duration wait);
  void serve(const Owner& owner);

  /// members/key_service.cpp
  bool handleKeys(const Caller& caller, const Request& request, const std::string& path,
                  const Respond& respond);
  void makeKey(const Caller& caller, const Request& request, const Respond& respond);
  void listKeys(const Caller& caller, const std::string& query, const Respond& respond);
  void endKey(const Caller& caller, const KeyId& id, const Request& request, int triesLeft,
              const Respond& respond);
  Json viewOf(const KeyId& id, const KeyRecord& record) const;
  void makeCursorKey();

  /// A member's flows; a flow of another member is answered like none.
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
  RateBudget writes_;
  FairTurns turns_;
  Watches watches_;
  std::optional<CursorSeal> seal_;
  std::string sealedWith_;
  bool makingCursorKey_ = false;
};

}  // namespace kestrelhoist
