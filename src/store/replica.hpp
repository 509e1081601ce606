/// Every node's replica of all records, kept by reading changes; never older than the reads that
/// were waited for.
#pragma once

#include <algorithm>
#include <map>
#include <unordered_map>

#include "base/interned.hpp"
#include "dependencies/job_graph.hpp"
#include "flows/flow_replica.hpp"
#include "members/job_index.hpp"
#include "members/key_ring.hpp"
#include "store/client.hpp"
#include "store/job_state.hpp"
#include "store/machine_index.hpp"
#include "store/record_handler.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// The replica of all records. Used on the event loop of its node only.
class Replica : private JobRecords {
 public:
  /// Applies one change unless something as new is already here.
  void apply(const Change& change);
  /// Notes that every change up to `revision` has been applied.
  void advance(Revision revision);
  /// Forgets all records; the registered handlers stay.
  void clear();

  /// Registers a handler of records that the replica only passes on. It must outlive the replica.
  void add(RecordHandler& handler) { handlers_.push_back(&handler); }

  Revision cursor() const { return cursor_; }
  /// Returns the newest revision at which a job or flow that is cancelled in this replica was
  /// created or changed.
  Revision newestCancellation() const {
    return std::max(newestCancelledJob_, flows_.newestCancellation());
  }
  /// Whether a flow is cancelled and some of its jobs are not yet: what is here does not stop its
  /// tasks.
  bool flowCancellationUnderWay() const;
  Revision modRevisionOf(const std::string& key) const;

  const std::map<JobId, JobState>& jobs() const { return jobs_; }
  const JobState* job(const JobId& id) const;
  const std::map<MachineId, MachineState>& machines() const { return machines_.machines(); }
  const MachineState* machine(const MachineId& id) const { return machines_.find(id); }
  const std::map<RentalId, RentalRecord>& rentals() const { return machines_.rentals(); }
  /// See JobState::tasksOf.
  TaskChunkRecord tasksOf(const JobState& job, std::uint32_t first, std::uint32_t last,
                          bool whole) const;
  /// Returns the sub-chunks of jobs that are no longer on record: modification revisions by key.
  const std::map<std::string, Revision>& orphanSubChunks() const { return orphanSubChunks_; }
  const std::optional<LeaderRecord>& leader() const { return leader_; }
  FencingToken leaderToken() const { return FencingToken{modRevisionOf(keys::kLeader).value}; }
  const std::optional<Json>& catalogue() const { return catalogue_; }
  const std::optional<Json>& forecast() const { return forecast_; }
  std::size_t teams() const { return teams_.size(); }
  std::uint32_t teamNumber(const TeamId& id) { return teams_.of(id); }
  std::uint32_t imageNumber(const ImageId& id) { return images_.of(id); }
  const FlowReplica& flows() const { return flows_; }
  FlowReplica& flows() { return flows_; }
  const KeyRing& keyRing() const { return keyRing_; }
  const JobIndex& memberJobs() const { return memberJobs_; }
  JobIndex& memberJobs() { return memberJobs_; }
  /// Returns the controllers' secret for cursors; empty until one of them has made it.
  const std::string& cursorKey() const { return cursorKey_; }
  /// Returns which unfinished jobs wait for which others.
  const JobGraph& dependencies() const { return graph_; }
  /// Returns the jobs that are active or still on a machine.
  const std::map<JobId, JobState*>& live() const { return live_; }

 private:
  bool knowsJobOf(const std::string& key, const std::string& prefix) const;
  void setJob(const JobId& id, const Json* value, Revision modRevision);
  void setTasks(const std::string& key, const Json* value, Revision modRevision);
  void setSubChunk(const std::string& key, const Json* value, Revision modRevision);
  /// Takes in what a record says of these tasks: of a chunk, except for those in sub-chunks, or of
  /// a sub-chunk.
  void applyTaskChunk(const JobId& id, JobState& job, TaskRange range, bool wholeChunk,
                      TaskChunkRecord record);
  void applyPlacements(const JobId& id, JobState& job, TaskRange range, bool wholeChunk,
                       const std::map<std::uint32_t, TaskPlacement>& placements);
  void addPlacement(const JobId& id, JobState& job, std::uint32_t index,
                    const TaskPlacement& placed);
  void removePlacement(const JobId& id, JobState& job, std::uint32_t index, TaskPlacement placed);
  void settle(JobState& job, const JobId& id);
  void setDependencyPart(const std::string& key, const Json* value);
  void updateDependencies(JobState& job, const JobId& id);
  std::optional<DependencyInput> dependencyInputOf(const JobId& id) const override;
  void dependenciesChanged(const JobId& id, const DependencyState& state) override;

  std::vector<RecordHandler*> handlers_;
  Interned<ImageId> images_;
  Interned<TeamId> teams_;
  Revision cursor_;
  Revision newestCancelledJob_;
  std::unordered_map<std::string, Revision> modRevisions_;
  std::unordered_map<std::string, Revision> drops_;  ///< newer than the cursor
  std::map<JobId, JobState> jobs_;
  std::map<JobId, JobState*> live_;
  JobGraph graph_;
  /// Parts of dependency lists, until the job is over.
  std::map<JobId, std::map<std::uint32_t, std::vector<JobId>>> dependencyParts_;
  std::map<std::string, Revision> orphanSubChunks_;
  MachineIndex machines_;
  std::optional<LeaderRecord> leader_;
  std::optional<Json> catalogue_;
  std::optional<Json> forecast_;
  FlowReplica flows_;
  KeyRing keyRing_;
  JobIndex memberJobs_;
  std::string cursorKey_;
};

}  // namespace kestrelhoist
