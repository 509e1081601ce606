/// \file
/// Indexes the machines of the replica by id. It combines the records of rentals and the placements
/// of tasks.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "store/records.hpp"

namespace kestrelhoist {

struct JobState;

/// Describes a task that may be on a machine.
struct PlacedTask {
  AttemptId id;
  WorkerEpoch workerEpoch;
  /// Points into the replica. The pointer stays valid while the task is in the index.
  const JobState* job{};
};

/// Holds the state of a machine as given by the records of its rental and of its placed tasks.
struct MachineState {
  RentalId rental;
  TypeId type;
  ZoneId zone;
  bool spot{};
  /// Is true if the machine's termination was or will be requested, or its rental is unknown. A
  /// draining machine gets no work.
  bool draining{};
  std::int64_t rentedAtMs{};  ///< Holds the wall-clock time of the rental request.
  std::vector<PlacedTask> tasks;

  /// Returns the task of this attempt, or null if it is not on this machine. The pointer is valid
  /// until the replica next changes.
  const PlacedTask* find(const AttemptId& id) const;
};

/// Indexes rentals and machines by id. A machine is in the index while a rental lists it or a task
/// is placed on it.
class MachineIndex {
 public:
  const std::map<MachineId, MachineState>& machines() const { return machines_; }
  const std::map<RentalId, RentalRecord>& rentals() const { return rentals_; }
  /// Returns the machine, or null if it is not in the index.
  const MachineState* find(const MachineId& id) const;

  /// Adds a task that was placed on a machine. `job` must stay valid until the task is removed.
  void addTask(const TaskId& task, const TaskPlacement& placement, const JobState& job);
  void removeTask(const TaskId& task, const TaskPlacement& placement);

  /// Applies a rental's record, or its deletion if `value` is null. An unreadable record is logged
  /// and ignored.
  void applyRental(const RentalId& id, const Json* value);

 private:
  using Machines = std::map<MachineId, MachineState>;
  void addMachinesOf(const RentalRecord& record);
  /// Removes the rental from the machines that its previous record lists and `record` does not.
  /// `record` is null if the rental was deleted.
  void detachMissing(const RentalId& id, const RentalRecord* record);
  void eraseIfUnused(Machines::iterator machine);

  Machines machines_;
  std::map<RentalId, RentalRecord> rentals_;
};

}  // namespace kestrelhoist
