#include "fleet/lease_end_prober.hpp"

#include <algorithm>
#include <array>

#include "base/log.hpp"
#include "config/worker_timing.hpp"
#include "fleet/direct_answer.hpp"
#include "fleet/worker_prober.hpp"

namespace kestrelhoist {
namespace {

// When a worker is probed, counted from the estimated end of its lease: answers may be lost, a
// worker need not notice the end at once, and its next heartbeat comes within 5 s.
constexpr std::array<Duration, 9> kProbesAfterEnd{Duration{0},    Duration{200},  Duration{400},
                                                  Duration{700},  Duration{1200}, Duration{1700},
                                                  Duration{2400}, Duration{3200}, Duration{4200}};
constexpr std::size_t kMostProbes = 48;  // between two calls of schedule()
// Clocks drift apart by up to 0.05% (PROTOCOL), and the heartbeat was sent before it arrived.
constexpr int kDriftDivisor = 2000;
constexpr Duration kTransit{10};

}  // namespace

const char* toString(LeaseEndAnswer answer) {
  switch (answer) {
    case LeaseEndAnswer::sameSession:
      return "same_session";
    case LeaseEndAnswer::newSession:
      return "new_session";
    case LeaseEndAnswer::none:
      return "none";
  }
  return "";
}

void LeaseEndProber::schedule(Duration horizon) {
  const Instant now = context_.runtime.now();
  probesLeft_ = kMostProbes;
  for (Machine* machine : endingWithin(horizon)) {
    const Ending ending{machine->id, machine->session.lastReport->workerEpoch,
                        *fleet_.earliestLeaseEnd(*machine)};
    const Instant begin = ending.end + context_.platform.workerLease / kDriftDivisor + kTransit;
    scheduled_.insert(machine->id);
    context_.runtime.after(std::max(Duration{0}, begin - now),
                           context_.whileLeading([this, ending] { probeNext(ending, 0); }));
  }
}

// Machines with production replicas first: people notice these at once.
std::vector<Machine*> LeaseEndProber::endingWithin(Duration horizon) {
  const Instant now = context_.runtime.now();
  std::vector<Machine*> machines;
  for (auto& [id, machine] : fleet_.machines()) {
    const auto end = fleet_.earliestLeaseEnd(machine);
    if (!end || *end > now + horizon || *end + kProbesAfterEnd.back() < now) continue;
    if (!machine.hasReported() || machine.terminationRequested || scheduled_.contains(id) ||
        fleet_.inUnreachableZone(machine) || !hasTasks(machine)) {
      continue;
    }
    machines.push_back(&machine);
  }
  std::stable_partition(machines.begin(), machines.end(),
                        [this](const Machine* machine) { return hasProductionReplica(*machine); });
  return machines;
}

bool LeaseEndProber::hasTasks(const Machine& machine) const {
  const auto* record = context_.replica.machine(machine.id);
  return record && !record->tasks.empty();
}

bool LeaseEndProber::hasProductionReplica(const Machine& machine) const {
  const auto* record = context_.replica.machine(machine.id);
  return record && std::any_of(record->tasks.begin(), record->tasks.end(), [](const auto& task) {
           const auto& spec = task.job->effectiveSpec();
           return spec && spec->kind == JobKind::service && spec->priority == Priority::production;
         });
}

// Neither has a later session been seen, nor is the lease known to have been renewed.
bool LeaseEndProber::isOpen(const Ending& ending) const {
  const Machine* machine = fleet_.find(ending.machine);
  return machine && machine->hasReported() && !machine->terminationRequested &&
         machine->session.lastReport->workerEpoch == ending.workerEpoch &&
         fleet_.earliestLeaseEnd(*machine) == ending.end;
}

void LeaseEndProber::probeNext(const Ending& ending, std::size_t probes) {
  const std::size_t next = probes + 1;
  const bool open = isOpen(ending);
  if (open && probesLeft_ > 0) {
    --probesLeft_;
    probe(ending);
  }
  if (!open || next == kProbesAfterEnd.size()) {
    scheduled_.erase(ending.machine);
    return;
  }
  context_.runtime.after(kProbesAfterEnd.at(next) - kProbesAfterEnd.at(probes),
                         context_.whileLeading([this, ending, next] { probeNext(ending, next); }));
}

// A direct command without content, as WorkerProber sends it.
void LeaseEndProber::probe(const Ending& ending) {
  const Machine& machine = *fleet_.find(ending.machine);
  context_.workers.send(
      machine.address, commandRequest(context_.token, ending.workerEpoch), kWorkerAnswerTimeout,
      context_.whileLeading([this, ending](const std::optional<Response>& response) {
        onResponse(ending, response);
      }));
}

void LeaseEndProber::onResponse(const Ending& ending, const std::optional<Response>& response) {
  Machine* machine = fleet_.find(ending.machine);
  if (!machine) return;
  const Instant now = context_.runtime.now();
  const bool isNewer = response && (response->status == 200 || response->status == 409) &&
                       applyDirectAnswer(fleet_, *machine, *response, now);
  LeaseEndAnswer answer = LeaseEndAnswer::none;
  if (isNewer) {
    const bool ended = machine->session.lastReport->workerEpoch > ending.workerEpoch;
    answer = ended ? LeaseEndAnswer::newSession : LeaseEndAnswer::sameSession;
  }
  logDebug("lease end probe", "machine", ending.machine, "after_ms", now - ending.end, "answer",
           toString(answer));
  if (context_.onLeaseEndProbe) context_.onLeaseEndProbe(toString(answer));
  if (!isNewer) return;
  onReport(*machine);
  if (refusedForItsSession(*machine, ending.workerEpoch, context_.token)) {
    probe({ending.machine, machine->session.lastReport->workerEpoch, ending.end});
  }
}

}  // namespace kestrelhoist
