#include "fleet/worker_prober.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "config/worker_timing.hpp"
#include "fleet/direct_answer.hpp"

namespace kestrelhoist {
namespace {

// Returns whether the response contains a worker's report.
bool isReport(const Response& response) { return response.status == 200 || response.status == 409; }

}  // namespace

// If the path to the machine is not known to work, this controller or the peer that forwarded the
// probe may be the one that is cut off, so the probe does not count as failed.
bool isFailedProbe(const Machine& machine, Instant sent, ProbeOutcome outcome) {
  const bool reportedSince = machine.hasReported() && machine.session.lastReportAt >= sent;
  // A probe that is sent directly and through a peer has two results, which count once.
  const bool isCounted = machine.newestFailedProbe == sent;
  return outcome == ProbeOutcome::unreachable && !reportedSince && !isCounted;
}

bool refusedForItsSession(const Machine& machine, WorkerEpoch requested, FencingToken token) {
  if (!machine.hasReported()) return false;
  const Report& report = *machine.session.lastReport;
  return report.workerEpoch > requested && report.token < token;
}

bool WorkerProber::awaitsFirstReport() const {
  return std::any_of(unansweredProbes_.begin(), unansweredProbes_.end(),
                     [this](const MachineId& id) {
                       const Machine* machine = fleet_.find(id);
                       return machine && !machine->hasReported();
                     });
}

// Probes machines whose reports are overdue: they are dead, or their workers are trying other
// controllers.
void WorkerProber::probeOverdue() {
  if (!context_.initialRoundOver) return;
  // Few machines of an unreachable zone are probed at first: the zone may be cut off, or its
  // workers may report to a controller that is cut off. The number grows while probes are answered.
  std::size_t silent = 0;
  for (Machine* machine : machinesToProbe(context_.runtime.now())) {
    if (unansweredProbes_.size() >= kMaxProbes) break;
    if (fleet_.inUnreachableZone(*machine) && ++silent > maxUnreachableZoneProbes_) continue;
    probe(*machine);
  }
}

// Returns the machines to probe. Machines that have not been probed for the longest time come
// first, so that machines that never answer don't use up all probes.
std::vector<Machine*> WorkerProber::machinesToProbe(Instant now) {
  std::vector<Machine*> due;
  for (auto& [id, machine] : fleet_.machines()) {
    if (machine.address.empty() || unansweredProbes_.contains(id)) continue;
    if (fleet_.isOverdue(machine, now) || fleet_.hasUnconfirmedTasks(machine, now))
      due.push_back(&machine);
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const Machine* a, const Machine* b) { return a->probedAt < b->probedAt; });
  return due;
}

// Sends a direct request without commands, which shows this leader's token to the worker and
// returns the worker's report.
void WorkerProber::probe(Machine& machine) {
  if (!unansweredProbes_.insert(machine.id).second) return;
  const Instant now = context_.runtime.now();
  machine.probedAt = now;
  logDebug("probe sent to worker", "machine", machine.id, "silent_ms",
           machine.hasReported() ? now - machine.session.lastReportAt : now - context_.electedAt);
  const WorkerEpoch epoch = probedEpoch(machine);
  Request request = commandRequest(context_.token, epoch);
  context_.workers.probe(
      machine.address, machine.zone, std::move(request),
      context_.whileLeading([this, id = machine.id, sent = now, epoch](const ProbeResult& result) {
        onResult(id, {sent, epoch}, result);
      }));
}

void WorkerProber::requestReport(const Machine& machine) {
  const SentProbe sent{context_.runtime.now(), probedEpoch(machine)};
  context_.workers.send(
      machine.address, commandRequest(context_.token, sent.workerEpoch), kWorkerAnswerTimeout,
      context_.whileLeading([this, id = machine.id, sent](const std::optional<Response>& response) {
        Machine* probed = fleet_.find(id);
        if (!probed || !response || !isReport(*response)) return;
        if (applyAnswer(*probed, sent, *response)) requestReport(*probed);
      }));
}

WorkerEpoch WorkerProber::probedEpoch(const Machine& machine) const {
  if (machine.hasReported()) return machine.session.lastReport->workerEpoch;
  WorkerEpoch epoch{1};
  if (const auto* record = context_.replica.machine(machine.id)) {
    for (const auto& task : record->tasks) epoch = std::max(epoch, task.workerEpoch);
  }
  return epoch;
}

void WorkerProber::onResult(const MachineId& id, const SentProbe& sent, const ProbeResult& result) {
  Machine* machine = fleet_.find(id);
  // The result of an earlier probe may arrive after a newer probe was sent.
  if (!machine || machine->probedAt == sent.at) unansweredProbes_.erase(id);
  if (!machine) return;
  const bool reached = result.outcome == ProbeOutcome::answered && isReport(*result.response);
  if (fleet_.inUnreachableZone(*machine)) adaptToUnreachableZone(reached);
  if (reached) {
    if (applyAnswer(*machine, sent, *result.response)) probe(*machine);
    return;
  }
  if (result.outcome != ProbeOutcome::answered) onUnanswered(*machine, sent.at, result);
}

void WorkerProber::adaptToUnreachableZone(bool reached) {
  maxUnreachableZoneProbes_ =
      reached ? std::min(2 * maxUnreachableZoneProbes_, kMaxProbes) : kMinZoneProbes;
}

void WorkerProber::onUnanswered(Machine& machine, Instant sent, const ProbeResult& result) const {
  if (isFailedProbe(machine, sent, result.outcome)) {
    ++machine.failedProbes;
    machine.newestFailedProbe = sent;
  }
  logDebug("worker did not answer probe", "machine", machine.id, "zone", machine.zone, "through",
           result.through ? result.through->value : "-", "outcome", toString(result.outcome),
           "sent_ms_ago", context_.runtime.now() - sent, "failed_probes", machine.failedProbes);
}

// Applies the report in an answer. Returns whether the worker must be asked again with the worker
// epoch that it reported.
bool WorkerProber::applyAnswer(Machine& machine, const SentProbe& sent, const Response& response) {
  const Instant now = context_.runtime.now();
  if (!applyDirectAnswer(fleet_, machine, response, now)) return false;
  logDebug("worker answered probe", "machine", machine.id, "after_ms", now - sent.at);
  onReport(machine);
  return refusedForItsSession(machine, sent.workerEpoch, context_.token);
}

}  // namespace kestrelhoist
