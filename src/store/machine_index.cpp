#include "store/machine_index.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {

const PlacedTask* MachineState::find(const AttemptId& id) const {
  auto task = std::find_if(tasks.begin(), tasks.end(),
                           [&](const PlacedTask& candidate) { return candidate.id == id; });
  return task == tasks.end() ? nullptr : &*task;
}

const MachineState* MachineIndex::find(const MachineId& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

void MachineIndex::addTask(const TaskId& task, const TaskPlacement& placement,
                           const JobState& job) {
  auto [it, isNew] = machines_.try_emplace(placement.machine);
  // Without a rental the machine's type and zone are unknown, so it must get no work.
  if (isNew) it->second.draining = true;
  it->second.tasks.push_back({{task, placement.attempt}, placement.workerEpoch, &job});
}

void MachineIndex::removeTask(const TaskId& task, const TaskPlacement& placement) {
  auto it = machines_.find(placement.machine);
  if (it == machines_.end()) return;
  AttemptId attempt{task, placement.attempt};
  std::erase_if(it->second.tasks, [&](const PlacedTask& placed) { return placed.id == attempt; });
  eraseIfUnused(it);
}

// Erases a machine that no rental lists and no task is placed on.
void MachineIndex::eraseIfUnused(Machines::iterator machine) {
  if (machine->second.rental.empty() && machine->second.tasks.empty()) machines_.erase(machine);
}

void MachineIndex::applyRental(const RentalId& id, const Json* value) {
  auto record = value ? rentalRecordFromJson(id, *value) : std::nullopt;
  if (value && !record) {
    logError("rental record is malformed; ignoring it", "rental", id);
    return;
  }
  if (record) addMachinesOf(*record);
  detachMissing(id, record ? &*record : nullptr);
  if (record) {
    rentals_.insert_or_assign(id, std::move(*record));
  } else {
    rentals_.erase(id);
  }
}

void MachineIndex::addMachinesOf(const RentalRecord& record) {
  for (const auto& member : record.machines) {
    MachineState& machine = machines_[member.id];
    machine.rental = record.id;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.rentedAtMs = record.requestedAtMs;
    machine.draining = member.draining;
  }
}

void MachineIndex::detachMissing(const RentalId& id, const RentalRecord* record) {
  auto previous = rentals_.find(id);
  if (previous == rentals_.end()) return;
  for (const auto& member : previous->second.machines) {
    auto isSame = [&](const RentalRecord::RentedMachine& other) { return other.id == member.id; };
    if (record && std::any_of(record->machines.begin(), record->machines.end(), isSame)) continue;
    auto it = machines_.find(member.id);
    if (it == machines_.end() || it->second.rental != id) continue;
    it->second.rental = RentalId{};
    it->second.draining = true;
    eraseIfUnused(it);
  }
}

}  // namespace kestrelhoist
