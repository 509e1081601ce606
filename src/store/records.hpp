/// The values of the records in the state service and their codecs; record_keys.hpp has the keys.
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
#include "store/record_keys.hpp"

namespace kestrelhoist {

/// Finished tasks of one stretch of a job, a bit each; written as hex digits.
class TaskBits {
 public:
  static constexpr std::uint32_t kMost = 4096;
  void set(std::uint32_t offset, bool on = true);
  bool test(std::uint32_t offset) const;
  std::uint32_t count() const;
  std::string toHex() const;
  std::size_t hexSize() const { return bytes_.size() * 2; }
  static std::optional<TaskBits> fromHex(const std::string& text);

 private:
  std::vector<std::uint8_t> bytes_;
};

/// Of a member's job: whose it is, and what the member calls it. The key has a name that the
/// service made of both (memberJob).
struct JobOwner {
  Owner owner;
  std::string ref;
};

struct JobRecord {
  std::shared_ptr<const JobSpec> spec;
  JobPhase phase = JobPhase::active;
  std::int64_t acceptedAtMs{};  ///< time of day, to order and to judge deadlines only
  std::uint32_t chunkSize{};    ///< how many of its tasks share one TaskChunkRecord
  std::shared_ptr<const FlowTaskMapping> flow{};  ///< if its tasks are instances of a flow
  std::shared_ptr<const JobOwner> owner{};        ///< if a member submitted it with a key
  std::int64_t endedAtMs{};                       ///< time of day of its end; 0: not known
  /// The jobs that it awaits are in so many records of their own; 0: in its description.
  std::uint32_t dependencyParts{};
};

/// Where a task may be.
struct TaskPlacement {
  MachineId machine;
  WorkerEpoch workerEpoch;  ///< the worker's session that it was placed in
  Attempt attempt;
  auto operator<=>(const TaskPlacement&) const = default;
};

/// One stretch of a job's tasks: which are finished, and which may be on machines. A change of
/// many tasks of a job, on any number of machines, is one write.
///
/// A stretch whose record may outgrow the state service's limit since that was lowered is never
/// written again: parts of it are, each a record of this form under a key that names its first task
/// and the one past its last. A part says all there is to know of its tasks; what the stretch's own
/// record says of them is out of date.
struct TaskChunkRecord {
  TaskBits finished;
  std::map<std::uint32_t, TaskPlacement> placed;  ///< by the task's number
  /// Of flows' jobs only.
  std::map<std::uint32_t, std::uint32_t> failures;  ///< of tasks that are not finished
  ResourceUse use;                                  ///< of attempts that have ended

  /// Of the value in text form, an upper bound for as many finished tasks: what the limits of the
  /// state service count.
  std::size_t bytes() const;
};

/// How many tasks a stretch may have, so that each of them on a machine of its own still fits.
std::uint32_t chunkSizeFor(std::size_t valueBytes);

/// A rental: written before it is asked for, then the machines that it brought, until the last of
/// them is gone. Machines that nobody expected are adopted as a rental of their own.
struct RentalRecord {
  struct Member {
    MachineId id;
    bool draining{};  ///< its release was or will be asked for: never gets work again
  };
  RentalId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  std::uint32_t count{};
  std::int64_t atMs{};  ///< time of day
  bool answered{};      ///< `machines` holds what came of it
  std::vector<Member> machines;
};

struct LeaderRecord {
  MemberId member;
  std::string incarnation;  ///< tells apart the lives of a process
};

Json toJson(const JobRecord& r);
Json toJson(const TaskChunkRecord& r);
Json toJson(const RentalRecord& r);
Json toJson(const LeaderRecord& r);
std::optional<JobRecord> jobRecordFrom(const JobId& id, const Json& v);
std::optional<TaskChunkRecord> taskChunkRecordFrom(const Json& v);
std::optional<RentalRecord> rentalRecordFrom(const RentalId& id, const Json& v);
std::optional<LeaderRecord> leaderRecordFrom(const Json& v);

}  // namespace kestrelhoist
