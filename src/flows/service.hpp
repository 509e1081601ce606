/// \file
/// Implements the HTTP interface for flows. Users submit and query flows; workers fetch the
/// descriptions of their tasks. Bodies are CBOR of at most 64 KiB. The paths and fields are
/// described in docs/flows.md.
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

/// Handles the requests below /v2/flows. The handlers are implemented in service_uploads.cpp,
/// service_commits.cpp and service_reads.cpp.
class FlowService {
 public:
  FlowService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher, Replica& replica,
              const Platform& platform, const OperatorSettings& settings,
              std::function<const Catalogue*()> catalogue);

  /// Answers a request at or below /v2/flows. Returns false if the path belongs to another service.
  bool handle(const Request& request, const Respond& respond);

  /// Is called after this service has started, amended or cancelled a flow.
  std::function<void()> onCommitted;

 private:
  using Body = std::shared_ptr<const Json>;
  void handleRead(FlowRoute route, const FlowPath& path, const Respond& respond);
  void handleWrite(FlowRoute route, const FlowPath& path, const Request& request,
                   const Respond& respond);
  /// Handles POST {flow}/uploads, which announces a version and its number of parts.
  void announce(const FlowId& id, const Body& body, const Respond& respond);
  /// Handles POST {flow}/parts, which stores parts of the graph and the texts of a version.
  void storeParts(const FlowId& id, const Body& body, const Respond& respond);
  /// Handles POST {flow}/commit, which starts a flow or amends it to a new version.
  void commit(const FlowId& id, const Body& body, const Respond& respond);
  /// Returns the response to a commit that is already done or is not possible. Returns null if the
  /// upload is complete and the commit can proceed.
  std::optional<Response> answerWithoutCommit(const FlowId& id, const FlowHead& wanted,
                                              std::uint64_t base) const;
  void commitVersion(const FlowId& id, const FlowHead& wanted, std::uint64_t base,
                     const Respond& respond);
  /// Handles POST {flow}/cancel. It retries up to `retriesLeft` times after a conflict.
  void cancel(const FlowId& id, int retriesLeft, const Respond& respond);
  FlowHead cancelledHead(const FlowState& flow) const;
  /// Adds the new list of the member's open flows to the transaction.
  void writeOpenFlows(Transaction& t, const FlowHead& head, const std::vector<FlowId>& open) const;
  /// Handles GET {flow}, which returns the state of a flow.
  void status(const FlowId& id, const Respond& respond);
  /// Handles GET {flow}/report, which returns the resource use of a flow by rule.
  void report(const FlowId& id, const Respond& respond);
  /// Handles GET /v2/flows/account?owner=, which returns the resource use of a team by member.
  void account(const std::string& query, const Respond& respond);
  /// Returns the resource use of one flow by rule. The result includes the accounts of the flow and
  /// the use of its jobs on record.
  std::vector<AccountEntry> resourceUseByRule(const FlowState& flow) const;
  /// Handles GET {flow}/failures, which lists the instances that failed permanently.
  void failures(const FlowId& id, const Respond& respond);
  /// Handles GET /v2/flows?owner=&member=, which lists the open flows of a member.
  void list(const std::string& query, const Respond& respond);
  /// Handles GET {flow}/texts/{version}/{part}, which returns one part of the texts.
  void text(const FlowId& id, const Digest& version, std::uint32_t part, const Respond& respond);
  /// Handles GET /v2/flows/tasks/{job}/{task}, which returns what a worker needs to run a task.
  void task(const JobId& job, std::uint32_t task, const Respond& respond);

  /// Returns the number of instances of a flow in each state.
  Json counts(const FlowState& flow) const;
  /// Commits a transaction if it is within this controller's share of the write rate. Otherwise it
  /// responds with 429 immediately.
  void commitIfWithinRate(Transaction t, std::function<void(CommitResult)> done,
                          const Respond& respond);

  Runtime& runtime_;
  StoreClient& store_;
  ChangeWatcher& watcher_;
  Replica& replica_;
  const Platform& platform_;
  const OperatorSettings& settings_;
  std::function<const Catalogue*()> catalogue_;
  TokenBucket writeBudget_;
  std::size_t pendingCommits_ = 0;
  /// Many workers request the same text at the same time. Concurrent requests for a text share one
  /// read from the state service, and the most recent texts are cached.
  using OnText = std::function<void(const GetResult&)>;
  void readText(const std::string& key, OnText done);
  std::map<std::string, std::vector<OnText>> pendingTextReads_;
  std::map<std::string, Json> textCache_;
  std::deque<std::string> textCacheOrder_;
};

}  // namespace kestrelhoist
