#include "fleet/lease_end_prober.hpp"

#include <algorithm>
#include <array>

#include "base/log.hpp"
#include "config/worker_timing.hpp"
#include "fleet/direct_answer.hpp"
#include "fleet/worker_prober.hpp"

namespace kestrelhoist {
namespace {

// A worker is probed this long after the estimated expiry of its lease. Several probes are sent
// because answers may be lost, because a worker need not detect the expiry at once, and because its
// next heartbeat comes within 5 s.
constexpr std::array<Duration, 9> kProbeDelaysAfterExpiry{
    Duration{0},    Duration{200},  Duration{400},  Duration{700}, Duration{1200},
    Duration{1700}, Duration{2400}, Duration{3200}, Duration{4200}};
// This limits the probes between two calls of schedule().
constexpr std::size_t kMaxProbes = 48;
// Two clocks drift apart by up to 0.05% (PROTOCOL), and the worker sent its heartbeat before the
// heartbeat arrived here.
constexpr int kDriftDivisor = 2000;
constexpr Duration kHeartbeatTransitTime{10};

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
  probesLeft_ = kMaxProbes;
  for (Machine* machine : machinesExpiringWithin(horizon)) {
    const ExpiringLease lease{machine->id, machine->session.lastReport->workerEpoch,
                              *fleet_.earliestLeaseExpiry(*machine)};
    const Instant begin =
        lease.expiry + context_.platform.workerLease / kDriftDivisor + kHeartbeatTransitTime;
    scheduled_.insert(machine->id);
    context_.runtime.after(std::max(Duration{0}, begin - now),
                           context_.whileLeading([this, lease] { probeNext(lease, 0); }));
  }
}

// Returns the machines whose leases can expire within `horizon`. Machines with production replicas
// come first, because users notice the failure of these replicas at once.
std::vector<Machine*> LeaseEndProber::machinesExpiringWithin(Duration horizon) {
  const Instant now = context_.runtime.now();
  std::vector<Machine*> machines;
  for (auto& [id, machine] : fleet_.machines()) {
    const auto expiry = fleet_.earliestLeaseExpiry(machine);
    if (!expiry || *expiry > now + horizon || *expiry + kProbeDelaysAfterExpiry.back() < now)
      continue;
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

// Returns whether no later session was reported and the lease is not known to have been renewed.
bool LeaseEndProber::isUnresolved(const ExpiringLease& lease) const {
  const Machine* machine = fleet_.find(lease.machine);
  return machine && machine->hasReported() && !machine->terminationRequested &&
         machine->session.lastReport->workerEpoch == lease.workerEpoch &&
         fleet_.earliestLeaseExpiry(*machine) == lease.expiry;
}

void LeaseEndProber::probeNext(const ExpiringLease& lease, std::size_t probes) {
  const std::size_t next = probes + 1;
  const bool unresolved = isUnresolved(lease);
  if (unresolved && probesLeft_ > 0) {
    --probesLeft_;
    probe(lease);
  }
  if (!unresolved || next == kProbeDelaysAfterExpiry.size()) {
    scheduled_.erase(lease.machine);
    return;
  }
  context_.runtime.after(kProbeDelaysAfterExpiry.at(next) - kProbeDelaysAfterExpiry.at(probes),
                         context_.whileLeading([this, lease, next] { probeNext(lease, next); }));
}

// Sends a direct request without commands, as WorkerProber does.
void LeaseEndProber::probe(const ExpiringLease& lease) {
  const Machine& machine = *fleet_.find(lease.machine);
  context_.workers.send(
      machine.address, commandRequest(context_.token, lease.workerEpoch), kWorkerAnswerTimeout,
      context_.whileLeading(
          [this, lease](const std::optional<Response>& response) { onResponse(lease, response); }));
}

void LeaseEndProber::onResponse(const ExpiringLease& lease,
                                const std::optional<Response>& response) {
  Machine* machine = fleet_.find(lease.machine);
  if (!machine) return;
  const Instant now = context_.runtime.now();
  const bool isNewer = response && (response->status == 200 || response->status == 409) &&
                       applyDirectAnswer(fleet_, *machine, *response, now);
  LeaseEndAnswer answer = LeaseEndAnswer::none;
  if (isNewer) {
    const bool isNewSession = machine->session.lastReport->workerEpoch > lease.workerEpoch;
    answer = isNewSession ? LeaseEndAnswer::newSession : LeaseEndAnswer::sameSession;
  }
  logDebug("worker probed at lease expiry", "machine", lease.machine, "after_ms",
           now - lease.expiry, "answer", toString(answer));
  if (context_.onLeaseEndProbe) context_.onLeaseEndProbe(toString(answer));
  if (!isNewer) return;
  onReport(*machine);
  if (refusedForItsSession(*machine, lease.workerEpoch, context_.token)) {
    probe({lease.machine, machine->session.lastReport->workerEpoch, lease.expiry});
  }
}

}  // namespace kestrelhoist
