#include "fleet/fleet.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {
namespace {
// A worker gives up on a report after 4 s and tries the next node 1 s later (PROTOCOL, "Workers").
constexpr Duration kWorkerGivesUp{4000};
constexpr Duration kWorkerNextNode{1000};
constexpr Duration kForgetReleased{15 * 60 * 1000};
constexpr double kBootPatience = 2.5;  // times the type's boot time
}  // namespace

Fleet::Fleet(const Platform& platform, const Replica& replica, FencingToken token, Instant now)
    : platform_(platform),
      renewal_(platform),
      replica_(replica),
      token_(token),
      since_(now),
      lastHeardAny_(now) {}

Machine* Fleet::find(const MachineId& id) {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

bool Fleet::take(const Report& report, Instant now, bool beat) {
  auto [it, isNew] = machines_.try_emplace(report.machine);
  Machine& m = it->second;
  if (isNew) {
    m.id = report.machine;
    m.firstSeen = m.rentedAt = now;
  }
  bool first = !m.heard();
  bool leaseEnded = !first && report.workerEpoch > m.memory.last->workerEpoch;
  if (!takeReport(m.memory, report, now, beat)) return false;
  if (beat) {
    m.muteSince.reset();
  } else if (leaseEnded && !m.muteSince) {
    m.muteSince = now;
    logInfo("machine answers but does not report", "machine", m.id, "tenure", report.workerEpoch);
  }
  m.type = report.type;
  m.zone = report.zone;
  m.spot = report.spot;
  m.address = report.address;
  m.askedInVain = 0;
  lastHeardAny_ = now;
  if (first) {
    ++heardCount_;
    logInfo("machine heard", "machine", m.id, "zone", m.zone, "spot", m.spot, "tenure",
            report.workerEpoch, "tasks", report.tasks.size());
  }
  if (report.notice) {
    if (!m.noticeEnds) {
      logInfo("machine has its notice", "machine", m.id, "taken_in_ms", *report.notice);
    }
    m.noticeEnds = now + *report.notice;
  }
  touchImages(m);
  std::erase_if(m.seenRunning, [&](const auto& s) { return !report.find(s.first); });
  for (const auto& t : report.tasks) {
    if (t.state != TaskState::running) continue;
    if (m.seenRunning.try_emplace(t.id, now).second) {
      logDebug("task runs", "task", t.id.str(), "machine", m.id);
    }
  }
  return true;
}

std::vector<Order> Fleet::onReport(const Report& report, Instant now, bool mayLaunch) {
  take(report, now, true);
  return ordersFor(machines_.at(report.machine), now, mayLaunch);
}

std::vector<Order> Fleet::ordersFor(Machine& m, Instant now, bool mayLaunch) {
  const auto* record = replica_.machine(m.id);
  // What is known of attempts that are off the record by now is settled.
  auto settled = [&](const auto& entry) { return !record || !record->find(entry.first); };
  std::erase_if(m.memory.gone, settled);
  std::erase_if(m.memory.stops, settled);
  std::erase_if(m.memory.launched, settled);
  bool launch = mayLaunch && !(record && record->draining);
  return reconcile(m.memory, record, token_, launch,
                   [&](const AttemptId& id) { return wishFor(m, id, now); });
}

Wish Fleet::wishFor(const Machine& m, const AttemptId& id, Instant now) const {
  const auto* job = replica_.job(id.task.job);
  if (!job || !job->active() || job->isDropped(id.task.index)) return {true, Duration{0}};
  const auto* record = replica_.machine(m.id);
  if (record && record->draining && m.releaseWanted) return {true, Duration{0}};
  if (auto stop = m.memory.stops.find(id); stop != m.memory.stops.end()) {
    return {true, stop->second};
  }
  if (m.noticeEnds && job->record.spec) {
    const JobSpec& spec = *job->record.spec;
    Duration left = *m.noticeEnds - now;
    auto seen = m.seenRunning.find(id);
    Duration age = seen == m.seenRunning.end() ? Duration{0} : now - seen->second;
    // The notice is rough: half as long at worst, which the worker's report already counts down.
    if (spec.checkpoints()) {
      if (left < spec.saveTime + 2 * platform_.reportEvery + Duration{4000}) {
        return {true, graceFor(spec)};
      }
    } else if (spec.kind == JobKind::service || spec.estimate - age > left * 3 / 2) {
      return {true, Duration{0}};  // can't end in time: start again elsewhere now
    }
  }
  return {};
}

void Fleet::touchImages(Machine& m) {
  if (!m.memory.last) return;
  for (const auto& t : m.memory.last->tasks) {
    const auto* job = replica_.job(t.id.task.job);
    if (!job || !job->record.spec || t.state == TaskState::ended) continue;
    const auto& spec = *job->record.spec;
    auto it = std::find_if(m.images.begin(), m.images.end(),
                           [&](const auto& i) { return i.id == job->image; });
    bool held = t.state != TaskState::fetching;
    if (it != m.images.end()) {
      held = held || it->held;
      m.images.erase(it);
    }
    m.images.push_front({job->image, spec.imageGb, held});
  }
  const MachineType* type = catalogue_ ? catalogue_->find(m.type) : nullptr;
  double space = type ? type->cacheGb : 0;
  double used = 0;
  for (std::size_t i = 0; i < m.images.size(); ++i) {
    used += m.images[i].gb;
    if (space > 0 && used > space) {
      m.images.resize(i);
      break;
    }
  }
}

void Fleet::remember(const MachineId& id, std::uint32_t image, double gb) {
  Machine* m = find(id);
  if (!m || std::any_of(m->images.begin(), m->images.end(),
                        [&](const Machine::Image& i) { return i.id == image; })) {
    return;
  }
  m->images.push_back({image, gb, true});
}

void Fleet::requestStop(const AttemptId& id, const MachineId& machine, Duration grace) {
  if (auto* m = find(machine)) m->memory.stops.insert_or_assign(id, grace);
}

void Fleet::wantRelease(Machine& m, const std::string& why) {
  if (m.releaseWanted) return;
  m.releaseWanted = true;
  toRelease_.insert(m.id);
  m.releaseWhy = why;
  logInfo("machine to be released", "machine", m.id, "why", why);
}

void Fleet::onReleased(const MachineId& id, Instant now) {
  if (auto it = machines_.find(id); it != machines_.end()) {
    if (it->second.heard()) --heardCount_;
    machines_.erase(it);
  }
  toRelease_.erase(id);
  evidence_.forgetMachine(id);
  unexpected_.erase(id);
  released_[id] = now;
  std::erase_if(released_, [&](const auto& r) { return now - r.second > kForgetReleased; });
}

bool Fleet::usable(const Machine& m, Instant now) const {
  if (!m.heard() || m.releaseWanted || m.noticeEnds || m.muteSince || faulty(m)) return false;
  if (m.memory.last->token != token_) return false;
  if (now - m.memory.lastHeard > 2 * platform_.reportEvery + Duration{1000}) return false;
  const auto* record = replica_.machine(m.id);
  return record && !record->draining;
}

// Reports come every reportEvery, give or take a quarter.
Duration Fleet::reportDue() const { return platform_.reportEvery * 5 / 4 + Duration{1000}; }

bool Fleet::overdue(const Machine& m, Instant now) const {
  return m.heard() && !m.releaseWanted && now - m.memory.lastHeard > reportDue();
}

bool Fleet::unheard(const Machine& m, Instant now) const {
  if (m.heard() || m.releaseWanted || m.listed != Listed::running) return false;
  const auto* record = replica_.machine(m.id);
  return record && !record->tasks.empty() && now - since_ > reportDue();
}

// A worker whose node went away reports to the next one after this long at worst.
Duration Fleet::silentAfter() const {
  return 2 * platform_.reportEvery + kWorkerGivesUp + 2 * kWorkerNextNode;
}

void Fleet::adoptRecords(Instant now, std::int64_t wallMs) {
  for (const auto& [id, record] : replica_.machines()) {
    if (released_.contains(id)) continue;
    auto [it, isNew] = machines_.try_emplace(id);
    if (!isNew) continue;
    Machine& m = it->second;
    m.id = id;
    m.type = record.type;
    m.zone = record.zone;
    m.spot = record.spot;
    m.firstSeen = now;
    auto age = record.rentedAtMs > 0 ? wallMs - record.rentedAtMs : 0;
    m.rentedAt = now - Duration{std::clamp<std::int64_t>(age, 0, 24LL * 3600 * 1000)};
  }
}

void Fleet::onList(const std::vector<std::pair<MachineId, Machine>>& listed, Instant now,
                   Duration listLag) {
  std::set<MachineId> seen;
  for (const auto& [id, entry] : listed) {
    if (released_.contains(id)) continue;
    seen.insert(id);
    auto [it, isNew] = machines_.try_emplace(id, entry);
    Machine& m = it->second;
    if (isNew) {
      m.firstSeen = now;
      if (!replica_.machine(id)) logInfo("machine is listed but on no record", "machine", id);
    }
    m.listed = entry.listed;
    if (entry.listed == Listed::running && !m.runningSince) m.runningSince = now;
    m.rentedAt = entry.rentedAt;
    if (!m.heard()) m.address = entry.address;
    m.missedLists = 0;
  }
  for (auto& [id, m] : machines_) {
    if (seen.contains(id)) continue;
    // Lists lag by up to twice the bound, and one may be older than the one before.
    if (now - m.rentedAt > 3 * listLag && now - m.firstSeen > 3 * listLag) ++m.missedLists;
  }
}

void Fleet::answeredElsewhere(const MachineId& id, Instant at) {
  if (Machine* m = find(id)) m->answeredAt = std::max(m->answeredAt.value_or(at), at);
}

std::map<ZoneId, Instant> Fleet::quietZones(Instant now) const {
  struct Newest {
    Instant at;
    int machines = 0;
  };
  std::map<ZoneId, Newest> zones;
  for (const auto& [id, m] : machines_) {
    bool working = m.heard() || m.answeredAt;
    if (!working || m.releaseWanted) continue;
    auto& zone = zones[m.zone];
    zone.at = std::max(zone.at, lastSign(m));
    ++zone.machines;
  }
  std::map<ZoneId, Instant> out;
  for (const auto& [zone, newest] : zones) {
    // Reports of n machines come every reportEvery / n on average.
    constexpr int kSeveral = 4;
    constexpr Duration kLate{1000};
    if (newest.machines < kSeveral) continue;
    if (now - newest.at > kSeveral * platform_.reportEvery / newest.machines + kLate) {
      out[zone] = newest.at;
    }
  }
  return out;
}

// Of a machine that this leader has not heard: what others told, else what the record of the
// windows says of its zone, else nothing is known before this leadership.
Instant Fleet::lastSign(const Machine& m) const {
  if (m.heard()) return m.memory.lastHeard;
  if (m.answeredAt) return *m.answeredAt;
  if (auto zone = silentBefore_.find(m.zone); zone != silentBefore_.end()) return zone->second;
  return std::max(since_, m.firstSeen);
}

void Fleet::judge(Instant now, const Catalogue* catalogue,
                  const std::function<bool(const ZoneId&)>& mayHaveActingLeader) {
  catalogue_ = catalogue;
  evidence_.sweep([&](const JobId& id) {
    const auto* job = replica_.job(id);
    return job && job->active();
  });
  struct Count {
    int onTime = 0, overdue = 0;
  };
  std::map<ZoneId, Count> zones;
  int reporting = 0, expected = 0, mute = 0;
  const Duration due = reportDue();
  for (const auto& [id, m] : machines_) {
    if (!m.heard()) {
      const auto* record = replica_.machine(id);
      if (!record || record->tasks.empty()) continue;
    }
    // A new leader is not known to the workers yet.
    Instant last =
        m.heard() ? m.memory.lastHeard : std::max(lastSign(m), since_ + silentAfter() / 2);
    ++(now - last <= due ? zones[m.zone].onTime : zones[m.zone].overdue);
    ++expected;
    // On time, not merely within a worker's patience: where hardly any is, the way to all of them
    // is what fails, and they need a tour of all nodes to be heard again.
    if (now - last <= due) ++reporting;
    if (m.muteSince) ++mute;
  }
  silentZones_.clear();
  for (const auto& [zone, count] : zones) {
    if (count.overdue > 1 && count.overdue > count.onTime) {
      silentZones_.insert(zone);
      zoneSilentAt_[zone] = now;
    }
  }
  // Where next to nobody is heard of many, what fails is this leader's own way to them (its peers
  // may hear them all the time): silence is no evidence then, but for what the cloud tells.
  constexpr int kMany = 4, kTenth = 10;
  const bool blind = expected >= kMany && reporting * kTenth < expected;
  // Releases that an earlier leader began, of machines that work as ever: not all in one moment.
  std::size_t finishing = static_cast<std::size_t>(
      std::count_if(toRelease_.begin(), toRelease_.end(), [&](const MachineId& id) {
        const auto* record = replica_.machine(id);
        return record && !record->tasks.empty() && find(id) && onTime(*find(id), now);
      }));
  const std::size_t mostFinishing = std::max<std::size_t>(4, machines_.size() / 20);
  unexpected_.clear();
  for (auto& [id, m] : machines_) {
    if (m.releaseWanted) continue;
    const auto* record = replica_.machine(id);
    if (m.heard() && (!record || record->rental.empty())) unexpected_.insert(id);
    bool hasTasks = record && !record->tasks.empty();
    if (record && record->draining) {
      if (hasTasks && onTime(m, now) && ++finishing > mostFinishing) continue;
      wantRelease(m, "release was begun");
      continue;
    }
    if (m.listed == Listed::failed) {
      ++lost_;
      wantRelease(m, "the cloud lists it as failed");
      continue;
    }
    Instant last = lastSign(m);
    Duration silent = now - last;
    if (m.missedLists >= 2 && silent > 2 * platform_.reportEvery) {
      ++lost_;
      wantRelease(m, "no longer listed and silent");
      continue;
    }
    if (m.noticeEnds && !hasTasks) {
      wantRelease(m, "notice, and nothing left on it");
      continue;
    }
    if (faulty(m) && !hasTasks) {
      wantRelease(m, "tasks of several sound jobs failed on it");
      continue;
    }
    // Another in its place can be used. Where most are like this, new ones would be, too.
    if (m.muteSince && !hasTasks && 2 * mute <= expected &&
        now - *m.muteSince > platform_.workerLease) {
      ++lost_;
      wantRelease(m, "answers but does not report");
      continue;
    }
    if (!m.heard() && !hasTasks) {
      const MachineType* type = catalogue ? catalogue->find(m.type) : nullptr;
      if (type && m.listed != Listed::running &&
          toSeconds(now - m.rentedAt) > kBootPatience * toSeconds(type->boot) + 5 &&
          now - since_ > silentAfter()) {
        ++neverBooted_;
        wantRelease(m, "did not boot");
      } else if (m.listed == Listed::running && m.runningSince &&
                 now - std::max(last, *m.runningSince) > platform_.workerLease) {
        // Counted from when it was known to run: a list may come before the first report, and while
        // it booted its silence was no sign of anything.
        wantRelease(m, "runs but never reported");
      }
      continue;
    }
    // Dead or out of reach. While others of its zone report it is most likely dead. A zone that is
    // silent is most likely cut off and goes on working inside: its tasks run for as long as their
    // leases, which a controller there can keep up until the bound for unknown cancellations.
    Duration patience = silentAfter();
    if (!reached_ && platform_.nodes() > 2) {
      patience += static_cast<int>(platform_.nodes() - 2) * (kWorkerGivesUp + kWorkerNextNode);
    }
    if (silentZones_.contains(m.zone) || reporting == 0 || blind) {
      Duration inside = platform_.workerLease + Duration{1000};
      if (mayHaveActingLeader(m.zone)) inside += renewal_.longest();
      if (blind) inside = 2 * platform_.workerLease + renewal_.longest() + Duration{1000};
      patience = std::max(patience, inside);
    } else if (auto back = zoneSilentAt_.find(m.zone); back != zoneSilentAt_.end()) {
      // The zone has just come back: its workers find the leader one after the other.
      silent = std::min(silent, now - back->second);
    }
    // A worker that lives answers a direct question, whichever node it reports to.
    constexpr int kEnough = 2;
    if (m.heard() && overdue(m, now) && !inSilentZone(m) && reporting > 0 &&
        m.askedInVain >= kEnough) {
      patience = std::min(patience, reportDue());
    }
    // Nothing may be known of it because this leader is new and its worker still looks for a node.
    bool unknown = !m.heard() && last >= since_;
    if (unknown) patience += silentAfter() / 2;
    if (!m.heard() && !unknown && now - since_ < silentAfter()) continue;
    if (silent > patience) {
      ++lost_;
      wantRelease(m, "silent for " + std::to_string(silent.count()) + " ms");
    }
  }
}

}  // namespace kestrelhoist
