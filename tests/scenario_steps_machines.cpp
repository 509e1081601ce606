/// Implements the scenario steps that disturb the network and the machines.
#include "scenario.hpp"

namespace kestrelhoist::sim {

// cut NODE from GROUP MODE SECONDS: cuts the controller's links to the group in both directions.
void Scenario::cutController(const Line& line) {
  const auto& words = line.words;
  world_->network.cut("node" + std::to_string(world_->parseController(words.at(1))),
                      group(words.at(3)), mode(words.at(4)), toMilliseconds(words.at(5)));
}

// link NODE to GROUP HOW SECONDS: disturbs the controller's links to the group as HOW says.
void Scenario::cutLink(const Line& line) {
  const auto& words = line.words;
  ASSERT_EQ(words.at(2), "to");
  link(nodeOf(words.at(1)), words.at(3), words.at(4), toMilliseconds(words.at(5)));
}

// slowness SECONDS: sets the round-trip delay that links in mode `slow` add.
void Scenario::setSlowness(const Line& line) {
  world_->network.slowLinkDelayMs = toMilliseconds(line.words.at(1)) / 2;
}

// flap NODE to GROUP MODE EVERY DOWN TIMES: cuts the links repeatedly; NODE is resolved anew before
// each cut.
void Scenario::flapLink(const Line& line) {
  const auto& words = line.words;
  for (int i = 0; i < std::stoi(words.at(7)); ++i) {
    world_->clock.in(i * toMilliseconds(words.at(5)), [this, words] {
      link(nodeOf(words.at(1)), words.at(3), words.at(4), toMilliseconds(words.at(6)));
    });
  }
}

// cutzone leader|other MODE SECONDS: cuts the controller's zone off from everything outside it.
void Scenario::cutZoneOff(const Line& line) {
  int node = world_->parseController("leader");
  if (line.words.at(1) == "other") node = (node + 1) % settings_.nodes;
  cutZone(node, mode(line.words.at(2)), toMilliseconds(line.words.at(3)));
}

// cutmachine WHICH MODE SECONDS: cuts the machine off. In mode `in` its messages arrive, but no
// message reaches it.
void Scenario::cutMachine(const Line& line) {
  const auto& words = line.words;
  CutWay way = words.at(2) == "in" ? CutWay::in : CutWay::both;
  world_->network.cut(busyMachine(words.at(1)), {}, mode(words.at(2)), toMilliseconds(words.at(3)),
                      way);
}

// deafzone ZONE|all hold|drop SECONDS: keeps all messages from reaching the zone's machines.
void Scenario::cutInboundOfZone(const Line& line) {
  const auto& words = line.words;
  blockMessagesToZone(words.at(1), mode(words.at(2)), toMilliseconds(words.at(3)));
}

// lose answers|late SHARE: loses this share of all answers, or delays this share of all requests.
void Scenario::loseMessages(const Line& line) {
  auto& network = world_->network;
  (line.words.at(1) == "answers" ? network.responseLossShare : network.lateRequestShare) =
      std::stod(line.words.at(2));
}

// lose_answers WHICH to|of|both SECONDS: loses the answers to one machine's reports (`to`), its
// answers to direct commands (`of`), or both. The reports and the commands themselves arrive.
void Scenario::loseAnswersOfMachine(const Line& line) {
  const auto& words = line.words;
  const std::string host = busyMachine(words.at(1));
  ASSERT_TRUE(world_->workers.contains(host)) << "no such machine";
  const std::int64_t until = world_->clock.now() + toMilliseconds(words.at(3));
  auto& network = world_->network;
  if (words.at(2) != "of") network.responsesToHostLostUntil[host] = until;
  if (words.at(2) != "to") network.responsesFromHostLostUntil[host] = until;
}

// late_writes SHARE SECONDS: applies this share of the transactions 2 to 12 s late.
void Scenario::delayWrites(const Line& line) {
  world_->network.lateTransactionShare = std::stod(line.words.at(1));
  world_->clock.in(toMilliseconds(line.words.at(2)),
                   [world = world_.get()] { world->network.lateTransactionShare = 0; });
}

// held SHARE FROM TO: delays this share of direct commands and of answers to workers by FROM to TO
// seconds.
void Scenario::delayCommands(const Line& line) {
  const auto& words = line.words;
  world_->network.delayedCommands = {std::stod(words.at(1)), toMilliseconds(words.at(2)),
                                     toMilliseconds(words.at(3))};
}

// copies SHARE FROM TO: delivers a copy of this share of reports FROM to TO seconds later.
void Scenario::duplicateReports(const Line& line) {
  const auto& words = line.words;
  world_->network.duplicateReports = {std::stod(words.at(1)), toMilliseconds(words.at(2)),
                                      toMilliseconds(words.at(3))};
}

// command_copies SHARE FROM TO: delivers a copy of this share of the direct commands FROM TO
// seconds after the worker has carried them out and answered.
void Scenario::duplicateCommands(const Line& line) {
  const auto& words = line.words;
  world_->region.commandCopies = {std::stod(words.at(1)), toMilliseconds(words.at(2)),
                                  toMilliseconds(words.at(3))};
}

// capacity spot|ordinary PER_ZONE: sets how many machines of this market each zone can provide.
void Scenario::setCapacity(const Line& line) {
  world_->region.setCapacity(line.words.at(1) == "spot", std::stoi(line.words.at(2)));
}

// dieshare SHARE: makes this share of the running machines fail at once.
void Scenario::endShareOfMachines(const Line& line) {
  std::vector<simulator::Worker*> up;
  for (const auto& [host, worker] : world_->workers) {
    if (!worker->isDead) up.push_back(worker.get());
  }
  std::shuffle(up.begin(), up.end(), world_->random);
  double share = std::stod(line.words.at(1));
  up.resize(static_cast<std::size_t>(static_cast<double>(up.size()) * share));
  for (auto* worker : up) worker->die();
}

// die MACHINE: makes the machine fail.
void Scenario::endMachine(const Line& line) {
  auto host = busyMachine(line.words.at(1));
  ASSERT_TRUE(world_->workers.contains(host)) << "no such machine";
  world_->workers[host]->die();
}

// hang MACHINE SECONDS: suspends the machine for that time.
void Scenario::hangMachine(const Line& line) {
  auto host = busyMachine(line.words.at(1));
  ASSERT_TRUE(world_->workers.contains(host)) << "no such machine";
  world_->workers[host]->hang(toMilliseconds(line.words.at(2)));
}

// notice MACHINE SECONDS: gives the machine notice that it terminates in that time.
void Scenario::giveTerminationNotice(const Line& line) {
  auto host = busyMachine(line.words.at(1));
  ASSERT_TRUE(world_->workers.contains(host)) << "no such machine";
  world_->workers[host]->notice(toMilliseconds(line.words.at(2)));
}

}  // namespace kestrelhoist::sim
