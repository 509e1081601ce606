/// \file
/// The users' interface of flows, and the workers' questions for what their tasks are to do.
/// Bodies are CBOR of at most 64 KiB; the paths and fields are in docs/flows.md.
#pragma once

#include <deque>
#include <functional>

#include "base/rate.hpp"
#include "cloud/catalogue.hpp"
#include "config/operator.hpp"
#include "config/platform.hpp"
#include "flows/routes.hpp"
#include "store/change_watcher.hpp"

namespace kestrelhoist {

/// Each member function answers one request; they stand in service_uploads.cpp, service_commits.cpp
/// and service_reads.cpp.
class FlowService {
 public:
  FlowService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
              const Platform& platform, const OperatorSettings& settings,
              std::function<const Catalogue*()> catalogue);

  /// Answers /v2/flows and below; false if the path is not one of these.
  bool handle(const Request& request, const Respond& respond);

  std::function<void()> onCommitted;  ///< a flow was begun, changed or cancelled here

 private:
  using Body = std::shared_ptr<const Json>;
  void handleRead(FlowRoute route, const FlowPath& path, const Respond& respond);
  void handleWrite(FlowRoute route, const FlowPath& path, const Request& request,
                   const Respond& respond);
  /// POST {flow}/uploads: announces a version.
  void announce(const FlowId& id, const Body& body, const Respond& respond);
  /// POST {flow}/parts: parts of its graph and of its texts.
  void parts(const FlowId& id, const Body& body, const Respond& respond);
  /// POST {flow}/commit: begins the flow with this version, or changes it to this version.
  void commit(const FlowId& id, const Body& body, const Respond& respond);
  /// The answer to a commit that was made already or can't be made; empty: the upload is complete.
  std::optional<Response> answerWithoutCommit(const FlowId& id, const FlowHead& wanted,
                                              std::uint64_t base) const;
  void begin(const FlowId& id, const FlowHead& wanted, std::uint64_t base, const Respond& respond);
  /// POST {flow}/cancel; tries again after a conflict.
  void cancel(const FlowId& id, int triesLeft, const Respond& respond);
  FlowHead cancelledHead(const FlowState& flow) const;
  /// Adds the list of the member's open flows.
  void writeOpenFlows(Transaction& t, const FlowHead& head, const std::vector<FlowId>& open) const;
  /// GET {flow}
  void status(const FlowId& id, const Respond& respond);
  /// GET {flow}/report: what it used, by rule.
  void report(const FlowId& id, const Respond& respond);
  /// GET /v2/flows/account?owner=: what a team's flows used, by member.
  void account(const std::string& query, const Respond& respond);
  /// Of one flow: its accounts, and what is counted with the tasks of its open jobs.
  std::vector<AccountEntry> entriesOf(const FlowState& flow) const;
  /// GET {flow}/failures: instances that failed for good.
  void failures(const FlowId& id, const Respond& respond);
  /// GET /v2/flows?owner=&member=: a member's open flows.
  void list(const std::string& query, const Respond& respond);
  /// GET {flow}/texts/{version}/{part}
  void text(const FlowId& id, const Digest& version, std::uint32_t part, const Respond& respond);
  /// GET /v2/flows/tasks/{job}/{task}: what a worker needs to run it.
  void task(const JobId& job, std::uint32_t task, const Respond& respond);

  /// How many instances of a flow are in which state.
  Json counts(const FlowState& flow) const;
  /// Sends what may be sent within this node's share of the writes, or refuses at once.
  void send(Transaction t, std::function<void(CommitResult)> done, const Respond& respond);

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  const Platform& platform_;
  const OperatorSettings& settings_;
  std::function<const Catalogue*()> catalogue_;
  TokenBucket writes_;
  std::size_t waiting_ = 0;
  /// Texts are read by many workers at once: one read serves all who wait, and the last few stay.
  using OnText = std::function<void(const GetResult&)>;
  void readText(const std::string& key, OnText done);
  std::map<std::string, std::vector<OnText>> reading_;
  std::map<std::string, Json> texts_;
  std::deque<std::string> textOrder_;
};

}  // namespace kestrelhoist
