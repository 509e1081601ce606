/// \file
/// The leader's control loop for flows. It creates jobs from ready instances, removes the records
/// of ended jobs and accounts for their use, applies amendments and cancellations, and removes
/// unused versions. The loop derives the progress of a flow from the records in the state service,
/// so a new leader continues where the previous leader stopped.
#pragma once

#include "cloud/demand.hpp"
#include "flows/progress.hpp"
#include "leadership/leader_context.hpp"
#include "placement/task_loop.hpp"

namespace kestrelhoist {

/// Advances all flows, one transaction at a time.
class FlowLoop : public ControlLoop {
 public:
  FlowLoop(LeaderContext& context, ConfirmedOutcomes& outcomes, TaskLoop& tasks)
      : context_(context), outcomes_(outcomes), tasks_(tasks) {}

  LoopStep next() override;
  void onRecordsChanged(bool byOthers) override;

  /// Returns the demand of the instances that become ready when the running tasks end that are
  /// expected to end within `horizon`. This demand counts as that of waiting dependent jobs.
  std::vector<ProjectedDemand> upcoming(Duration horizon) const;
  /// Returns the resources of the running tasks of flows that are expected to end within `horizon`.
  /// These resources become free.
  std::vector<ProjectedDemand> ending(Duration horizon) const;

 private:
  static constexpr Instance kNone = 0xffffffffU;
  struct OpenJob {
    std::vector<Instance> instances;  ///< by task; kNone if an amendment removed the instance
    std::vector<std::uint32_t> unfinishedTasks;  ///< tasks that have not ended
    Instant endedAt{};  ///< time at which the loop first saw that all tasks have ended
  };
  /// The execution state of one open flow, derived from its records.
  struct Run {
    Digest graph;
    Progress progress;
    std::map<JobId, OpenJob> jobs;
    Instant readySince{};
    std::size_t changes = 0;  ///< number of changes that this leader has written for the flow
  };
  class TransactionBuilder;

  void applyJobChange(const FlowId& id, const JobId& job);
  std::optional<Run> buildRun(const FlowState& flow, const Digest& graph) const;
  OpenJob openJobFor(
      const FlowState& flow, const JobState& job, const FlowVersion& version,
      const std::unordered_map<std::uint64_t, Instance>* instanceByFingerprint) const;
  void applyEndedTasks(const FlowState& flow, Run& run, const JobState& job, OpenJob& open) const;

  std::optional<Commit> nextCommit(const FlowId& id, const FlowState& flow);
  std::optional<Commit> advance(const FlowId& id, const FlowState& flow, Run& run);
  std::optional<Commit> amend(const FlowId& id, const FlowState& flow);
  std::optional<Commit> endCancelledFlow(const FlowId& id, const FlowState& flow);
  std::optional<Commit> removeUnusedVersion(const FlowId& id, const FlowState& flow);
  std::optional<Commit> removeOrphanSubChunks() const;
  void endJob(TransactionBuilder& builder, const FlowState& flow, const JobId& id,
              const JobState& job, const OpenJob* open, Run* run);
  void createJob(TransactionBuilder& builder, const FlowId& id, const FlowState& flow, Run& run,
                 std::uint32_t rule, const std::vector<Instance>& instances);
  bool canEnd(const JobState& job) const;
  /// Returns the maximum number of pages that the instances of one job may span. The transaction
  /// that ends the job also changes the job record, the task chunk, an account and the head.
  std::size_t maxPagesPerJob() const {
    return context_.platform.transactionOps > 4 ? context_.platform.transactionOps - 4 : 1;
  }
  std::uint32_t tasksPerChunk() const { return chunkSizeFor(context_.platform.valueBytes); }

  LeaderContext& context_;
  ConfirmedOutcomes& outcomes_;
  TaskLoop& tasks_;
  std::map<FlowId, Run> runs_;
  FlowId lastServedFlow_;  ///< flow of the previous commit; the next search starts after it
  std::uint64_t jobCount_ = 0;
  std::map<std::pair<FlowId, Digest>, std::uint32_t>
      removedKeyCounts_;  ///< number of keys of each version removed so far
};

}  // namespace kestrelhoist
