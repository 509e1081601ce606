// What goes where. Pure: a picture of the cluster in, placements and stops out.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/types.hpp"
#include "config/platform.hpp"
#include "jobs/spec.hpp"
#include "store/client.hpp"

namespace kestrelhoist {

struct PlanTask {
  AttemptId id;
  std::shared_ptr<const JobSpec> spec;
  bool stopping{};  // its stop was asked for: the room will be free soon
  Duration age{};   // since it was placed, as far as known
};

struct PlanMachine {
  MachineId id;
  TypeId type;
  ZoneId zone;
  bool spot{};
  bool usable{};                // may get new work now
  Room room;                    // of the whole machine
  std::size_t slots{};          // how many more tasks its record can hold
  std::vector<PlanTask> tasks;  // everything that may be on it
  std::set<ImageId> images;     // cached or being fetched, as far as known
  std::set<ImageId> held;       // of these, the ones that need no fetch any more
  double fetchGbPerS{};
  Revision stamp;
};

struct PlanJob {
  std::shared_ptr<const JobSpec> spec;
  std::int64_t acceptedAtMs{};
  double remainingS{};  // estimated run time of all its tasks that are not done, together
  std::vector<std::uint32_t> waiting;       // first tasks to place, bounded
  std::uint32_t waitingCount{};             // all of them
  std::map<ZoneId, std::uint32_t> perZone;  // tasks that may be on machines
  Revision stamp;
};

struct PlanInput {
  std::vector<PlanMachine> machines;
  std::vector<PlanJob> jobs;
  std::map<TeamId, Team> teams;
  std::size_t maxMachines{};  // how many machines' records may change
};

struct Placement {
  TaskId task;
  std::size_t job{};      // index in the input
  std::size_t machine{};  // index in the input
};

struct Stop {
  AttemptId id;
  MachineId machine;
  Duration grace{};
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<Stop> stops;
  std::vector<std::uint32_t> unplaced;  // per job of the input: tasks that found no room
  bool deferred{};                      // there were placements beyond maxMachines
};

Plan makePlan(const PlanInput& input);

// Time to save that a stopped task is given.
Duration graceFor(const JobSpec& spec);

}  // namespace kestrelhoist
