// This file checks the rules of PROTOCOL at each task start, and measures service and waiting
// times.
#include <algorithm>

#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {
std::int64_t ms(double s) { return static_cast<std::int64_t>(s * 1000); }
}  // namespace

void World::sampleReplicaGaps() {
  constexpr std::int64_t kSampleIntervalMs = 20;
  clock.in(kSampleIntervalMs, [this] { sampleReplicaGaps(); });
  for (auto& [id, gaps] : gaps_) gaps.sample(clock.now(), runningReplicas(id));
}

// Samples the received and the due service of each job five times a second.
void World::sampleService() {
  clock.in(200, [this] { sampleService(); });
  constexpr std::int64_t kGraceMs = 60000;
  for (auto& [id, least] : minRunningByService_) least = std::min(least, runningReplicas(id));
  for (auto& [id, j] : users_) {
    std::int64_t from = dueFrom(id, j);
    if (from < 0 || j.plan.failsAfterS >= 0 || clock.now() - from < kGraceMs) continue;
    double received = 0, due = static_cast<double>(j.plan.tasks);
    if (j.plan.shape == "daemon") {
      received = runningReplicas(id);
    } else if (clock.now() - from < kGraceMs + ms(3 * j.plan.runS)) {
      continue;
    } else {
      for (int i = 0; i < j.plan.tasks; ++i) received += results.contains({id, i}) ? 1 : 0;
    }
    j.received += received;
    j.due += due;
    if (j.sampledFrom < 0) j.sampledFrom = clock.now();
  }
}

std::set<std::string> World::largestJobs(const std::string& jobClass) const {
  std::vector<std::pair<double, std::string>> jobsBySize;
  for (const auto& [id, j] : users_) {
    bool isDue = dueFrom(id, j) >= 0 && j.plan.failsAfterS < 0;
    if (!isDue || j.plan.jobClass != jobClass) continue;
    double share = std::max(
        {j.plan.gpus / settings.gpus, j.plan.cpus / settings.cpus, j.plan.ram / settings.ram});
    jobsBySize.emplace_back(-share * j.plan.tasks, id);
  }
  std::sort(jobsBySize.begin(), jobsBySize.end());
  std::set<std::string> out;
  for (std::size_t i = 0; i < (jobsBySize.size() + 9) / 10; ++i) out.insert(jobsBySize[i].second);
  return out;
}

double World::secondsUntilStart(const std::string& id) const {
  const auto& j = users_.at(id);
  std::int64_t from = std::max(j.acceptedAt, pipelines.dependenciesDoneAt(id));
  return j.firstStartAt < 0 ? 1e9 : static_cast<double>(j.firstStartAt - from) / 1000.0;
}

void World::printWaitingTimes(std::ostream& out) const {
  std::map<std::string, std::pair<std::vector<double>, std::vector<double>>> classes;
  std::map<std::string, int> never;
  for (const auto& [id, j] : users_) {
    std::int64_t from = dueFrom(id, j);
    if (from < 0) continue;
    auto& [began, done] = classes[j.plan.jobClass];
    if (j.firstStartAt >= 0) {
      began.push_back(static_cast<double>(j.firstStartAt - from) / 1000);
    } else {
      ++never[j.plan.jobClass];
    }
    if (j.doneAt >= 0) done.push_back(static_cast<double>(j.doneAt - from) / 1000);
  }
  auto line = [&out](std::vector<double> v) {
    if (v.empty()) return;
    std::sort(v.begin(), v.end());
    double sum = 0;
    for (double x : v) sum += x;
    out << sum / static_cast<double>(v.size()) << " s, nine tenths " << v[v.size() * 9 / 10]
        << " s, longest " << v.back() << " s";
  };
  for (auto& [name, c] : classes) {
    out << "  " << name << ": " << c.first.size() << " began after ";
    line(c.first);
    out << "; " << c.second.size() << " done after ";
    line(c.second);
    out << "; not begun " << never[name] << "\n";
  }
}

std::set<std::string> World::unanswered(std::int64_t withinMs) const {
  std::set<std::string> out;
  for (const auto& [id, j] : users_) {
    if (j.accepted && !j.cancelRequested && clock.now() - j.lastResponseAt > withinMs)
      out.insert(id);
  }
  return out;
}

std::map<std::string, double> World::underserved(double least, std::int64_t sampledMs) const {
  struct Sum {
    double received{}, due{};
    // The first sample was taken at this time.
    std::int64_t from = -1;
  };
  std::map<std::string, Sum> sums;
  std::map<std::string, double> out;
  std::map<std::string, std::set<std::string>> largestOf;
  constexpr std::int64_t kMaxStartDelayMs = 240000;
  for (const auto& [id, j] : users_) {
    const std::string& jobClass = j.plan.jobClass;
    if (!largestOf.contains(jobClass)) largestOf[jobClass] = largestJobs(jobClass);
    bool large = largestOf[jobClass].contains(id);
    std::int64_t from = dueFrom(id, j);
    if (large && clock.now() - from > kMaxStartDelayMs &&
        (j.firstStartAt < 0 || j.firstStartAt - from > kMaxStartDelayMs)) {
      out["largest " + jobClass] = 0;
    }
    if (j.due <= 0) continue;
    for (const auto& what : {"class " + jobClass, "team " + j.plan.team,
                             large ? "largest " + jobClass : std::string()}) {
      if (what.empty()) continue;
      Sum& s = sums[what];
      s.received += j.received;
      s.due += j.due;
      if (s.from < 0 || j.sampledFrom < s.from) s.from = j.sampledFrom;
    }
  }
  for (const auto& [what, s] : sums) {
    bool longEnough = clock.now() - s.from >= sampledMs;
    if (longEnough && s.received < least * s.due) out.emplace(what, s.received / s.due);
  }
  return out;
}

void World::expectServed(double least) {
  for (const auto& [what, share] : underserved(least, 0)) {
    fail("underserved", what + ": " + std::to_string(share));
  }
}

void World::onStart(Worker& worker, const Worker::Task& task) {
  ++starts;
  const JobPlan* p = plan(task.job);
  std::string name = task.job + "/" + std::to_string(task.index) + " on " + worker.host;
  bool ofFlow = task.job.starts_with("f-");
  std::map<std::string, int> perZone;
  // This sums the GPUs of the team's running tasks. Flow tasks count for every team.
  double gpus = 0;
  auto sameTeam = [&](const JobPlan* other) { return !p || !other || other->team == p->team; };
  for (const auto& [host, w] : workers) {
    for (const auto& t : w->tasks) {
      if (!Worker::isExecuting(t)) continue;
      if (sameTeam(plan(t.job))) gpus += t.needs.gpus;
      if (t.job != task.job) continue;
      ++perZone[w->zone];
      if (t.index == task.index && w.get() != &worker) {
        fail("ran_twice", name + " while on " + host);
      }
    }
  }
  if (settings.gpusMax > 0 && gpus > settings.gpusMax + 1e-9) fail("quota", name);
  if (ofFlow) return;
  pipelines.started(task.job, task.index);
  auto& j = users_[task.job];
  if (j.firstStartAt < 0) j.firstStartAt = clock.now();
  std::int64_t cancelled = cancelledSince(task.job, j);
  if (cancelled >= 0 && clock.now() - cancelled > ms(settings.cancelS)) {
    fail("ran_cancelled", name + " starts");
  }
  if (worker.spot && !p->spot) fail("wrong_place", name + ": spot");
  if (!p->zone.empty() && p->zone != worker.zone) fail("wrong_place", name + ": zone");
  if (p->together && perZone.size() > 1) fail("wrong_place", name + ": not together");
  if (p->apart && perZone[worker.zone] > (p->tasks + 1) / 2) fail("wrong_place", name + ": apart");
}

void World::checkCancelled() {
  for (const auto& [id, j] : users_) {
    std::int64_t cancelled = cancelledSince(id, j);
    if (cancelled < 0) continue;
    std::int64_t since = clock.now() - cancelled;
    for (const auto& [host, w] : workers) {
      for (const auto& t : w->tasks) {
        // A hanging machine does not run its tasks, and after its lease expiry it can't resume
        // them.
        if (t.job != id || !Worker::isExecuting(t) || w->hasLeaseExpired()) continue;
        longestCancelledRunMs_ = std::max(longestCancelledRunMs_, since);
        if (since > ms(settings.cancelS)) fail("ran_cancelled", id + " on " + host);
      }
    }
  }
  clock.in(500, [this] { checkCancelled(); });
}

}  // namespace kestrelhoist::sim
