/// Implements the scenario steps that let time pass, print figures of the world, or remember its
/// state for later expectations.
#include <iostream>

#include "scenario.hpp"

namespace kestrelhoist::sim {

// run SECONDS: lets this much virtual time pass.
void Scenario::runWorld(const Line& line) { world_->runFor(std::stod(line.words.at(1))); }

// running CLASS: prints how many replicas of the class run now.
void Scenario::printRunning(const Line& line) {
  const std::string& jobClass = line.words.at(1);
  std::cout << "  " << jobClass << " at " << world_->now() << " s: " << world_->runningOf(jobClass)
            << " running, leader " << world_->leaderNode() << "\n";
}

// tell WHAT: prints the waiting times by class and the machine time used so far.
void Scenario::printSummary(const Line& line) {
  World& world = *world_;
  std::cout << line.words.at(1) << " at " << world.now() << " s, " << world.region.machineSeconds()
            << " machine s, " << world.state.changeCount << " changes, " << world.state.readCount
            << " reads\n";
  world.printWaitingTimes(std::cout);
  if (const auto* policy = world.policy(); policy && policy->active()) {
    const auto& state = policy->state();
    std::cout << "  covered " << state.coveredShare << ", uncovered " << state.uncoveredReplicas
              << ", storm " << policy->massFailure() << "\n";
  }
}

// traffic WHAT: prints the traffic between controllers per second since the last `traffic` line.
void Scenario::printTraffic(const Line& line) {
  World& world = *world_;
  std::cout << line.words.at(1) << " at " << world.now() << " s, " << world.workers.size()
            << " machines\n";
  for (const auto& [path, sum] : world.network.traffic) {
    auto& before = trafficBefore_[path];
    double seconds = world.now() - trafficAt_;
    const bool isCounted =
        path.starts_with("/mesh") || path.starts_with("/agent") || path == "/commands";
    if (sum.requests <= before.requests || !isCounted) continue;
    std::cout << "  " << path << ": "
              << static_cast<double>(sum.requests - before.requests) / seconds << " requests, "
              << static_cast<double>(sum.bytes - before.bytes) / seconds / 1024
              << " KiB a second\n";
  }
  trafficBefore_ = world.network.traffic;
  trafficAt_ = world.now();
}

// mark NODE: remembers the controller for `expect leader unmarked`.
void Scenario::markController(const Line& line) { marked_ = nodeOf(line.words.at(1)); }

// markzone ZONE N: remembers N machines of the zone that have tasks, for `expect marked`.
void Scenario::markMachinesOfZone(const Line& line) {
  markedMachines_.clear();
  machinesMarkedAt_ = world_->clock.now();
  for (const auto& machine : world_->machinesWithTasks()) {
    if (world_->workers.at(machine)->zone == line.words.at(1)) markedMachines_.insert(machine);
  }
  EXPECT_EQ(markedMachines_.size(), std::stoul(line.words.at(2)));
}

// watch ID: starts to record the service's replicas, for `expect fewest`.
void Scenario::watchJob(const Line& line) {
  world_->recordReplicas(line.words.at(1));
  leadershipsBefore_ = world_->leaderships;
}

// gaps ID: prints the periods in which replicas were missing since `watch`.
void Scenario::printGaps(const Line& line) {
  const ReplicaGaps& gaps = world_->gapsOf(line.words.at(1));
  std::cout << "  gaps of " << line.words.at(1) << ": " << gaps.missingMs()
            << " replica ms missing;";
  for (auto length : gaps.sortedLengthsMs()) std::cout << " " << length;
  std::cout << "\n";
}

// recover ID N most S: lets time pass until N replicas run, and fails after S seconds.
void Scenario::awaitRecovery(const Line& line) {
  constexpr double kStepS = 0.1;
  const std::string& id = line.words.at(1);
  const int replicas = std::stoi(line.words.at(2));
  const double begun = world_->now();
  const double most = std::stod(line.words.at(4));
  while (world_->runningReplicas(id) < replicas && world_->now() - begun < most) {
    world_->runFor(kStepS);
  }
  EXPECT_EQ(world_->runningReplicas(id), replicas) << "after " << most << " s";
  std::cout << "  " << id << ": " << world_->runningReplicas(id) << " replicas after "
            << world_->now() - begun << " s\n";
}

}  // namespace kestrelhoist::sim
