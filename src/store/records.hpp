/// \file
/// Defines the values of the records in the state service and converts them to and from JSON. The
/// keys of these records are defined in record_keys.hpp.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"
#include "flows/records.hpp"
#include "jobs/spec.hpp"
#include "members/records.hpp"
#include "store/commit_limits.hpp"
#include "store/record_keys.hpp"

namespace kestrelhoist {

/// Marks the finished tasks of one task chunk with one bit per task. The stored form is a string of
/// hex digits.
class TaskBits {
 public:
  static constexpr std::uint32_t kMaxBits = 4096;
  void set(std::uint32_t offset, bool on = true);
  bool test(std::uint32_t offset) const;
  std::uint32_t count() const;
  std::string toHex() const;
  static std::optional<TaskBits> fromHex(const std::string& text);

 private:
  std::vector<std::uint8_t> bytes_;
};

/// Identifies the member who submitted a job and the member's own reference for the job. The job id
/// is derived from both (see memberJob).
struct JobOwner {
  Owner owner;
  std::string ref;
};

/// Holds the stored state of one job, apart from that of its tasks.
struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  JobPhase phase = JobPhase::active;
  /// Holds the wall-clock time at which the job was accepted. The time is used only to order jobs
  /// and to compute deadlines.
  std::int64_t acceptedAtMs{};
  /// Holds the number of tasks that share one TaskChunkRecord.
  std::uint32_t chunkSize{};
  /// Null unless the job's tasks are instances of a flow.
  std::shared_ptr<const FlowTaskMapping> flow{};
  /// Null unless a member submitted the job with a key.
  std::shared_ptr<const JobOwner> owner{};
  /// Holds the wall-clock time at which the job ended. It is 0 if that time is not on record.
  std::int64_t endedAtMs{};
  /// Holds the number of separate records that list the job's dependencies. It is 0 if the job spec
  /// lists them all.
  std::uint32_t dependencyParts{};
};

/// Names the machine, the worker epoch and the attempt for which a task was placed. The task may or
/// may not have started there.
struct TaskPlacement {
  MachineId machine;
  WorkerEpoch workerEpoch;  ///< Identifies the worker session that received the task.
  Attempt attempt;
  auto operator<=>(const TaskPlacement&) const = default;
};

/// Holds the stored state of the tasks in one chunk or sub-chunk of a job. The record lists the
/// finished tasks and the tasks that may be on machines, so that one write can change many tasks on
/// any number of machines.
///
/// If the state service's limit on values was lowered, the record of an older chunk may grow beyond
/// the new limit. Such a chunk record is never written again. Changes of its tasks are written to
/// sub-chunk records, whose keys contain the first task index and the index one past the last task.
/// A sub-chunk record is complete for its tasks, and the chunk record is out of date for them.
struct TaskChunkRecord {
  TaskBits finished;
  /// Maps task indexes to placements.
  std::map<std::uint32_t, TaskPlacement> placed;
  /// Maps the indexes of unfinished tasks to their numbers of failures. Only jobs of flows use this
  /// field.
  std::map<std::uint32_t, std::uint32_t> failures;
  /// Holds the total resource use of attempts that have ended. Only jobs of flows use this field.
  ResourceUse use;
};

/// Returns how many tasks a chunk may have so that its record fits into `valueBytes` even if every
/// task is on a different machine.
std::uint32_t chunkSizeFor(std::size_t valueBytes);

/// Describes a request to rent machines and lists the machines that the cloud granted. The record
/// is written before the request is sent, and it is deleted once none of its machines is left.
/// Machines that the cloud lists without any rental are recorded as a new rental.
struct RentalRecord {
  struct RentedMachine {
    MachineId id;
    /// Is true if the machine's termination was or will be requested. A draining machine never gets
    /// work again.
    bool draining{};
  };
  RentalId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  std::uint32_t count{};
  std::int64_t requestedAtMs{};  ///< Holds the wall-clock time of the request.
  bool answered{};               ///< Is true if `machines` lists the granted machines.
  std::vector<RentedMachine> machines;
};

/// Names the leader. The modification revision of the leader's record is the fencing token.
struct LeaderRecord {
  MemberId member;
  std::string incarnation;  ///< Distinguishes successive processes of the same controller.
};

/// Returns the write of the record of a job that ends. If the record is longer than a value may be,
/// or was set aside, the lists of dependencies and machine types are left out, because only
/// unfinished jobs need them.
/// @param revision The revision of the job's record, which the caller compares.
Write endedJobWrite(const JobId& id, const JobRecord& record, Revision revision,
                    const CommitLimits& limits);
/// Returns the most bytes of JSON text that a placement adds to a record of task placements.
std::size_t maxPlacementBytes(std::uint32_t index, const TaskPlacement& placement);

Json toJson(const JobRecord& r);
Json toJson(const TaskChunkRecord& r);
Json toJson(const RentalRecord& r);
Json toJson(const LeaderRecord& r);
std::optional<JobRecord> jobRecordFromJson(const JobId& id, const Json& v);
std::optional<TaskChunkRecord> taskChunkRecordFromJson(const Json& v);
std::optional<RentalRecord> rentalRecordFromJson(const RentalId& id, const Json& v);
std::optional<LeaderRecord> leaderRecordFromJson(const Json& v);

}  // namespace kestrelhoist
