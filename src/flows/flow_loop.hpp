/// \file
/// The leader's work on flows: makes ready instances into jobs, takes ended jobs off the record and
/// counts them, carries out amendments and cancellations, removes what is over. Everything it knows
/// of a flow's progress is derived from the records, so a new leader goes on where the last one
/// was.
#pragma once

#include "cloud/demand.hpp"
#include "flows/progress.hpp"
#include "leadership/leader_context.hpp"
#include "placement/task_loop.hpp"

namespace kestrelhoist {

class FlowLoop : public ControlLoop {
 public:
  FlowLoop(LeaderContext& context, ConfirmedOutcomes& outcomes, TaskLoop& tasks)
      : context_(context), outcomes_(outcomes), tasks_(tasks) {}

  LoopStep next() override;
  void onRecordsChanged(bool byOthers) override;

  /// What becomes ready when tasks end that are expected to end within `horizon`, and how many
  /// tasks that is. DESIGN: waiting downstream jobs of a running upstream job add their room.
  std::vector<ProjectedDemand> upcoming(Duration horizon) const;
  /// Of what is in jobs, tasks on machines that are expected to end within it: their room is free.
  std::vector<ProjectedDemand> ending(Duration horizon) const;

 private:
  static constexpr Instance kNone = 0xffffffffU;
  struct OpenJob {
    std::vector<Instance> instances;     ///< by task; kNone: no longer wanted
    std::vector<std::uint32_t> pending;  ///< tasks whose end is not known yet
    Instant endedAt{};                   ///< when all were found ended
  };
  /// One open flow, derived from its records.
  struct Run {
    Digest graph;
    Progress progress;
    std::map<JobId, OpenJob> jobs;
    Instant readySince{};
    std::size_t changes = 0;  ///< written for it by this leadership
  };
  class TransactionBuilder;

  void observe(const FlowId& id, const JobId& job);
  std::optional<Run> build(const FlowState& flow, const Digest& graph) const;
  OpenJob adopt(const FlowState& flow, const JobState& job, const FlowVersion& version,
                const std::unordered_map<std::uint64_t, Instance>* byPrint) const;
  void settle(const FlowState& flow, Run& run, const JobState& job, OpenJob& open) const;

  std::optional<Commit> nextOf(const FlowId& id, const FlowState& flow);
  std::optional<Commit> advance(const FlowId& id, const FlowState& flow, Run& run);
  std::optional<Commit> amend(const FlowId& id, const FlowState& flow);
  std::optional<Commit> wind(const FlowId& id, const FlowState& flow);
  std::optional<Commit> remove(const FlowId& id, const FlowState& flow);
  std::optional<Commit> dropOrphans() const;
  void endJob(TransactionBuilder& builder, const FlowState& flow, const JobId& id,
              const JobState& job, const OpenJob* open, Run* run);
  void createJob(TransactionBuilder& builder, const FlowId& id, const FlowState& flow, Run& run,
                 std::uint32_t rule, const std::vector<Instance>& instances);
  bool endable(const JobState& job) const;
  /// Of one job: its record, its tasks' and an account change with them.
  std::size_t mostPages() const {
    return context_.platform.transactionOps > 4 ? context_.platform.transactionOps - 4 : 1;
  }
  std::uint32_t tasksPerChunk() const { return chunkSizeFor(context_.platform.valueBytes); }

  LeaderContext& context_;
  ConfirmedOutcomes& outcomes_;
  TaskLoop& tasks_;
  std::map<FlowId, Run> runs_;
  FlowId last_;  ///< whose turn it was
  std::uint64_t jobCount_ = 0;
  std::map<std::pair<FlowId, Digest>, std::uint32_t> removed_;  ///< texts and parts so far
};

}  // namespace kestrelhoist
