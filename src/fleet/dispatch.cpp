#include "fleet/dispatch.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "reach/relay.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kDirectTimeout{3000};
constexpr Duration kAskTimeout{1500};
}  // namespace

// DESIGN: a new leader waits one full report round before placing or giving back. Where reports
// come seldom it asks for them: the round is over when each machine has reported or was asked in
// vain.
bool Dispatch::roundOver() const {
  Duration round = context_.platform.reportEvery * 5 / 4 + Duration{500};
  if (context_.runtime.now() - context_.electedAt >= round) return true;
  return askedAll_ && toAsk_.empty() && asking_.empty();
}

// With the first list, which tells the addresses of machines that this leader has not heard.
void Dispatch::askAll() {
  constexpr Duration kWorthAsking{3000};
  if (askedAll_ || context_.initialRoundOver || context_.platform.reportEvery < kWorthAsking)
    return;
  askedAll_ = true;
  for (const auto& [id, m] : fleet_.machines()) {
    if (!m.heard() && !m.address.empty() && m.listed == Listed::running) toAsk_.push_back(id);
  }
  logInfo("asking for reports", "machines", toAsk_.size());
  struct Step {
    static void go(Dispatch& self) {
      constexpr int kAtOnce = 24;
      constexpr Duration kPause{25};
      for (int i = 0; i < kAtOnce && !self.toAsk_.empty(); ++i) {
        Machine* m = self.fleet_.find(self.toAsk_.front());
        self.toAsk_.pop_front();
        if (m && !m->heard()) self.ask(*m);
      }
      if (self.toAsk_.empty()) return;
      self.context_.runtime.after(kPause, self.context_.whileLeading([&self] { go(self); }));
    }
  };
  Step::go(*this);
}

// Machines that should have reported by now: dead, or on their way to another node.
void Dispatch::askOverdue() {
  Instant now = context_.runtime.now();
  if (!context_.initialRoundOver) return;
  std::vector<Machine*> due;
  for (auto& [id, m] : fleet_.machines()) {
    if (m.address.empty() || asking_.contains(id)) continue;
    if (fleet_.overdue(m, now) || fleet_.unheard(m, now)) due.push_back(&m);
  }
  // Who was not asked for the longest time first: those that don't answer must not use up all
  // questions.
  std::stable_sort(due.begin(), due.end(),
                   [](const Machine* a, const Machine* b) { return a->askedAt < b->askedAt; });
  // In a zone that is silent few at first: it may be cut off, or its workers report to a controller
  // that is. More as long as they answer.
  std::size_t silent = 0;
  for (auto* m : due) {
    if (asking_.size() >= kAtOnce) break;
    if (fleet_.inSilentZone(*m) && ++silent > silentAtOnce_) continue;
    ask(*m);
  }
  // Where nothing else shows that workers can be reached from here (their reports come through
  // peers), one that is on time is asked along with those that are not.
  if (asking_.empty() || !context_.workersReachedSince ||
      context_.workersReachedSince(now - kAskTimeout))
    return;
  for (auto& [id, m] : fleet_.machines()) {
    if (fleet_.onTime(m, now) && !m.address.empty() && !asking_.contains(id)) return ask(m);
  }
}

// A direct command without orders: shows the worker this leader's token and brings its report.
void Dispatch::ask(Machine& m) {
  if (!asking_.insert(m.id).second) return;
  m.askedAt = context_.runtime.now();
  WorkerEpoch workerEpoch{1};
  if (m.heard()) {
    workerEpoch = m.memory.last->workerEpoch;
  } else if (const auto* record = context_.replica.machine(m.id)) {
    for (const auto& t : record->tasks) workerEpoch = std::max(workerEpoch, t.workerEpoch);
  }
  Request request{"POST", "/commands", encodeBody(commandsToJson(context_.token, workerEpoch, {}))};
  context_.http.send(m.address, std::move(request), kAskTimeout,
                     context_.whileLeading([this, id = m.id](const std::optional<Response>& r) {
                       asking_.erase(id);
                       Machine* machine = fleet_.find(id);
                       if (!machine) return;
                       if (fleet_.inSilentZone(*machine)) {
                         bool reached = r && (r->status == 200 || r->status == 409);
                         silentAtOnce_ =
                             reached ? std::min(2 * silentAtOnce_, kAtOnce) : kSilentAtLeast;
                       }
                       auto body = r && (r->status == 200 || r->status == 409) ? decodeBody(r->body)
                                                                               : std::nullopt;
                       auto report = body ? reportFrom(*body) : std::nullopt;
                       if (!report || report->machine != id) {
                         // Silence says nothing of the machine unless the way to it is known to
                         // work: this controller, or the peer it asked through, may be the one that
                         // is cut off.
                         if (r && r->status == kNotReached) ++machine->askedInVain;
                         return;
                       }
                       if (!fleet_.take(*report, context_.runtime.now())) return;
                       // Only facts are taken from it; orders go with the next report.
                       fleet_.ordersFor(*machine, context_.runtime.now(), false);
                       onNews(*machine);
                       context_.planInvalidated = true;
                       context_.scheduleCycle();
                     }));
}

// Sends a machine its orders now rather than with its next report.
void Dispatch::push(const MachineId& id) {
  Machine* m = fleet_.find(id);
  if (!m || !m->heard() || fleet_.isReleased(id)) return;
  Instant now = context_.runtime.now();
  if (now - m->memory.lastHeard > context_.platform.workerLease) return;
  auto orders = fleet_.ordersFor(*m, now, context_.watcher.reachable());
  // A late `clear` could make the worker forget what a late launch then starts again.
  std::erase_if(orders, [](const Order& o) { return o.kind == Order::Kind::clear; });
  if (orders.empty()) return;
  for (const auto& o : orders) {
    if (o.kind == Order::Kind::launch) m->memory.inDoubt.insert(o.id);
  }
  WorkerEpoch workerEpoch = m->memory.last->workerEpoch;
  Request request{"POST", "/commands",
                  encodeBody(commandsToJson(context_.token, workerEpoch, orders))};
  context_.http.send(
      m->memory.last->address, std::move(request), kDirectTimeout,
      context_.whileLeading([this, id, orders, workerEpoch](std::optional<Response> r) {
        Machine* machine = fleet_.find(id);
        if (!machine || !r) return;  // no answer: launches may still arrive
        if (r->status != 200 && r->status != 409 && r->status != 400) return;
        if (machine->memory.last && machine->memory.last->workerEpoch == workerEpoch) {
          auto& inDoubt = machine->memory.inDoubt;
          for (const auto& o : orders) {
            if (o.kind != Order::Kind::launch) continue;
            if (auto own = inDoubt.find(o.id); own != inDoubt.end()) inDoubt.erase(own);
          }
        }
        if (r->status == 400) return;
        auto body = decodeBody(r->body);
        auto report = body ? reportFrom(*body) : std::nullopt;
        if (!report || report->machine != id || !fleet_.take(*report, context_.runtime.now())) {
          return;
        }
        // Only facts are taken from it; further orders go with the next report.
        fleet_.ordersFor(*machine, context_.runtime.now(), false);
        onNews(*machine);
      }));
}

}  // namespace kestrelhoist
