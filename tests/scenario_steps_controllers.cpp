/// Implements the scenario steps that disturb controllers and the services that they need.
#include "scenario.hpp"

namespace kestrelhoist::sim {

// upgrade EVERY: restarts one controller after another with the new version, EVERY seconds apart.
void Scenario::upgradeControllers(const Line& line) {
  for (int i = 0; i < settings_.nodes; ++i) {
    world_->clock.in(i * toMilliseconds(line.words.at(1)),
                     [world = world_.get(), i] { world->upgrade(i, 4000); });
  }
}

// alone NODE MODE SECONDS: cuts the controller off from the state service and from its peers.
void Scenario::isolateController(const Line& line) {
  isolate(line.words.at(1), line.words.at(2), toMilliseconds(line.words.at(3)));
}

// clock NODE off SECONDS: steps the controller's time of day forward, or back if SECONDS is
// negative.
void Scenario::stepClock(const Line& line) {
  world_->stepClock(nodeOf(line.words.at(1)), toMilliseconds(line.words.at(3)));
}

// crash WHO [SECONDS]: crashes the controllers; their processes restart after SECONDS.
void Scenario::crashOnce(const Line& line) {
  const auto& words = line.words;
  crash(words.at(1), words.size() > 2 ? toMilliseconds(words[2]) : kRestartMs);
}

// crashes WHO EVERY SECONDS TIMES: crashes repeatedly; WHO is resolved anew before each crash.
void Scenario::crashRepeatedly(const Line& line) {
  const auto& words = line.words;
  for (int i = 0; i < std::stoi(words.at(4)); ++i) {
    world_->clock.in(i * toMilliseconds(words.at(2)),
                     [this, words] { crash(words.at(1), toMilliseconds(words.at(3))); });
  }
}

// catch STEP WHO DOWN TIMES: crashes these controllers at that step of an election.
void Scenario::crashInElection(const Line& line) {
  const auto& words = line.words;
  electionCrashes_.push_back(
      {words.at(1), words.at(2), toMilliseconds(words.at(3)), std::stoi(words.at(4))});
  watchElection();
}

// freeze NODE SECONDS: suspends the controller's process for that time.
void Scenario::freezeController(const Line& line) {
  world_->freeze(nodeOf(line.words.at(1)), toMilliseconds(line.words.at(2)));
}

// trouble crash|freeze|slow|refuse|outage|all|state|workers|peers NODE SECONDS: causes this fault
// at the controller or at the services that it needs.
void Scenario::troubleController(const Line& line) {
  const std::string& kind = line.words.at(1);
  int node = nodeOf(line.words.at(2));
  auto duration = toMilliseconds(line.words.at(3));
  if (kind == "crash") world_->crash(node, duration);
  if (kind == "freeze") world_->freeze(node, duration);
  if (kind == "slow") link(node, "peers", "slow", duration);
  if (kind == "refuse") world_->state.rejectRequestsFrom("node" + std::to_string(node), duration);
  if (kind == "outage") world_->state.outage(duration);
  // The other kinds hold one group of the controller's links, or all of them.
  for (const char* to : {"all", "state", "workers", "peers"}) {
    if (kind == to) link(node, to, "hold", duration);
  }
}

// state_limits VALUEKB OPS WRITES: changes the limits of the state service from now on.
void Scenario::limitStateService(const Line& line) {
  const auto& words = line.words;
  world_->limitState(std::stoi(words.at(1)), std::stoi(words.at(2)), std::stod(words.at(3)));
}

// slow state ANSWERS SECONDS: delays the state service's answers by ANSWERS seconds.
void Scenario::slowStateService(const Line& line) {
  world_->network.stateServiceDelayMs = toMilliseconds(line.words.at(2));
  world_->clock.in(toMilliseconds(line.words.at(3)),
                   [world = world_.get()] { world->network.stateServiceDelayMs = 0; });
}

// refuse NODE SECONDS: makes the state service refuse this controller's requests.
void Scenario::refuseController(const Line& line) {
  world_->state.rejectRequestsFrom(
      "node" + std::to_string(world_->parseController(line.words.at(1))),
      toMilliseconds(line.words.at(2)));
}

// outage state|cloud SECONDS: makes the state service or the cloud fail for that time.
void Scenario::beginOutage(const Line& line) {
  const std::string& service = line.words.at(1);
  auto duration = [&] { return toMilliseconds(line.words.at(2)); };
  if (service == "state") world_->state.outage(duration());
  if (service == "cloud") world_->region.cloudOutageUntil = world_->clock.now() + duration();
}

// chaos SECONDS: plays random faults, jobs and cancellations for that time.
void Scenario::drawFaults(const Line& line) { chaos(std::stod(line.words.at(1))); }

// beside WHAT SECONDS: adds another fault at the same time.
void Scenario::faultBeside(const Line& line) {
  addFault(line.words.at(1), toMilliseconds(line.words.at(2)));
}

// gap TIMES: plays the combination that ScenarioFaultCombinations::gap describes.
void Scenario::refuseThenOutage(const Line& line) { gap(std::stoi(line.words.at(1))); }

// meet WHAT SECONDS: plays one of the combinations of ScenarioFaultCombinations::meet.
void Scenario::combineFaults(const Line& line) {
  meet(line.words.at(1), toMilliseconds(line.words.at(2)));
}

}  // namespace kestrelhoist::sim
