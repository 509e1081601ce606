// This file finds jobs that wait although a machine has free resources for them. After the end of
// all injected faults no job may wait like this for long.
#include <algorithm>
#include <limits>

#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {
constexpr std::int64_t kSampleIntervalMs = 1000;
constexpr std::int64_t kMaxWaitMs = 90000;
constexpr double kRoundingTolerance = 1e-9;
}  // namespace

// Returns the free resources as the workers see them. A task uses its resources until it has ended,
// whether or not its image is fetched.
std::map<std::string, World::FreeResources> World::freeResourcesByMachine() const {
  std::map<std::string, FreeResources> out;
  for (const auto& [host, w] : workers) {
    if (!w->takesWork() || failingHosts_.contains(host)) continue;
    FreeResources r{w->zone, w->spot, settings.cpus, settings.gpus, settings.ram};
    for (const auto& t : w->tasks) {
      if (t.state == "ended") continue;
      const JobPlan* p = plan(t.job);
      r.cpus -= p ? p->cpus : t.needs.cpus;
      r.gpus -= p ? p->gpus : t.needs.gpus;
      r.ram -= p ? p->ram : 0;
    }
    out.emplace(host, r);
  }
  return out;
}

// Returns the tasks of the job that have not completed and are on no machine.
std::set<int> World::missingTasks(const std::string& id, const UserJob& job) const {
  std::set<int> out;
  for (int i = 0; i < job.plan.tasks; ++i) {
    if (!results.contains({id, i})) out.insert(i);
  }
  for (const auto& [host, w] : workers) {
    for (const auto& t : w->tasks) {
      if (t.job == id && t.state != "ended") out.erase(t.index);
    }
  }
  return out;
}

double World::teamGpuUse(const std::string& team) const {
  double gpus = 0;
  for (const auto& [host, w] : workers) {
    for (const auto& t : w->tasks) {
      const JobPlan* p = plan(t.job);
      if (t.state != "ended" && p && p->team == team) gpus += p->gpus;
    }
  }
  return gpus;
}

// Returns how many tasks fit into the free resources, as a fraction. Resources that the tasks do
// not need are no limit unless more than all of them are used.
double World::taskCapacity(const JobPlan& p, const FreeResources& free) {
  double capacity = std::numeric_limits<double>::infinity();
  auto limitTo = [&capacity](double needed, double available) {
    if (needed > 0) {
      capacity = std::min(capacity, available / needed);
    } else if (available < -kRoundingTolerance) {
      capacity = 0;
    }
  };
  limitTo(p.cpus, free.cpus);
  limitTo(p.gpus, free.gpus);
  limitTo(p.ram, free.ram);
  return capacity;
}

// Returns the machines that can hold one more task of the job. A gang needs resources for all of
// its missing tasks, so its result is empty unless the machines (of one zone if `together` is set)
// can hold all of them.
std::set<std::string> World::suitableMachines(
    const std::string& id, const JobPlan& p, std::size_t missing,
    const std::map<std::string, FreeResources>& freeResources) const {
  bool gang = p.shape == "ensemble";
  double wanted = p.gpus * static_cast<double>(gang ? missing : 1);
  if (settings.gpusMax > 0 && teamGpuUse(p.team) + wanted > settings.gpusMax + kRoundingTolerance)
    return {};
  std::map<std::string, int> perZone;
  for (const auto& [host, w] : workers) {
    for (const auto& t : w->tasks) perZone[w->zone] += t.job == id && t.state != "ended";
  }
  bool hasPlacedTasks =
      std::any_of(perZone.begin(), perZone.end(), [](auto& z) { return z.second > 0; });
  // The key is the zone if all tasks must run in one zone, otherwise it is empty.
  std::map<std::string, std::set<std::string>> machines;
  std::map<std::string, std::size_t> capacityByZone;
  for (const auto& [host, r] : freeResources) {
    if (r.spot && !p.spot) continue;
    if (!p.zone.empty() && p.zone != r.zone) continue;
    if (p.together && hasPlacedTasks && perZone[r.zone] == 0) continue;
    if (p.apart && perZone[r.zone] >= (p.tasks + 1) / 2) continue;
    double capacity = std::min(taskCapacity(p, r), static_cast<double>(missing));
    if (capacity + kRoundingTolerance < 1) continue;
    const std::string& key = p.together ? r.zone : std::string();
    machines[key].insert(host);
    capacityByZone[key] += static_cast<std::size_t>(capacity + kRoundingTolerance);
  }
  std::set<std::string> out;
  for (auto& [zone, hosts] : machines) {
    if (!gang || capacityByZone[zone] >= missing) out.merge(hosts);
  }
  return out;
}

void World::sampleWaitingJobs() {
  clock.in(kSampleIntervalMs, [this] { sampleWaitingJobs(); });
  std::map<std::string, FreeResources> freeResources;
  bool hasFreeResources = false;
  for (auto& [id, j] : users_) {
    bool isObserved =
        j.accepted && !j.cancelRequested && j.finalPhase.empty() && j.plan.failsAfterS < 0;
    auto missing = isObserved ? missingTasks(id, j) : std::set<int>{};
    if (missing.empty()) {
      j.suitableMachinesSince.clear();
      continue;
    }
    if (!std::exchange(hasFreeResources, true)) freeResources = freeResourcesByMachine();
    auto machines = suitableMachines(id, j.plan, missing.size(), freeResources);
    std::erase_if(j.suitableMachinesSince,
                  [&](const auto& e) { return !machines.contains(e.first); });
    for (const auto& host : machines) {
      auto since = j.suitableMachinesSince.try_emplace(host, clock.now()).first->second;
      if (areFaultsOver_ && clock.now() - since >= kMaxWaitMs) waitedTooLong_.try_emplace(id, host);
    }
  }
}

void World::markFaultsOver() {
  areFaultsOver_ = true;
  waitedTooLong_.clear();
  for (auto& [id, j] : users_) j.suitableMachinesSince.clear();
}

std::map<std::string, std::string> World::jobsWaitingTooLong() const {
  auto out = waitedTooLong_;
  for (const auto& [id, j] : users_) {
    for (const auto& [host, since] : j.suitableMachinesSince) {
      if (clock.now() - since >= kMaxWaitMs) out.try_emplace(id, host);
    }
  }
  return out;
}

void World::expectNoWaiting() {
  for (const auto& [id, host] : jobsWaitingTooLong()) {
    fail("waits", id + " although " + host + " has room");
  }
}

std::vector<std::string> World::machinesOf(const std::string& id) const {
  std::vector<std::string> out;
  for (const auto& [host, w] : workers) {
    if (!w->isDead && std::any_of(w->tasks.begin(), w->tasks.end(), [&](const Worker::Task& t) {
          return t.job == id && t.state != "ended";
        })) {
      out.push_back(host);
    }
  }
  return out;
}

std::vector<std::string> World::runningFor(double leastS) const {
  std::set<std::string> out;
  for (const auto& [host, w] : workers) {
    for (const auto& t : w->tasks) {
      auto job = users_.find(t.job);
      if (!Worker::isExecuting(t) || job == users_.end()) continue;
      const UserJob& j = job->second;
      if (!j.accepted || j.cancelRequested || !j.finalPhase.empty()) continue;
      auto saved = progress.find({t.job, t.index});
      double left = j.plan.runS + t.index * j.plan.staggerS -
                    (saved == progress.end() ? 0 : saved->second) -
                    static_cast<double>(clock.now() - t.startedAt) / 1000.0;
      if (j.plan.shape == "daemon" || left >= leastS) out.insert(t.job);
    }
  }
  return {out.begin(), out.end()};
}

}  // namespace kestrelhoist::sim
