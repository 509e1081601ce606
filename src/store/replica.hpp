/// \file
/// Defines the in-memory copy of all records of the state service that each controller keeps.
/// ChangeWatcher keeps it up to date.
#pragma once

#include <algorithm>
#include <map>
#include <unordered_map>

#include "base/interned.hpp"
#include "dependencies/job_graph.hpp"
#include "flows/flow_replica.hpp"
#include "members/job_index.hpp"
#include "members/key_ring.hpp"
#include "store/catalogue_record.hpp"
#include "store/client.hpp"
#include "store/job_state.hpp"
#include "store/machine_index.hpp"
#include "store/record_handler.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

/// Holds a controller's replica of all records. The class is not thread-safe and is used on the
/// controller's event loop only.
class Replica : private JobRecords {
 public:
  /// Applies one change unless the replica has the same or a newer modification revision of the
  /// key.
  void apply(const Change& change);
  /// Records that every change up to `revision` has been applied.
  void advance(Revision revision);
  /// Removes all records, including those of the registered handlers. The handlers stay registered.
  void clear();

  /// Registers a handler, which then receives the changes of its keys. It must outlive the replica.
  void add(RecordHandler& handler) { handlers_.push_back(&handler); }

  /// Returns the revision up to which all changes have been applied.
  Revision revision() const { return revision_; }
  /// Returns the newest modification revision of all jobs and flows that are cancelled in this
  /// replica.
  Revision newestCancellation() const {
    return std::max(newestCancelledJob_, flows_.newestCancellation());
  }
  /// Returns whether a cancelled flow still has active jobs. The tasks of these jobs are not
  /// stopped until the job records are cancelled too.
  bool isFlowCancellationInProgress() const;
  /// Returns the modification revision of the key, or 0 if the replica does not have the key.
  Revision modRevisionOf(const std::string& key) const;

  const std::map<JobId, JobState>& jobs() const { return jobs_; }
  const JobState* job(const JobId& id) const;
  const std::map<MachineId, MachineState>& machines() const { return machines_.machines(); }
  const MachineState* machine(const MachineId& id) const { return machines_.find(id); }
  const std::map<RentalId, RentalRecord>& rentals() const { return machines_.rentals(); }
  /// Returns the result of JobState::tasksOf for the tasks from `first` up to, but not including,
  /// `end`.
  TaskChunkRecord tasksOf(const JobState& job, std::uint32_t first, std::uint32_t end,
                          bool wholeChunk) const;
  /// Returns the sub-chunk records whose job has no record. The map contains their modification
  /// revisions by key.
  const std::map<std::string, Revision>& orphanSubChunks() const { return orphanSubChunks_; }
  const std::optional<LeaderRecord>& leader() const { return leader_; }
  FencingToken leaderToken() const { return FencingToken{modRevisionOf(keys::kLeader).value}; }
  /// Returns the machine types, or nothing if a part of their list has not been read.
  const std::optional<Json>& catalogue() const { return catalogue_.whole(); }
  const CatalogueRecords& catalogueRecords() const { return catalogue_; }
  const std::optional<Json>& forecast() const { return forecast_; }
  std::size_t teams() const { return teams_.size(); }
  std::uint32_t teamNumber(const TeamId& id) { return teams_.of(id); }
  std::uint32_t imageNumber(const ImageId& id) { return images_.of(id); }
  const FlowReplica& flows() const { return flows_; }
  FlowReplica& flows() { return flows_; }
  const KeyRing& keyRing() const { return keyRing_; }
  const JobIndex& memberJobs() const { return memberJobs_; }
  JobIndex& memberJobs() { return memberJobs_; }
  /// Returns the secret with which controllers encrypt cursors. It is empty until a controller has
  /// created it.
  const std::string& cursorKey() const { return cursorKey_; }
  /// Returns the dependency graph of the unfinished jobs.
  const JobGraph& dependencies() const { return graph_; }
  /// Returns the jobs that are active or have a task that may still be on a machine.
  const std::map<JobId, JobState*>& liveJobs() const { return liveJobs_; }

 private:
  bool hasJobOf(const std::string& key, const std::string& prefix) const;
  void setJob(const JobId& id, const Json* value, Revision modRevision);
  void setTasks(const std::string& key, const Json* value, Revision modRevision);
  void setSubChunk(const std::string& key, const Json* value, Revision modRevision);
  /// Applies the record of a chunk or sub-chunk to the tasks in `range`. The record of a chunk does
  /// not change tasks that are in a sub-chunk.
  void applyTaskChunk(const JobId& id, JobState& job, TaskRange range, bool wholeChunk,
                      TaskChunkRecord record);
  void applyPlacements(const JobId& id, JobState& job, TaskRange range, bool wholeChunk,
                       const std::map<std::uint32_t, TaskPlacement>& placements);
  void addPlacement(const JobId& id, JobState& job, std::uint32_t index,
                    const TaskPlacement& placed);
  void removePlacement(const JobId& id, JobState& job, std::uint32_t index, TaskPlacement placed);
  void updateLiveJobs(JobState& job, const JobId& id);
  void setDependencyPart(const std::string& key, const Json* value);
  void updateDependencies(JobState& job, const JobId& id);
  std::optional<DependencyInput> dependencyInputOf(const JobId& id) const override;
  void dependenciesChanged(const JobId& id, const DependencyState& state) override;

  std::vector<RecordHandler*> handlers_;
  Interned<ImageId> images_;
  Interned<TeamId> teams_;
  Revision revision_;
  Revision newestCancelledJob_;
  std::unordered_map<std::string, Revision> modRevisions_;
  /// Holds the revisions of deletions that are newer than `revision_`.
  std::unordered_map<std::string, Revision> deletions_;
  std::map<JobId, JobState> jobs_;
  std::map<JobId, JobState*> liveJobs_;
  JobGraph graph_;
  /// Holds the separately stored parts of dependency lists by part number, until the job ends.
  std::map<JobId, std::map<std::uint32_t, std::vector<JobId>>> dependencyParts_;
  std::map<std::string, Revision> orphanSubChunks_;
  MachineIndex machines_;
  std::optional<LeaderRecord> leader_;
  CatalogueRecords catalogue_;
  std::optional<Json> forecast_;
  FlowReplica flows_;
  KeyRing keyRing_;
  JobIndex memberJobs_;
  std::string cursorKey_;
};

}  // namespace kestrelhoist
