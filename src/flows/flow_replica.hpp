/// \file
/// A controller's copy of the flows' records, part of the replica. Applying a change costs what
/// the change says, not what a flow is.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "flows/records.hpp"

namespace kestrelhoist {

/// One uploaded graph of a flow.
struct FlowVersion {
  std::optional<FlowUpload> upload;
  Revision modRevision;                 ///< of the upload's record
  FlowGraph graph;                      ///< of the parts that came so far, in order
  std::uint32_t parts{};                ///< how many of them
  std::map<std::uint32_t, Json> early;  ///< parts that came before an earlier one
  std::string fault;                    ///< why a part was not accepted
  std::map<std::uint32_t, std::string> pages;

  bool complete() const {
    return upload && fault.empty() && parts == upload->parts && graph.size() == upload->instances;
  }
  /// As on record; waiting where there is no page.
  char stateOf(Instance i) const;
};

struct FlowState {
  std::optional<FlowHead> head;
  Revision modRevision;  ///< of the head
  std::map<Digest, FlowVersion> versions;
  std::map<std::uint32_t, std::vector<AccountEntry>> accounts;  ///< by block
  std::set<JobId> jobs;                                         ///< on record, in whatever phase

  const FlowVersion* version(const Digest& graph) const;
};

class FlowReplica {
 public:
  /// False: not a key of a flow.
  bool apply(const std::string& key, const Json* value, Revision modRevision);
  void addJob(const FlowId& flow, const JobId& job);
  void dropJob(const FlowId& flow, const JobId& job);
  /// Tasks of this job ended or were dropped: whoever advances the flow looks at it.
  void touch(const FlowId& flow, const JobId& job) { touched_.emplace(flow, job); }
  std::set<std::pair<FlowId, JobId>> takeTouched() { return std::exchange(touched_, {}); }

  const std::map<FlowId, FlowState>& flows() const { return flows_; }
  const FlowState* find(const FlowId& id) const;
  /// Those with a graph or a job on record: what the leader has to do with.
  const std::set<FlowId>& live() const { return live_; }
  /// A member's open flows.
  std::vector<FlowId> openOf(const std::string& team, const std::string& member) const;
  /// Instances of all graphs held, uploads under way included.
  std::size_t instances() const { return instances_; }
  /// Of any flow that is cancelled here.
  Revision newestCancellation() const { return newestCancellation_; }

 private:
  void setPart(FlowVersion& version, std::uint32_t part, const Json* value);
  void tidy(std::map<FlowId, FlowState>::iterator flow);

  std::map<FlowId, FlowState> flows_;
  std::map<std::string, std::vector<FlowId>> open_;  ///< by team/member
  std::set<std::pair<FlowId, JobId>> touched_;
  std::set<FlowId> live_;
  std::size_t instances_ = 0;
  Revision newestCancellation_;
};

}  // namespace kestrelhoist
