#include "fleet/command_dispatcher.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "connectivity/heartbeat_forwarder.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kDirectTimeout{3000};
constexpr Duration kProbeTimeout{1500};
}  // namespace

// DESIGN: a new leader waits one full report round before placing or giving back. Where reports
// come seldom it asks for them: the round is over when each machine has reported or was asked in
// vain.
bool CommandDispatcher::initialRoundOver() const {
  Duration round = context_.platform.reportEvery * 5 / 4 + Duration{500};
  if (context_.runtime.now() - context_.electedAt >= round) return true;
  return probedAll_ && probeQueue_.empty() && probing_.empty();
}

// With the first list, which tells the addresses of machines that this leader has not heard.
void CommandDispatcher::probeAll() {
  constexpr Duration kWorthProbing{3000};
  if (probedAll_ || context_.initialRoundOver || context_.platform.reportEvery < kWorthProbing)
    return;
  probedAll_ = true;
  for (const auto& [id, m] : fleet_.machines()) {
    if (!m.hasReported() && !m.address.empty() && m.listed == Listed::running)
      probeQueue_.push_back(id);
  }
  logInfo("probing workers for reports", "machines", probeQueue_.size());
  probeNextBatch();
}

void CommandDispatcher::probeNextBatch() {
  constexpr int kBatch = 24;
  constexpr Duration kPause{25};
  for (int i = 0; i < kBatch && !probeQueue_.empty(); ++i) {
    Machine* machine = fleet_.find(probeQueue_.front());
    probeQueue_.pop_front();
    if (machine && !machine->hasReported()) probe(*machine);
  }
  if (probeQueue_.empty()) return;
  context_.runtime.after(kPause, context_.whileLeading([this] { probeNextBatch(); }));
}

// Machines that should have reported by now: dead, or on their way to another node.
void CommandDispatcher::probeOverdue() {
  Instant now = context_.runtime.now();
  if (!context_.initialRoundOver) return;
  std::vector<Machine*> due;
  for (auto& [id, m] : fleet_.machines()) {
    if (m.address.empty() || probing_.contains(id)) continue;
    if (fleet_.isOverdue(m, now) || fleet_.hasUnconfirmedTasks(m, now)) due.push_back(&m);
  }
  // Who was not asked for the longest time first: those that don't answer must not use up all
  // questions.
  std::stable_sort(due.begin(), due.end(),
                   [](const Machine* a, const Machine* b) { return a->probedAt < b->probedAt; });
  // In a zone that is silent few at first: it may be cut off, or its workers report to a controller
  // that is. More as long as they answer.
  std::size_t silent = 0;
  for (auto* m : due) {
    if (probing_.size() >= kAtOnce) break;
    if (fleet_.inUnreachableZone(*m) && ++silent > unreachableZoneProbes_) continue;
    probe(*m);
  }
  // Where nothing else shows that workers can be reached from here (their reports come through
  // peers), one that is on time is asked along with those that are not.
  if (probing_.empty() || !context_.workersReachedSince ||
      context_.workersReachedSince(now - kProbeTimeout))
    return;
  for (auto& [id, m] : fleet_.machines()) {
    if (fleet_.isOnTime(m, now) && !m.address.empty() && !probing_.contains(id)) return probe(m);
  }
}

// A direct command without orders: shows the worker this leader's token and brings its report.
void CommandDispatcher::probe(Machine& m) {
  if (!probing_.insert(m.id).second) return;
  m.probedAt = context_.runtime.now();
  WorkerEpoch workerEpoch{1};
  if (m.hasReported()) {
    workerEpoch = m.session.lastReport->workerEpoch;
  } else if (const auto* record = context_.replica.machine(m.id)) {
    for (const auto& t : record->tasks) workerEpoch = std::max(workerEpoch, t.workerEpoch);
  }
  Request request{"POST", "/commands",
                  encodeBody(commandRequestToJson(context_.token, workerEpoch, {}))};
  context_.http.send(m.address, std::move(request), kProbeTimeout,
                     context_.whileLeading([this, id = m.id](const std::optional<Response>& r) {
                       probing_.erase(id);
                       Machine* machine = fleet_.find(id);
                       if (!machine) return;
                       if (fleet_.inUnreachableZone(*machine)) {
                         bool reached = r && (r->status == 200 || r->status == 409);
                         unreachableZoneProbes_ =
                             reached ? std::min(2 * unreachableZoneProbes_, kAtOnce)
                                     : kFewestZoneProbes;
                       }
                       auto body = r && (r->status == 200 || r->status == 409) ? decodeBody(r->body)
                                                                               : std::nullopt;
                       auto report = body ? reportFrom(*body) : std::nullopt;
                       if (!report || report->machine != id) {
                         // Silence says nothing of the machine unless the way to it is known to
                         // work: this controller, or the peer it asked through, may be the one that
                         // is cut off.
                         if (r && r->status == kNotReached) ++machine->failedProbes;
                         return;
                       }
                       if (!fleet_.applyReport(*report, context_.runtime.now())) return;
                       // Only facts are taken from it; orders go with the next report.
                       fleet_.commandsFor(*machine, context_.runtime.now(), false);
                       onReport(*machine);
                       context_.planInvalidated = true;
                       context_.scheduleCycle();
                     }));
}

// Sends a machine its orders now rather than with its next report.
void CommandDispatcher::sendCommands(const MachineId& id) {
  Machine* m = fleet_.find(id);
  if (!m || !m->hasReported() || fleet_.isReleased(id)) return;
  Instant now = context_.runtime.now();
  if (now - m->session.lastReportAt > context_.platform.workerLease) return;
  auto commands = fleet_.commandsFor(*m, now, context_.watcher.reachable());
  // A late `clear` could make the worker forget what a late launch then starts again.
  std::erase_if(commands, [](const WorkerCommand& o) {
    return o.operation == WorkerCommand::Operation::clear;
  });
  if (commands.empty()) return;
  for (const auto& o : commands) {
    if (o.operation == WorkerCommand::Operation::launch)
      m->session.unacknowledgedLaunches.insert(o.id);
  }
  WorkerEpoch workerEpoch = m->session.lastReport->workerEpoch;
  Request request{"POST", "/commands",
                  encodeBody(commandRequestToJson(context_.token, workerEpoch, commands))};
  context_.http.send(
      m->session.lastReport->address, std::move(request), kDirectTimeout,
      context_.whileLeading([this, id, commands, workerEpoch](std::optional<Response> r) {
        Machine* machine = fleet_.find(id);
        if (!machine || !r) return;  // no answer: launches may still arrive
        if (r->status != 200 && r->status != 409 && r->status != 400) return;
        if (machine->session.lastReport &&
            machine->session.lastReport->workerEpoch == workerEpoch) {
          auto& unacknowledgedLaunches = machine->session.unacknowledgedLaunches;
          for (const auto& o : commands) {
            if (o.operation != WorkerCommand::Operation::launch) continue;
            if (auto own = unacknowledgedLaunches.find(o.id); own != unacknowledgedLaunches.end())
              unacknowledgedLaunches.erase(own);
          }
        }
        if (r->status == 400) return;
        auto body = decodeBody(r->body);
        auto report = body ? reportFrom(*body) : std::nullopt;
        if (!report || report->machine != id ||
            !fleet_.applyReport(*report, context_.runtime.now())) {
          return;
        }
        // Only facts are taken from it; further orders go with the next report.
        fleet_.commandsFor(*machine, context_.runtime.now(), false);
        onReport(*machine);
      }));
}

}  // namespace kestrelhoist
