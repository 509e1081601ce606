#include "fleet/reconcile.hpp"

namespace kestrelhoist {
namespace {

// A response to a worker may be at most 64 KiB.
constexpr std::size_t kMaxOrders = 300;

// Makes the worker know the attempt, so that a launch that is still under way does nothing. Both or
// none: a launch alone would start it.
void addSettled(std::vector<Order>& orders, const AttemptId& id) {
  if (orders.size() + 2 > kMaxOrders) return;
  orders.push_back({Order::Kind::launch, id, Duration{0}});
  orders.push_back({Order::Kind::stop, id, Duration{0}});
}

Gone goneFrom(EndCause cause) {
  switch (cause) {
    case EndCause::done:
      return Gone::done;
    case EndCause::stopped:
      return Gone::stopped;
    case EndCause::error:
      return Gone::failed;
    default:
      return Gone::refused;
  }
}

}  // namespace

bool takeReport(MachineMemory& m, const Report& report, Instant now, bool beat) {
  if (m.last && beat && report.workerEpoch == m.last->workerEpoch) {
    m.lastBeat = std::max(m.lastBeat, report.sequence);
  }
  if (m.last && std::pair(report.workerEpoch, report.sequence) <=
                    std::pair(m.last->workerEpoch, m.last->sequence)) {
    return false;
  }
  if (m.last && report.workerEpoch > m.last->workerEpoch) {
    // A new session: direct commands of the old one are refused from now on.
    m.inDoubt.clear();
    m.launched.clear();
    m.lastBeat = {};
  }
  if (beat) m.lastBeat = report.sequence;
  m.last = report;
  m.lastHeard = now;
  return true;
}

std::vector<Order> reconcile(MachineMemory& m, const MachineState* record, FencingToken token,
                             bool mayLaunch, const std::function<Wish(const AttemptId&)>& wish) {
  std::vector<Order> orders;
  if (!m.last) return orders;
  const Report& report = *m.last;
  auto add = [&](Order::Kind kind, const AttemptId& id, Duration grace = Duration{0}) {
    if (orders.size() < kMaxOrders) orders.push_back({kind, id, grace});
  };
  static const std::vector<PlacedTask> kNone;
  const auto& onRecord = record ? record->tasks : kNone;

  for (const auto& on : onRecord) {
    const AttemptId& id = on.id;
    // A report of an earlier session than the placement's says nothing about it; in a later one
    // the task is gone.
    if (report.workerEpoch < on.workerEpoch) continue;
    if (report.workerEpoch > on.workerEpoch) {
      m.gone.emplace(id, Gone::lost);
      continue;
    }
    if (m.gone.contains(id)) continue;
    Wish w = wish(id);
    const ReportedTask* task = report.find(id);
    if (!task) {
      if (!w.stop) {
        if (mayLaunch) {
          add(Order::Kind::launch, id);
          m.launched[id] = report.sequence;
        }
        continue;
      }
      // Told to launch in answer to this very report, or by an earlier leader whose orders this
      // worker may still obey: absence proves nothing yet.
      if (report.token != token) continue;
      if (m.inDoubt.contains(id)) {
        addSettled(orders, id);
        m.launched[id] = report.sequence;
        continue;
      }
      auto launched = m.launched.find(id);
      // Only a later report of the worker's own accord shows that the answer with the launch came
      // to nothing: one that answers a direct command may overtake it, for as long as a relay or a
      // held connection keeps that answer, and the launch would be carried out after this "proof".
      if (launched != m.launched.end() && m.lastBeat <= launched->second) continue;
      m.gone.emplace(id, Gone::stopped);
      continue;
    }
    if (task->state == TaskState::ended) {
      m.gone.emplace(id, goneFrom(task->cause));
    } else if (w.stop) {
      // While it saves, only a stop that grants no time is worth repeating.
      if (task->state != TaskState::saving || w.grace.count() == 0) {
        add(Order::Kind::stop, id, w.grace);
      }
    }
  }

  for (const auto& task : report.tasks) {
    if (record && record->find(task.id)) continue;
    if (task.state != TaskState::ended) {
      // On no record, so nobody may run it here.
      add(Order::Kind::stop, task.id);
    } else if (!m.inDoubt.contains(task.id)) {
      // Its end is committed: the record no longer has it.
      add(Order::Kind::clear, task.id);
    }
  }
  return orders;
}

std::vector<Order> leaseOnlyOrders(const Report& report, const MachineState* record,
                                   const std::function<JobEnd(const JobId&)>& end) {
  std::vector<Order> orders;
  for (const auto& task : report.tasks) {
    if (orders.size() == kMaxOrders) return orders;
    if (task.state != TaskState::ended && end(task.id.task.job) != JobEnd::none) {
      orders.push_back({Order::Kind::stop, task.id, Duration{0}});
    }
  }
  // A direct launch that the leader has no answer to may arrive minutes later, under a token that
  // stays the newest for as long as there is no other leader, and this answer keeps the session up
  // to which it belongs. Nothing of a job that is over is ever placed again, so wherever its task
  // may be, this attempt is the only one. Not so while the end is not read back: the attempt may
  // have been cleared here and its successor run elsewhere, and the launch would begin it anew.
  // Then nobody was told of the end before these records were read, and the bound of the lease is
  // enough.
  for (const auto& on : record ? record->tasks : std::vector<PlacedTask>{}) {
    if (on.workerEpoch == report.workerEpoch && !report.find(on.id) &&
        end(on.id.task.job) == JobEnd::known) {
      addSettled(orders, on.id);
    }
  }
  return orders;
}

}  // namespace kestrelhoist
