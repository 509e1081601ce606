// Every node's copy of all records, kept by reading changes; never older than the reads that
// were waited for.
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
#include "store/record_handler.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

// What is on record besides of a job whose tasks are instances of a flow.
struct FlowJobState {
  struct Chunk {
    std::map<std::uint32_t, std::uint32_t> failures;  // by the task's number
    Use use;
  };
  std::map<std::uint32_t, Chunk> chunks;
  std::map<std::uint32_t, Use> subChunks;  // what attempts of parts used, by their first task
  Use use() const;
};

// Of a job that awaits others or is awaited by others.
struct JobDependencies {
  DependencyState state;
  std::shared_ptr<const JobSpec> ordered;  // with the priority of the jobs that need it
};

struct JobState {
  JobRecord record;  // spec stays until the job is over and off every machine
  Revision modRevision;
  std::uint32_t tasks{};
  std::uint32_t image{};  // numbers of its image and team, see Replica
  std::uint32_t team{};
  std::map<std::uint32_t, TaskBits> finished;  // by stretch
  std::uint32_t finishedCount{};
  std::map<std::uint32_t, TaskPlacement> placed;  // by task
  std::unique_ptr<FlowJobState> flow;             // null for most jobs
  // Parts of stretches on record: first task, and one past the last. Null for most jobs.
  std::unique_ptr<std::map<std::uint32_t, std::uint32_t>> subChunks;

  std::unique_ptr<JobDependencies> dependencies;  // null: awaits none, and none awaits it
  bool dependenciesUnread = false;                // what it awaits is not wholly read yet

  // Of a job that needs a cancelled one: cancelled, whatever its own record says. None of its tasks
  // can have started, so nothing has to be stopped or written for that.
  JobPhase phase() const {
    bool active = record.phase == JobPhase::active;
    bool throughAnother = active && dependencies && dependencies->state.cancelled;
    return throughAnother ? JobPhase::cancelled : record.phase;
  }
  bool active() const { return phase() == JobPhase::active; }
  // Waits for other jobs: none of its tasks may start, and it asks for no room.
  bool blockedOnDependencies() const {
    return dependenciesUnread || (dependencies && dependencies->state.blocked);
  }
  // An unfinished job waits for its end.
  bool hasDependents() const { return dependencies && dependencies->state.hasDependents; }
  // Since when it may run, time of day.
  std::int64_t readyAtMs() const {
    std::int64_t lastEnd = dependencies ? dependencies->state.readyAtMs : 0;
    return std::max(record.acceptedAtMs, lastEnd);
  }
  // Its description as work is ordered by it: with the priority of the jobs that need it.
  const std::shared_ptr<const JobSpec>& orderedSpec() const {
    return dependencies && dependencies->ordered ? dependencies->ordered : record.spec;
  }
  bool isFinished(std::uint32_t index) const;
  // The part that this task is in, if it is in one.
  std::optional<std::pair<std::uint32_t, std::uint32_t>> subChunkOf(std::uint32_t index) const;
  // Of flows' jobs: failed more often than its rule is tried again.
  bool isGivenUp(std::uint32_t index) const;
  bool isDropped(std::uint32_t index) const { return record.flow && record.flow->drops(index); }
  // Has ended for good, or is no longer wanted.
  bool isSettled(std::uint32_t index) const {
    return isFinished(index) || (record.flow && (isDropped(index) || isGivenUp(index)));
  }
  // Tasks that neither are settled nor may be on a machine.
  std::uint32_t waiting() const;
  std::uint32_t failuresOf(std::uint32_t index) const;
};

// A task that may be on a machine. The job stays where it is for as long as the copy does.
struct PlacedTask {
  AttemptId id;
  WorkerEpoch workerEpoch;
  const JobState* job{};
};

// What is on record of a machine: by its rental, and by its tasks.
struct MachineState {
  RentalId rental;
  TypeId type;
  ZoneId zone;
  bool spot{};
  bool draining{};  // its release was or will be asked for: never gets work again
  std::int64_t rentedAtMs{};
  std::vector<PlacedTask> tasks;

  const PlacedTask* find(const AttemptId& id) const;
};

class Replica : private JobRecords {
 public:
  // Applies one change unless something as new is already here.
  void apply(const Change& change);
  // Everything up to `epoch` has been applied.
  void advance(Revision revision);
  void clear();

  // Slices whose records the copy only passes on. They outlive it.
  void add(RecordHandler& handler) { handlers_.push_back(&handler); }

  Revision cursor() const { return cursor_; }
  // Of any job or flow that is cancelled in this copy, when it came to be, or was last changed.
  Revision newestCancellation() const {
    return std::max(newestCancelledJob_, flows_.newestCancellation());
  }
  // A flow was cancelled whose jobs are not yet: its tasks are not stopped by what is here.
  bool flowCancellationUnderWay() const;
  Revision modRevisionOf(const std::string& key) const;

  const std::map<JobId, JobState>& jobs() const { return jobs_; }
  const JobState* job(const JobId& id) const;
  const std::map<MachineId, MachineState>& machines() const { return machines_; }
  const MachineState* machine(const MachineId& id) const;
  const std::map<RentalId, RentalRecord>& rentals() const { return rentals_; }
  // These tasks of one stretch of a job, put together from what is known of them; `whole`: with
  // what is known of the stretch besides, else of the part that begins so.
  TaskChunkRecord tasksOf(const JobState& job, std::uint32_t first, std::uint32_t last,
                          bool whole) const;
  // Parts of jobs that are on record no more: by key, with their stamps.
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
  // A secret of the controllers, for cursors; empty until one of them has made it.
  const std::string& cursorKey() const { return cursorKey_; }
  // Which unfinished jobs wait for which others.
  const JobGraph& dependencies() const { return graph_; }
  // Jobs that are active or still on a machine.
  const std::map<JobId, JobState*>& live() const { return live_; }

 private:
  bool knowsJobOf(const std::string& key, const std::string& prefix) const;
  void setJob(const JobId& id, const Json* value, Revision modRevision);
  void setTasks(const std::string& rest, const Json* value, Revision modRevision);
  void setSubChunk(const std::string& key, const Json* value, Revision modRevision);
  // What a record says of these tasks; of a stretch, but for those that are in parts.
  void applyTaskChunk(const JobId& id, JobState& job, std::uint32_t first, std::uint32_t last,
                      bool whole, TaskChunkRecord record);
  void setRental(const RentalId& id, const Json* value);
  void addPlacement(const JobId& id, JobState& job, std::uint32_t index,
                    const TaskPlacement& placed);
  void removePlacement(const JobId& id, std::uint32_t index, const TaskPlacement& placed);
  void eraseIfUnused(std::map<MachineId, MachineState>::iterator machine);
  void settle(JobState& job, const JobId& id);
  void setDependencyPart(const std::string& rest, const Json* value);
  void updateDependencies(JobState& job, const JobId& id);
  std::optional<DependencyInput> dependencyInputOf(const JobId& id) const override;
  void dependenciesChanged(const JobId& id, const DependencyState& state) override;

  std::vector<RecordHandler*> handlers_;
  Interned<ImageId> images_;
  Interned<TeamId> teams_;
  Revision cursor_;
  Revision newestCancelledJob_;
  std::unordered_map<std::string, Revision> modRevisions_;
  std::unordered_map<std::string, Revision> drops_;  // newer than the cursor
  std::map<JobId, JobState> jobs_;
  std::map<JobId, JobState*> live_;
  JobGraph graph_;
  // Parts of lists of awaited jobs, until the job is over.
  std::map<JobId, std::map<std::uint32_t, std::vector<JobId>>> dependencyParts_;
  std::map<std::string, Revision> orphanSubChunks_;
  std::map<MachineId, MachineState> machines_;
  std::map<RentalId, RentalRecord> rentals_;
  std::optional<LeaderRecord> leader_;
  std::optional<Json> catalogue_;
  std::optional<Json> forecast_;
  FlowReplica flows_;
  KeyRing keyRing_;
  JobIndex memberJobs_;
  std::string cursorKey_;
};

}  // namespace kestrelhoist
