// Every node's copy of all records, kept by reading changes; never older than the reads that
// were waited for.
#pragma once

#include <map>
#include <unordered_map>

#include "store/client.hpp"
#include "store/records.hpp"

namespace kestrelhoist {

// Where a task is placed.
struct Placed {
  MachineId machine;
  Attempt attempt;
  auto operator<=>(const Placed&) const = default;
};

struct JobState {
  JobRecord record;  // spec stays until the job is over and off every machine
  Revision stamp;
  std::uint32_t tasks{};
  std::map<std::uint32_t, TaskBits> finished;  // by chunk
  std::uint32_t finishedCount{};
  std::map<std::uint32_t, Placed> placed;  // by task

  bool active() const { return record.phase == JobPhase::active; }
  bool isFinished(std::uint32_t index) const;
};

class Replica {
 public:
  // Applies one change unless something as new is already here.
  void apply(const Change& change);
  // Everything up to `epoch` has been applied.
  void advance(Revision epoch);
  void clear();

  Revision cursor() const { return cursor_; }
  Revision stampOf(const std::string& key) const;

  const std::map<JobId, JobState>& jobs() const { return jobs_; }
  const JobState* job(const JobId& id) const;
  const std::map<MachineId, MachineRecord>& machines() const { return machines_; }
  const MachineRecord* machine(const MachineId& id) const;
  const std::map<HireId, HireRecord>& hires() const { return hires_; }
  const std::optional<LeaderRecord>& leader() const { return leader_; }
  Token leaderToken() const { return Token{stampOf(keys::kLeader).value}; }
  const std::optional<Json>& catalogue() const { return catalogue_; }
  const std::optional<Json>& forecast() const { return forecast_; }
  // Jobs that are active or still on a machine.
  const std::map<JobId, JobState*>& live() const { return live_; }

 private:
  void setJob(const JobId& id, const Json* value, Revision stamp);
  void setProgress(const std::string& rest, const Json* value);
  void setMachine(const MachineId& id, const Json* value);
  void settle(JobState& job, const JobId& id);

  Revision cursor_;
  std::unordered_map<std::string, Revision> stamps_;
  std::unordered_map<std::string, Revision> drops_;  // newer than the cursor
  std::map<JobId, JobState> jobs_;
  std::map<JobId, JobState*> live_;
  std::map<MachineId, MachineRecord> machines_;
  std::map<HireId, HireRecord> hires_;
  std::optional<LeaderRecord> leader_;
  std::optional<Json> catalogue_;
  std::optional<Json> forecast_;
};

}  // namespace kestrelhoist
