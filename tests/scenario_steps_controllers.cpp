/// Steps of scenarios that disturb controllers and the services that they need.
#include "scenario.hpp"

namespace kestrelhoist::sim {

// upgrade EVERY: each in turn ends and is the new version
void Scenario::upgradeControllers(const Line& line) {
  for (int i = 0; i < settings_.nodes; ++i) {
    world_->clock.in(i * toMilliseconds(line.words.at(1)),
                     [world = world_.get(), i] { world->upgrade(i, 4000); });
  }
}

// alone NODE MODE SECONDS: neither state service nor controllers
void Scenario::isolateController(const Line& line) {
  alone(line.words.at(1), line.words.at(2), toMilliseconds(line.words.at(3)));
}

// clock NODE off SECONDS, back or forward: its time of day
void Scenario::stepClock(const Line& line) {
  world_->stepClock(nodeOf(line.words.at(1)), toMilliseconds(line.words.at(3)));
}

// crash WHO [SECONDS]: until the process is back
void Scenario::crashOnce(const Line& line) {
  const auto& words = line.words;
  crash(words.at(1), words.size() > 2 ? toMilliseconds(words[2]) : kRestartMs);
}

// crashes WHO EVERY SECONDS TIMES: who it is then
void Scenario::crashRepeatedly(const Line& line) {
  const auto& words = line.words;
  for (int i = 0; i < std::stoi(words.at(4)); ++i) {
    world_->clock.in(i * toMilliseconds(words.at(2)),
                     [this, words] { crash(words.at(1), toMilliseconds(words.at(3))); });
  }
}

// catch STEP WHO DOWN TIMES: who ends at that step of an election
void Scenario::crashInElection(const Line& line) {
  const auto& words = line.words;
  catches_.push_back(
      {words.at(1), words.at(2), toMilliseconds(words.at(3)), std::stoi(words.at(4))});
  watchElection();
}

// freeze NODE SECONDS
void Scenario::freezeController(const Line& line) {
  world_->freeze(nodeOf(line.words.at(1)), toMilliseconds(line.words.at(2)));
}

// trouble crash|freeze|slow|refuse|outage|all|state|workers|peers NODE SECONDS
void Scenario::troubleController(const Line& line) {
  const std::string& kind = line.words.at(1);
  int node = nodeOf(line.words.at(2));
  auto duration = toMilliseconds(line.words.at(3));
  if (kind == "crash") world_->crash(node, duration);
  if (kind == "freeze") world_->freeze(node, duration);
  if (kind == "slow") link(node, "peers", "slow", duration);
  if (kind == "refuse") world_->state.rejectRequestsFrom("node" + std::to_string(node), duration);
  if (kind == "outage") world_->state.outage(duration);
  // Off from all, or one of its links, and others that go with them.
  for (const char* to : {"all", "state", "workers", "peers"}) {
    if (kind == to) link(node, to, "hold", duration);
  }
}

// state_limits VALUEKB OPS WRITES: from now on
void Scenario::limitStateService(const Line& line) {
  const auto& words = line.words;
  world_->limitState(std::stoi(words.at(1)), std::stoi(words.at(2)), std::stod(words.at(3)));
}

// slow state ANSWERS SECONDS: its answers take so much longer
void Scenario::slowStateService(const Line& line) {
  world_->network.stateServiceDelayMs = toMilliseconds(line.words.at(2));
  world_->clock.in(toMilliseconds(line.words.at(3)),
                   [world = world_.get()] { world->network.stateServiceDelayMs = 0; });
}

// refuse NODE SECONDS: by the state service alone
void Scenario::refuseController(const Line& line) {
  world_->state.rejectRequestsFrom(
      "node" + std::to_string(world_->parseController(line.words.at(1))),
      toMilliseconds(line.words.at(2)));
}

// outage state|cloud SECONDS
void Scenario::beginOutage(const Line& line) {
  const std::string& service = line.words.at(1);
  auto duration = [&] { return toMilliseconds(line.words.at(2)); };
  if (service == "state") world_->state.outage(duration());
  if (service == "cloud") world_->region.cloudOutageUntil = world_->clock.now() + duration();
}

// chaos SECONDS
void Scenario::drawFaults(const Line& line) { chaos(std::stod(line.words.at(1))); }

// beside WHAT SECONDS
void Scenario::faultBeside(const Line& line) {
  beside(line.words.at(1), toMilliseconds(line.words.at(2)));
}

// gap TIMES
void Scenario::refuseThenOutage(const Line& line) { gap(std::stoi(line.words.at(1))); }

// meet WHAT SECONDS
void Scenario::combineFaults(const Line& line) {
  meet(line.words.at(1), toMilliseconds(line.words.at(2)));
}

}  // namespace kestrelhoist::sim
