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
  /// expected to end within `horizon`. The scaling loop treats this demand like the
  /// demand of jobs that wait for a running job.
  std::vector<ProjectedDemand> upcoming(Duration horizon) const;
  /// Returns the resources of the running tasks of flows that are expected to end within `horizon`.
  /// These resources become free.
  std::vector<ProjectedDemand> ending(Duration horizon) const;

 private:
  static constexpr Instance kNone = 0xffffffffU;
  /// Holds the state of one job of a flow until the job record is removed.
  struct OpenJob {
    std::vector<Instance> instances;  ///< Lists instances by task; kNone if dropped.
    std::vector<std::uint32_t> unfinishedTasks;
    /// Records when the loop first saw that all tasks of the job had ended.
    Instant endedAt{};
  };
  /// Holds the execution state of one open flow, derived from its records.
  struct Run {
    Digest graph;
    Progress progress;
    std::map<JobId, OpenJob> jobs;
    Instant readySince{};
    /// Counts the changes that this leader has written for the flow.
    std::size_t changes = 0;
  };
  /// Tells which changes of a flow are due.
  struct DueChanges {
    bool newJobs = false, endsOfJobs = false, endOfFlow = false;
  };
  /// Counts the jobs that a transaction creates, and their instances.
  struct CreatedJobs {
    std::size_t jobs = 0, instances = 0;
  };
  class FlowTransaction;

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
  void endJob(FlowTransaction& builder, const FlowState& flow, const JobId& id, const JobState& job,
              const OpenJob* open, Run* run);
  void createJob(FlowTransaction& builder, const FlowId& id, const FlowState& flow, Run& run,
                 std::uint32_t rule, const std::vector<Instance>& instances);
  std::size_t endFinishedJobs(FlowTransaction& builder, const FlowState& flow, Run& run);
  static std::vector<std::uint32_t> readyRules(const FlowVersion& version, const Run& run);
  std::vector<Instance> nextBatch(const std::vector<Instance>& ready, std::size_t from) const;
  CreatedJobs createReadyJobs(FlowTransaction& builder, const FlowId& id, const FlowState& flow,
                              Run& run);
  void endFlow(FlowTransaction& builder, const FlowId& id, const FlowState& flow,
               const Run& run) const;
  DueChanges dueChanges(const Run& run) const;
  bool canEnd(const JobState& job) const;
  /// Returns the maximum number of pages that the instances of one job may span. The transaction
  /// that ends a job also changes its job record, its task chunk and an account.
  std::size_t maxPagesPerJob() const {
    return context_.platform.transactionOps > 4 ? context_.platform.transactionOps - 4 : 1;
  }
  std::uint32_t tasksPerChunk() const { return chunkSizeFor(context_.platform.valueBytes); }

  LeaderContext& context_;
  ConfirmedOutcomes& outcomes_;
  TaskLoop& tasks_;
  std::map<FlowId, Run> runs_;
  /// Identifies the flow of the previous commit. The next search for a commit starts after it.
  FlowId lastServedFlow_;
  std::uint64_t jobCount_ = 0;
  /// Counts the keys removed so far of each version that is being removed.
  std::map<std::pair<FlowId, Digest>, std::uint32_t> removedKeyCounts_;
};

}  // namespace kestrelhoist
