#include "placement/planner.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace kestrelhoist {

Duration graceFor(const JobSpec& spec) {
  // A little more than asked for, so that rounding does not cost the save.
  return spec.checkpoints() ? spec.saveTime + Duration{500} : Duration{0};
}

namespace {

// Seconds of fetching from which it is worth stopping less important work on a machine that has
// the image: about what a stop and a launch take.
constexpr double kWorthStopping = 3.0;

// Points of a machine's score; a spot machine is worth 30, a full one 10 more than an empty one.
constexpr double kPerSecondOfFetch = 3.0;

class Planner {
 public:
  explicit Planner(const PlanInput& in) : in_(in) {
    for (const auto& m : in_.machines) {
      Room free = m.room, soon = m.room;
      for (const auto& t : m.tasks) {
        free -= t.spec->perTask;
        if (!t.stopping) soon -= t.spec->perTask;
        state_.used[t.spec->team] += t.spec->perTask;
      }
      state_.free.push_back(free);
      state_.soon.push_back(soon);
      state_.slots.push_back(m.slots);
      auto& fetching = state_.fetching.emplace_back();
      for (const auto& t : m.tasks) {
        if (!m.held.contains(t.spec->image)) fetching[t.spec->image] = t.spec->imageGb;
      }
    }
    state_.plan.unplaced.resize(in_.jobs.size());
  }

  Plan run() {
    std::vector<std::size_t> order(in_.jobs.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      const auto& x = in_.jobs[a];
      const auto& y = in_.jobs[b];
      if (x.spec->priority != y.spec->priority) return x.spec->priority > y.spec->priority;
      // When there is not room for all, the least remaining work first ends the most jobs in
      // time; services have none and go by age.
      if (x.remainingS != y.remainingS) return x.remainingS < y.remainingS;
      if (x.acceptedAtMs != y.acceptedAtMs) return x.acceptedAtMs < y.acceptedAtMs;
      return x.spec->id < y.spec->id;
    });
    for (auto j : order) placeJob(j);
    return std::move(state_.plan);
  }

 private:
  void placeJob(std::size_t j) {
    const PlanJob& job = in_.jobs[j];
    perZone_ = job.perZone;
    siblings_.clear();
    for (std::size_t m = 0; m < in_.machines.size(); ++m) {
      for (const auto& t : in_.machines[m].tasks) {
        if (t.id.task.job == job.spec->id) ++siblings_[m];
      }
    }
    // A gang only runs whole: if it does not fit, nothing of it is placed.
    std::optional<State> before;
    if (job.spec->kind == JobKind::gang) before = state_;
    std::uint32_t placed = placeTasks(j);
    if (before && placed < job.waitingCount) {
      state_ = std::move(*before);
      placed = 0;
    }
    state_.plan.unplaced[j] = job.waitingCount - placed;
  }

  std::uint32_t placeTasks(std::size_t j) {
    const PlanJob& job = in_.jobs[j];
    std::uint32_t placed = 0;
    for (auto index : job.waiting) {
      if (!withinLimit(*job.spec)) break;
      auto machine = bestFree(*job.spec);
      if (machine && slowToFetch(*job.spec, *machine) && makeRoom(*job.spec, true)) {
        // Less important work goes from a machine that has the image.
      } else if (machine) {
        book(*job.spec, *machine);
        state_.soon[*machine] -= job.spec->perTask;
        emit(j, index, *machine);
      } else if (!makeRoom(*job.spec, false)) {
        break;  // the next task of this job is no smaller
      }
      ++placed;
    }
    return placed;
  }

  void emit(std::size_t j, std::uint32_t index, std::size_t m) {
    if (!state_.changed.contains(m) && state_.changed.size() >= in_.maxMachines) {
      state_.plan.deferred = true;
      return;
    }
    state_.changed.insert(m);
    state_.plan.placements.push_back({{in_.jobs[j].spec->id, index}, j, m});
  }

  void book(const JobSpec& spec, std::size_t m) {
    if (!in_.machines[m].held.contains(spec.image)) state_.fetching[m][spec.image] = spec.imageGb;
    state_.free[m] -= spec.perTask;
    --state_.slots[m];
    state_.used[spec.team] += spec.perTask;
    ++perZone_[in_.machines[m].zone];
    ++siblings_[m];
  }

  bool withinLimit(const JobSpec& spec) const {
    auto team = in_.teams.find(spec.team);
    if (team == in_.teams.end()) return false;
    auto used = state_.used.find(spec.team);
    Room total = spec.perTask + (used == state_.used.end() ? Room{} : used->second);
    const Room& limit = team->second.limit;
    return (limit.cpus <= 0 || total.cpus <= limit.cpus + 1e-6) &&
           (limit.gpus <= 0 || total.gpus <= limit.gpus + 1e-6);
  }

  // Whether the task may be on this machine at all, given the job's other tasks.
  bool allowed(const JobSpec& spec, std::size_t m) const {
    const auto& machine = in_.machines[m];
    if (!machine.usable || state_.slots[m] == 0) return false;
    if (!spec.allowsType(machine.type) || (machine.spot && !spec.spotAllowed)) return false;
    if (spec.zone && *spec.zone != machine.zone) return false;
    auto here = perZone_.find(machine.zone);
    std::uint32_t inZone = here == perZone_.end() ? 0 : here->second;
    if (spec.spread && inZone >= spec.zoneLimit()) return false;
    if (spec.oneZone && inZone == 0) {
      for (const auto& [zone, count] : perZone_) {
        if (count > 0) return false;
      }
    }
    return true;
  }

  double score(const JobSpec& spec, std::size_t m) const {
    const auto& machine = in_.machines[m];
    double s = 0;
    s -= kPerSecondOfFetch * startDelayS(spec, m);
    if (spec.spotAllowed && machine.spot) s += 30;
    auto here = siblings_.find(m);
    if (spec.kind == JobKind::service && here != siblings_.end()) s -= 200.0 * here->second;
    // The fullest machine that holds it, so that whole machines fall idle.
    s += 10 * (machine.room - state_.free[m]).shareOf(machine.room);
    if (spec.oneZone && perZone_.empty()) {
      // All must follow into this zone: the one with the most room.
      double room = 0;
      for (std::size_t o = 0; o < in_.machines.size(); ++o) {
        if (in_.machines[o].zone == machine.zone && in_.machines[o].usable) {
          room += 1.0 - (machine.room - state_.free[o]).shareOf(machine.room);
        }
      }
      s += 1000 * room;
    }
    return s;
  }

  std::optional<std::size_t> bestFree(const JobSpec& spec) const {
    std::optional<std::size_t> best;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (std::size_t m = 0; m < in_.machines.size(); ++m) {
      if (!spec.perTask.fitsIn(state_.free[m]) || !allowed(spec, m)) continue;
      double s = score(spec, m);
      if (s > bestScore) {
        best = m;
        bestScore = s;
      }
    }
    return best;
  }

  static bool exceeds(const Room& used, const Room& guaranteed) {
    return used.cpus > guaranteed.cpus + 1e-6 || used.gpus > guaranteed.gpus + 1e-6;
  }

  bool withinGuarantee(const JobSpec& spec) const {
    auto team = in_.teams.find(spec.team);
    if (team == in_.teams.end()) return false;
    const Room& g = team->second.guaranteed;
    if (g.cpus <= 0 && g.gpus <= 0) return false;
    auto used = state_.used.find(spec.team);
    return !exceeds(spec.perTask + (used == state_.used.end() ? Room{} : used->second), g);
  }

  // The two cases in which a task may be stopped for another's sake.
  bool mayStopFor(const JobSpec& spec, bool guaranteed, const PlanTask& victim) const {
    if (victim.stopping) return false;
    if (victim.spec->priority < spec.priority) return true;
    if (!guaranteed || victim.spec->team == spec.team) return false;
    auto team = in_.teams.find(victim.spec->team);
    auto used = state_.used.find(victim.spec->team);
    if (used == state_.used.end()) return false;
    return exceeds(used->second, team == in_.teams.end() ? Room{} : team->second.guaranteed);
  }

  double fetchS(const JobSpec& spec, std::size_t m) const {
    const auto& machine = in_.machines[m];
    return machine.fetchGbPerS > 0 ? spec.imageGb / machine.fetchGbPerS : 0;
  }

  // How long a task would wait for its image there; fetches of several images share the rate.
  double startDelayS(const JobSpec& spec, std::size_t m) const {
    const auto& machine = in_.machines[m];
    if (machine.held.contains(spec.image) || machine.fetchGbPerS <= 0) return 0;
    double others = 0;
    bool underWay = false;
    for (const auto& [image, gb] : state_.fetching[m]) {
      if (image == spec.image) {
        underWay = true;
      } else {
        others += gb;
      }
    }
    // Half of a fetch that is under way is over, on average.
    return ((underWay ? 0.5 : 1.0) * spec.imageGb + others) / machine.fetchGbPerS;
  }

  // Whether fetching the image there takes longer than stopping less important work elsewhere.
  bool slowToFetch(const JobSpec& spec, std::size_t m) const {
    return spec.priority > Priority::low && !in_.machines[m].held.contains(spec.image) &&
           fetchS(spec, m) > kWorthStopping;
  }

  // Whether stopping something there helps a task whose image is missing where there is room. Not
  // where there is room already: bestFree() preferred another machine, say for a replica on the
  // same one, and room that is only set aside would keep the task waiting.
  bool worthWarming(const JobSpec& spec, std::size_t m) const {
    return in_.machines[m].held.contains(spec.image) && !spec.perTask.fitsIn(state_.free[m]) &&
           !(spec.kind == JobKind::service && siblings_.contains(m));
  }

  // Takes room that is about to be free, or stops less important work for it. The task is placed
  // by a later plan, once the room is free. `warm`: only where the image is, and only if that
  // costs less than the fetch.
  bool makeRoom(const JobSpec& spec, bool warm) {
    for (std::size_t m = 0; m < in_.machines.size(); ++m) {
      if (warm && !worthWarming(spec, m)) continue;
      if (allowed(spec, m) && spec.perTask.fitsIn(state_.soon[m])) {
        state_.soon[m] -= spec.perTask;
        book(spec, m);
        return true;
      }
    }
    bool guaranteed = withinGuarantee(spec);
    std::optional<std::size_t> best;
    std::vector<const PlanTask*> bestVictims;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t m = 0; m < in_.machines.size(); ++m) {
      if (!allowed(spec, m)) continue;
      if (warm && !worthWarming(spec, m)) continue;
      std::vector<const PlanTask*> candidates;
      for (const auto& t : in_.machines[m].tasks) {
        if (!state_.stopped.contains(t.id) && mayStopFor(spec, guaranteed, t))
          candidates.push_back(&t);
      }
      // The least important and, among equals, the youngest loses the least.
      std::sort(candidates.begin(), candidates.end(), [](const PlanTask* a, const PlanTask* b) {
        if (a->spec->priority != b->spec->priority) return a->spec->priority < b->spec->priority;
        return a->age < b->age;
      });
      Room room = state_.soon[m];
      std::vector<const PlanTask*> victims;
      double cost = in_.machines[m].held.contains(spec.image) ? 0 : 20 + fetchS(spec, m);
      auto here = siblings_.find(m);
      if (spec.kind == JobKind::service && here != siblings_.end()) cost += 1000;
      for (const auto* v : candidates) {
        if (spec.perTask.fitsIn(room)) break;
        room += v->spec->perTask;
        victims.push_back(v);
        double lost = v->spec->checkpoints() ? toSeconds(v->spec->saveTime) : toSeconds(v->age);
        cost += 10 + std::min(300.0, lost);
      }
      if (!spec.perTask.fitsIn(room) || cost >= bestCost) continue;
      if (warm && cost > 10 + 2 * fetchS(spec, m)) continue;
      best = m;
      bestVictims = victims;
      bestCost = cost;
    }
    if (!best) return false;
    for (const auto* v : bestVictims) {
      state_.plan.stops.push_back({v->id, in_.machines[*best].id, graceFor(*v->spec)});
      state_.stopped.insert(v->id);
      state_.soon[*best] += v->spec->perTask;
    }
    state_.soon[*best] -= spec.perTask;
    book(spec, *best);
    return true;
  }

  // What has been decided so far; copied to try out a gang.
  struct State {
    Plan plan;
    std::vector<Room> free;  // now, less what this plan books
    std::vector<Room> soon;  // once everything that is stopping has gone
    std::vector<std::size_t> slots;
    std::vector<std::map<ImageId, double>> fetching;  // images on their way, with their size
    std::map<TeamId, Room> used;
    std::set<std::size_t> changed;
    std::set<AttemptId> stopped;
  };

  const PlanInput& in_;
  State state_;
  // Of the job being placed:
  std::map<ZoneId, std::uint32_t> perZone_;
  std::map<std::size_t, std::uint32_t> siblings_;
};

}  // namespace

Plan makePlan(const PlanInput& input) { return Planner(input).run(); }

}  // namespace kestrelhoist
