// This file simulates users of jobs with dependencies. They submit a job after its dependencies are
// accepted or, for some jobs, have ended, cancel some jobs, and poll often when a job is cancelled.
#include <algorithm>

#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {

std::int64_t ms(double s) { return static_cast<std::int64_t>(s * 1000); }

// Users poll all controllers at these times after a cancellation that affects more than one job.
constexpr std::int64_t kPollDelaysMs[] = {0, 5, 20, 50, 100, 250, 600, 1500, 4000};

}  // namespace

void World::submit(const JobPlan& job) {
  unsentJobs_.push_back(job);
  sendReadyJobs();
}

void World::send(const JobPlan& job) {
  users_[job.id].plan = job;
  pipelines.sent(job.id, {job.tasks, job.awaits, job.shape == "daemon", !job.awaitsText.empty()});
  trySubmit(job.id);
}

// Returns whether the user may submit the job now. A dependency that no user is going to submit has
// a wrong id and does not delay the job.
bool World::isReady(const JobPlan& job) const {
  auto stillToCome = [this](const std::string& id) {
    return std::any_of(unsentJobs_.begin(), unsentJobs_.end(),
                       [&](const auto& p) { return p.id == id; });
  };
  return std::all_of(job.awaits.begin(), job.awaits.end(), [&](const std::string& id) {
    if (id == job.id) return true;
    if (!pipelines.isKnown(id)) return !stillToCome(id);
    return job.submitAfterDependencies ? pipelines.isOver(id) : pipelines.isAccepted(id);
  });
}

void World::sendReadyJobs() {
  for (bool hasReadyJob = true; hasReadyJob;) {
    auto ready = std::find_if(unsentJobs_.begin(), unsentJobs_.end(),
                              [this](const JobPlan& p) { return isReady(p); });
    hasReadyJob = ready != unsentJobs_.end();
    if (!hasReadyJob) break;
    JobPlan job = *ready;
    unsentJobs_.erase(ready);
    send(job);
  }
}

void World::onAccepted(const std::string& id) {
  sendReadyJobs();
  const JobPlan& plan = users_[id].plan;
  if (plan.cancelAfterS < 0) return;
  int node = static_cast<int>(random() % nodes_.size());
  clock.in(ms(plan.cancelAfterS), [this, id, node] { abortThrough(id, node); });
}

void World::onOver(const std::string& id) {
  sendReadyJobs();
  if (users_[id].finalPhase != "withdrawn") return;
  auto affectedJobs = pipelines.dependentsOf(id);
  if (!affectedJobs.empty()) affectedJobs.push_back(id);
  for (const auto& other : affectedJobs) {
    if (pipelines.isAccepted(other)) pollAllControllers(other);
  }
}

void World::pollAllControllers(const std::string& id) {
  for (std::int64_t at : kPollDelaysMs) {
    clock.in(at, [this, id] {
      for (int node = 0; node < settings.nodes; ++node) {
        sendToController(node, {"GET", "/v2/runs/" + id, ""}, 2000,
                         [this, id, requestedAt = clock.now()](const std::optional<Response>& r) {
                           if (r && r->status == 200) recordResponse(id, *r, requestedAt);
                           if (r && r->status == 404)
                             fail("forgotten", id + " status request got 404");
                         });
      }
    });
  }
}

void World::pollPipelineJobs(std::int64_t everyMs, std::int64_t forMs) {
  if (forMs <= 0) return;
  for (const auto& id : pipelines.unfinishedJobs()) {
    auto node = static_cast<int>(random() % nodes_.size());
    sendToController(node, {"GET", "/v2/runs/" + id, ""}, 2000,
                     [this, id, requestedAt = clock.now()](const std::optional<Response>& r) {
                       if (r && r->status == 200) recordResponse(id, *r, requestedAt);
                       if (r && r->status == 404) fail("forgotten", id + " status request got 404");
                     });
  }
  clock.in(everyMs, [this, everyMs, forMs] { pollPipelineJobs(everyMs, forMs - everyMs); });
}

std::vector<std::string> World::unfinishedJobs() const {
  auto out = pipelines.unfinishedJobs();
  for (const auto& job : unsentJobs_) out.push_back(job.id);
  return out;
}

std::int64_t World::dueFrom(const std::string& id, const UserJob& j) const {
  if (!j.accepted || j.cancelRequested || pipelines.hasCancelledDependency(id)) return -1;
  std::int64_t released = pipelines.dependenciesDoneAt(id);
  return released < 0 ? -1 : std::max(j.acceptedAt, released);
}

std::int64_t World::cancelledSince(const std::string& id, const UserJob& j) const {
  std::int64_t dependencyCancelledAt = pipelines.cancelledSince(id);
  if (j.cancellationReportedAt < 0 || dependencyCancelledAt < 0)
    return std::max(j.cancellationReportedAt, dependencyCancelledAt);
  return std::min(j.cancellationReportedAt, dependencyCancelledAt);
}

}  // namespace kestrelhoist::sim
