// This file simulates users of jobs with dependencies. They submit a job after its dependencies are
// accepted or, for some jobs, have ended, cancel some jobs, and poll often when a job is cancelled.
#include <algorithm>

#include "sim/world.hpp"

namespace kestrelhoist::sim {
namespace {

std::int64_t ms(double s) { return static_cast<std::int64_t>(s * 1000); }

// Users poll all controllers at these times after a cancellation that affects more than one job.
constexpr std::int64_t kCloseQuestionsMs[] = {0, 5, 20, 50, 100, 250, 600, 1500, 4000};

}  // namespace

void World::submit(const JobPlan& job) {
  unsent_.push_back(job);
  sendThoseReady();
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
    return std::any_of(unsent_.begin(), unsent_.end(), [&](const auto& p) { return p.id == id; });
  };
  return std::all_of(job.awaits.begin(), job.awaits.end(), [&](const std::string& id) {
    if (id == job.id) return true;
    if (!pipelines.isKnown(id)) return !stillToCome(id);
    return job.late ? pipelines.isOver(id) : pipelines.isAccepted(id);
  });
}

void World::sendThoseReady() {
  for (bool some = true; some;) {
    auto ready = std::find_if(unsent_.begin(), unsent_.end(),
                              [this](const JobPlan& p) { return isReady(p); });
    some = ready != unsent_.end();
    if (!some) break;
    JobPlan job = *ready;
    unsent_.erase(ready);
    send(job);
  }
}

void World::onAccepted(const std::string& id) {
  sendThoseReady();
  const JobPlan& plan = users_[id].plan;
  if (plan.cancelAfterS < 0) return;
  int node = static_cast<int>(random() % nodes_.size());
  clock.in(ms(plan.cancelAfterS), [this, id, node] { abortThrough(id, node); });
}

void World::onOver(const std::string& id) {
  sendThoseReady();
  if (users_[id].told != "withdrawn") return;
  auto concerned = pipelines.after(id);
  if (!concerned.empty()) concerned.push_back(id);
  for (const auto& other : concerned) {
    if (pipelines.isAccepted(other)) askEverywhere(other);
  }
}

void World::askEverywhere(const std::string& id) {
  for (std::int64_t at : kCloseQuestionsMs) {
    clock.in(at, [this, id] {
      for (int node = 0; node < settings.nodes; ++node) {
        toNode(node, {"GET", "/v2/runs/" + id, ""}, 2000,
               [this, id, askedAt = clock.now()](const std::optional<Response>& r) {
                 if (r && r->status == 200) note(id, *r, askedAt);
                 if (r && r->status == 404) fail("forgotten", id + " asked closely: 404");
               });
      }
    });
  }
}

void World::askAllOfPipelines(std::int64_t everyMs, std::int64_t forMs) {
  if (forMs <= 0) return;
  for (const auto& id : pipelines.unsettled()) {
    auto node = static_cast<int>(random() % nodes_.size());
    toNode(node, {"GET", "/v2/runs/" + id, ""}, 2000,
           [this, id, askedAt = clock.now()](const std::optional<Response>& r) {
             if (r && r->status == 200) note(id, *r, askedAt);
             if (r && r->status == 404) fail("forgotten", id + " asked closely: 404");
           });
  }
  clock.in(everyMs, [this, everyMs, forMs] { askAllOfPipelines(everyMs, forMs - everyMs); });
}

std::vector<std::string> World::unsettled() const {
  auto out = pipelines.unsettled();
  for (const auto& job : unsent_) out.push_back(job.id);
  return out;
}

std::int64_t World::owedFrom(const std::string& id, const UserJob& j) const {
  if (!j.accepted || j.abortAsked || pipelines.withdrawnAbove(id)) return -1;
  std::int64_t released = pipelines.releasedAt(id);
  return released < 0 ? -1 : std::max(j.acceptedAt, released);
}

std::int64_t World::cancelledSince(const std::string& id, const UserJob& j) const {
  std::int64_t above = pipelines.cancelledSince(id);
  if (j.cancelledToldAt < 0 || above < 0) return std::max(j.cancelledToldAt, above);
  return std::min(j.cancelledToldAt, above);
}

}  // namespace kestrelhoist::sim
