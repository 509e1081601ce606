#include "placement/job_placement.hpp"

#include <algorithm>

namespace kestrelhoist {
namespace {

// On average, half of a running fetch is still to be done.
constexpr double kRunningFetchRemainder = 0.5;

}  // namespace

bool exceedsGuarantee(const Resources& used, const Resources& guaranteed) {
  return used.cpus > guaranteed.cpus + kResourceTolerance ||
         used.gpus > guaranteed.gpus + kResourceTolerance;
}

JobPlacement::JobPlacement(const PlanInput& input, PlanState& state,
                           const Reservations& reservations, const PlanJob& job, TaskSpread spread)
    : input_(input),
      state_(state),
      reservations_(reservations),
      job_(job),
      spread_(std::move(spread)) {}

bool JobPlacement::withinLimit() const {
  if (!input_.teamKnown[job_.team]) return false;
  Resources total = spec().perTask + state_.used[job_.team];
  const Resources& limit = input_.teams[job_.team].limit;
  return (limit.cpus <= 0 || total.cpus <= limit.cpus + kResourceTolerance) &&
         (limit.gpus <= 0 || total.gpus <= limit.gpus + kResourceTolerance);
}

bool JobPlacement::withinGuarantee() const {
  if (!input_.teamKnown[job_.team]) return false;
  const Resources& guaranteed = input_.teams[job_.team].guaranteed;
  if (guaranteed.cpus <= 0 && guaranteed.gpus <= 0) return false;
  return !exceedsGuarantee(spec().perTask + state_.used[job_.team], guaranteed);
}

bool JobPlacement::allowed(std::size_t machineIndex) const {
  const auto& machine = input_.machines[machineIndex];
  if (job_.excludedMachine == machineIndex) return false;
  if (machine.spot && !spec().spotAllowed) return false;
  if (!spec().allowsType(machine.type)) return false;
  if (job_.zone && *job_.zone != machine.zone) return false;
  if (spec().spread && spread_.perZone[machine.zone] >= spec().zoneLimit()) return false;
  if (!endsBeforeReservation(machineIndex)) return false;
  return !spec().oneZone || inOneZone(machine.zone);
}

// Returns whether the job's other tasks are in this zone. It also returns true if the job has no
// other tasks.
bool JobPlacement::inOneZone(std::uint32_t zone) const {
  if (spread_.perZone[zone] > 0) return true;
  return std::all_of(spread_.perZone.begin(), spread_.perZone.end(),
                     [](std::uint32_t tasks) { return tasks == 0; });
}

// Returns whether the reservations allow a task on this machine. If the machine is reserved for
// another job, the task must be expected to end before that job needs it.
bool JobPlacement::endsBeforeReservation(std::size_t machine) const {
  if (reservations_.empty()) return true;
  auto neededInS = reservations_.neededIn(machine, job_);
  if (!neededInS) return true;
  if (spec().kind == JobKind::service) return false;
  return toSeconds(spec().estimate) + startDelaySeconds(machine) <= *neededInS;
}

bool JobPlacement::fits(std::size_t machine) const {
  return spec().perTask.fitsIn(state_.free[machine]);
}

bool JobPlacement::holdsImage(std::size_t machine) const {
  for (const auto& image : input_.machines[machine].images) {
    if (image.id == job_.image) return image.cached;
  }
  return false;
}

double JobPlacement::fetchSeconds(std::size_t machine) const {
  double rate = input_.machines[machine].fetchGbPerS;
  return rate > 0 ? spec().imageGb / rate : 0;
}

double JobPlacement::startDelaySeconds(std::size_t machine) const {
  double rate = input_.machines[machine].fetchGbPerS;
  if (rate <= 0) return 0;
  double othersGb = 0;
  double fetchRemainder = 1.0;
  for (const auto& image : state_.images[machine]) {
    if (image.id == job_.image) {
      if (image.cached) return 0;
      fetchRemainder = kRunningFetchRemainder;
    } else if (!image.cached) {
      othersGb += image.gb;
    }
  }
  return (fetchRemainder * spec().imageGb + othersGb) / rate;
}

void JobPlacement::book(std::size_t machine) {
  auto& images = state_.images[machine];
  bool known = std::any_of(images.begin(), images.end(),
                           [&](const PlanImage& image) { return image.id == job_.image; });
  if (!known) images.push_back({job_.image, spec().imageGb, false});
  state_.free[machine] -= spec().perTask;
  state_.used[job_.team] += spec().perTask;
  const PlanMachine& booked = input_.machines[machine];
  if (job_.protectedService) {
    state_.protectedShare[machine] += spec().perTask.shareOf(booked.capacity);
  }
  ++spread_.perZone[booked.zone];
  if (spec().kind == JobKind::service) ++spread_.siblings[machine];
}

}  // namespace kestrelhoist
