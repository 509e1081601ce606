/// The machines of the replica: indexed by id, joined from rentals and from placed tasks.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "store/records.hpp"

namespace kestrelhoist {

struct JobState;

/// A task that may be on a machine. The job stays where it is for as long as the replica does.
struct PlacedTask {
  AttemptId id;
  WorkerEpoch workerEpoch;
  const JobState* job{};
};

/// What is on record of a machine: by its rental, and by its tasks.
struct MachineState {
  RentalId rental;
  TypeId type;
  ZoneId zone;
  bool spot{};
  bool draining{};            ///< its release was or will be asked for: it never gets work again
  std::int64_t rentedAtMs{};  ///< time of day
  std::vector<PlacedTask> tasks;

  /// Returns the task of this attempt, or null. Valid until the replica next changes.
  const PlacedTask* find(const AttemptId& id) const;
};

/// Rentals by id, and machines by id. A machine is known while it is on a rental or has a task.
class MachineIndex {
 public:
  const std::map<MachineId, MachineState>& machines() const { return machines_; }
  const std::map<RentalId, RentalRecord>& rentals() const { return rentals_; }
  /// Returns the machine, or null if it is not known.
  const MachineState* find(const MachineId& id) const;

  /// Adds a task that may now be on a machine. `job` must outlive the index's entry of the task.
  void addTask(const TaskId& task, const TaskPlacement& placement, const JobState& job);
  void removeTask(const TaskId& task, const TaskPlacement& placement);

  /// Takes in a rental's record, or its removal if `value` is null. An unreadable record is logged
  /// and ignored.
  void applyRental(const RentalId& id, const Json* value);

 private:
  using Machines = std::map<MachineId, MachineState>;
  void addMachinesOf(const RentalRecord& record);
  /// Machines that were on the previous record of the rental and are not on `record` (null: none).
  void detachMissing(const RentalId& id, const RentalRecord* record);
  void eraseIfUnused(Machines::iterator machine);

  Machines machines_;
  std::map<RentalId, RentalRecord> rentals_;
};

}  // namespace kestrelhoist
