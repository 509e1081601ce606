/// \file
/// Keeps an in-memory copy of the flow records on each controller, as part of the replica. The cost
/// of applying a change is proportional to the change, not to the size of the flow.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "flows/records.hpp"

namespace kestrelhoist {

/// Holds the replicated records of one uploaded version of a flow.
struct FlowVersion {
  std::optional<FlowUpload> upload;
  Revision modRevision;   ///< Identifies the revision of the upload record.
  FlowGraph graph;        ///< Contains the consecutive parts received so far.
  std::uint32_t parts{};  ///< Counts the parts in `graph`.
  /// Contains the parts that arrived before a part with a smaller number.
  std::map<std::uint32_t, Json> outOfOrderParts;
  std::string partError;  ///< Explains why a part was rejected; empty if none was.
  std::map<std::uint32_t, std::string> pages;

  bool complete() const {
    return upload && partError.empty() && parts == upload->parts &&
           graph.size() == upload->instances;
  }
  /// Returns the recorded state letter of an instance, or w(aiting) if its page does not exist.
  char stateOf(Instance i) const;
};

/// Holds the replicated records of one flow.
struct FlowState {
  std::optional<FlowHead> head;
  Revision modRevision;  ///< Identifies the revision of the head.
  std::map<Digest, FlowVersion> versions;
  std::map<std::uint32_t, std::vector<AccountEntry>> accounts;  ///< Maps block numbers to entries.
  std::set<JobId> jobs;  ///< Contains the jobs that have a record, in any phase.

  const FlowVersion* version(const Digest& graph) const;
};

/// Holds the replicated records of all flows.
class FlowReplica {
 public:
  /// Applies a changed or removed (null) record. Returns false if the key is not a flow key.
  bool apply(const std::string& key, const Json* value, Revision modRevision);
  void addJob(const FlowId& flow, const JobId& job);
  void removeJob(const FlowId& flow, const JobId& job);
  /// Marks a job whose tasks have ended or were dropped, so that the flow loop reads it again.
  void markChanged(const FlowId& flow, const JobId& job) { changedJobs_.emplace(flow, job); }
  std::set<std::pair<FlowId, JobId>> takeChangedJobs() { return std::exchange(changedJobs_, {}); }

  const std::map<FlowId, FlowState>& flows() const { return flows_; }
  const FlowState* find(const FlowId& id) const;
  /// Returns the flows that have a version or a job record. The leader processes only
  /// these flows.
  const std::set<FlowId>& active() const { return active_; }
  /// Returns the open flows of a member.
  std::vector<FlowId> openFlowsOf(const std::string& team, const std::string& member) const;
  /// Returns the number of instances of all graphs in memory, including unfinished uploads.
  std::size_t instances() const { return instances_; }
  /// Returns the newest modification revision of any cancelled flow head in this replica.
  Revision newestCancellation() const { return newestCancellation_; }

 private:
  void addGraphPart(FlowVersion& version, std::uint32_t part, const Json* value);
  void updateIndexes(std::map<FlowId, FlowState>::iterator flow);

  std::map<FlowId, FlowState> flows_;
  std::map<std::string, std::vector<FlowId>> open_;  ///< Maps "team/member" to open flows.
  std::set<std::pair<FlowId, JobId>> changedJobs_;
  std::set<FlowId> active_;
  std::size_t instances_ = 0;
  Revision newestCancellation_;
};

}  // namespace kestrelhoist
