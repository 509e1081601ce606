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
      lastReportOfAny_(now) {}

Machine* Fleet::find(const MachineId& id) {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

bool Fleet::applyReport(const Report& report, Instant now, bool isHeartbeat) {
  auto [it, isNew] = machines_.try_emplace(report.machine);
  Machine& m = it->second;
  if (isNew) {
    m.id = report.machine;
    m.firstSeen = m.rentedAt = now;
  }
  bool first = !m.hasReported();
  bool leaseEnded = !first && report.workerEpoch > m.session.lastReport->workerEpoch;
  if (!updateSession(m.session, report, now, isHeartbeat)) return false;
  if (isHeartbeat) {
    m.notReportingSince.reset();
  } else if (leaseEnded && !m.notReportingSince) {
    m.notReportingSince = now;
    logInfo("machine answers but does not report", "machine", m.id, "tenure", report.workerEpoch);
  }
  m.type = report.type;
  m.zone = report.zone;
  m.spot = report.spot;
  m.address = report.address;
  m.failedProbes = 0;
  lastReportOfAny_ = now;
  if (first) {
    ++reportingCount_;
    logInfo("machine heard", "machine", m.id, "zone", m.zone, "spot", m.spot, "tenure",
            report.workerEpoch, "tasks", report.tasks.size());
  }
  if (report.notice) {
    if (!m.terminationNoticeEnds) {
      logInfo("machine has its notice", "machine", m.id, "taken_in_ms", *report.notice);
    }
    m.terminationNoticeEnds = now + *report.notice;
  }
  updateImageCache(m);
  std::erase_if(m.firstSeenRunning, [&](const auto& s) { return !report.find(s.first); });
  for (const auto& t : report.tasks) {
    if (t.state != TaskState::running) continue;
    if (m.firstSeenRunning.try_emplace(t.id, now).second) {
      logDebug("task runs", "task", t.id.str(), "machine", m.id);
    }
  }
  return true;
}

std::vector<WorkerCommand> Fleet::onReport(const Report& report, Instant now, bool mayLaunch) {
  applyReport(report, now, true);
  return commandsFor(machines_.at(report.machine), now, mayLaunch);
}

std::vector<WorkerCommand> Fleet::commandsFor(Machine& m, Instant now, bool mayLaunch) {
  const auto* record = replica_.machine(m.id);
  // What is known of attempts that are off the record by now is settled.
  auto settled = [&](const auto& entry) { return !record || !record->find(entry.first); };
  std::erase_if(m.session.outcomes, settled);
  std::erase_if(m.session.stopRequests, settled);
  std::erase_if(m.session.launchSequences, settled);
  bool launch = mayLaunch && !(record && record->draining);
  return reconcile(m.session, record, token_, launch,
                   [&](const AttemptId& id) { return desiredStateOf(m, id, now); });
}

DesiredState Fleet::desiredStateOf(const Machine& m, const AttemptId& id, Instant now) const {
  const auto* job = replica_.job(id.task.job);
  if (!job || !job->active() || job->isDropped(id.task.index)) return {true, Duration{0}};
  const auto* record = replica_.machine(m.id);
  if (record && record->draining && m.terminationRequested) return {true, Duration{0}};
  if (auto stop = m.session.stopRequests.find(id); stop != m.session.stopRequests.end()) {
    return {true, stop->second};
  }
  if (m.terminationNoticeEnds && job->record.spec) {
    const JobSpec& spec = *job->record.spec;
    Duration left = *m.terminationNoticeEnds - now;
    auto seen = m.firstSeenRunning.find(id);
    Duration age = seen == m.firstSeenRunning.end() ? Duration{0} : now - seen->second;
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

void Fleet::updateImageCache(Machine& m) {
  if (!m.session.lastReport) return;
  for (const auto& t : m.session.lastReport->tasks) {
    const auto* job = replica_.job(t.id.task.job);
    if (!job || !job->record.spec || t.state == TaskState::ended) continue;
    const auto& spec = *job->record.spec;
    auto it = std::find_if(m.images.begin(), m.images.end(),
                           [&](const auto& i) { return i.id == job->image; });
    bool cached = t.state != TaskState::fetching;
    if (it != m.images.end()) {
      cached = cached || it->cached;
      m.images.erase(it);
    }
    m.images.push_front({job->image, spec.imageGb, cached});
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

void Fleet::noteCachedImage(const MachineId& id, std::uint32_t image, double gb) {
  Machine* m = find(id);
  if (!m || std::any_of(m->images.begin(), m->images.end(),
                        [&](const Machine::Image& i) { return i.id == image; })) {
    return;
  }
  m->images.push_back({image, gb, true});
}

void Fleet::requestStop(const AttemptId& id, const MachineId& machine, Duration grace) {
  if (auto* m = find(machine)) m->session.stopRequests.insert_or_assign(id, grace);
}

void Fleet::requestTermination(Machine& m, const std::string& why) {
  if (m.terminationRequested) return;
  m.terminationRequested = true;
  terminating_.insert(m.id);
  m.terminationReason = why;
  logInfo("machine to be released", "machine", m.id, "why", why);
}

void Fleet::onReleased(const MachineId& id, Instant now) {
  if (auto it = machines_.find(id); it != machines_.end()) {
    if (it->second.hasReported()) --reportingCount_;
    machines_.erase(it);
  }
  terminating_.erase(id);
  failureAttribution_.forgetMachine(id);
  unrecorded_.erase(id);
  released_[id] = now;
  std::erase_if(released_, [&](const auto& r) { return now - r.second > kForgetReleased; });
}

bool Fleet::usable(const Machine& m, Instant now) const {
  if (!m.hasReported() || m.terminationRequested || m.terminationNoticeEnds ||
      m.notReportingSince || faulty(m))
    return false;
  if (m.session.lastReport->token != token_) return false;
  if (now - m.session.lastReportAt > 2 * platform_.reportEvery + Duration{1000}) return false;
  const auto* record = replica_.machine(m.id);
  return record && !record->draining;
}

// Reports come every reportEvery, give or take a quarter.
Duration Fleet::reportDue() const { return platform_.reportEvery * 5 / 4 + Duration{1000}; }

bool Fleet::isOverdue(const Machine& m, Instant now) const {
  return m.hasReported() && !m.terminationRequested && now - m.session.lastReportAt > reportDue();
}

bool Fleet::hasUnconfirmedTasks(const Machine& m, Instant now) const {
  if (m.hasReported() || m.terminationRequested || m.listed != Listed::running) return false;
  const auto* record = replica_.machine(m.id);
  return record && !record->tasks.empty() && now - since_ > reportDue();
}

// A worker whose node went away reports to the next one after this long at worst.
Duration Fleet::failoverTime() const {
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
    if (!m.hasReported()) m.address = entry.address;
    m.missedLists = 0;
  }
  for (auto& [id, m] : machines_) {
    if (seen.contains(id)) continue;
    // Lists lag by up to twice the bound, and one may be older than the one before.
    if (now - m.rentedAt > 3 * listLag && now - m.firstSeen > 3 * listLag) ++m.missedLists;
  }
}

void Fleet::noteAckByPeer(const MachineId& id, Instant at) {
  if (Machine* m = find(id)) m->ackedByPeerAt = std::max(m->ackedByPeerAt.value_or(at), at);
}

std::map<ZoneId, Instant> Fleet::suspectedZones(Instant now) const {
  struct Newest {
    Instant at;
    int machines = 0;
  };
  std::map<ZoneId, Newest> zones;
  for (const auto& [id, m] : machines_) {
    bool working = m.hasReported() || m.ackedByPeerAt;
    if (!working || m.terminationRequested) continue;
    auto& zone = zones[m.zone];
    zone.at = std::max(zone.at, lastSignOfLife(m));
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
Instant Fleet::lastSignOfLife(const Machine& m) const {
  if (m.hasReported()) return m.session.lastReportAt;
  if (m.ackedByPeerAt) return *m.ackedByPeerAt;
  if (auto zone = suspectedSince_.find(m.zone); zone != suspectedSince_.end()) return zone->second;
  return std::max(since_, m.firstSeen);
}

void Fleet::detectFailures(Instant now, const Catalogue* catalogue,
                           const std::function<bool(const ZoneId&)>& mayHaveActingLeader) {
  catalogue_ = catalogue;
  failureAttribution_.sweep([&](const JobId& id) {
    const auto* job = replica_.job(id);
    return job && job->active();
  });
  struct Count {
    int isOnTime = 0, isOverdue = 0;
  };
  std::map<ZoneId, Count> zones;
  int reporting = 0, expected = 0, mute = 0;
  const Duration due = reportDue();
  for (const auto& [id, m] : machines_) {
    if (!m.hasReported()) {
      const auto* record = replica_.machine(id);
      if (!record || record->tasks.empty()) continue;
    }
    // A new leader is not known to the workers yet.
    Instant last = m.hasReported() ? m.session.lastReportAt
                                   : std::max(lastSignOfLife(m), since_ + failoverTime() / 2);
    ++(now - last <= due ? zones[m.zone].isOnTime : zones[m.zone].isOverdue);
    ++expected;
    // On time, not merely within a worker's patience: where hardly any is, the way to all of them
    // is what fails, and they need a tour of all nodes to be heard again.
    if (now - last <= due) ++reporting;
    if (m.notReportingSince) ++mute;
  }
  unreachableZones_.clear();
  for (const auto& [zone, count] : zones) {
    if (count.isOverdue > 1 && count.isOverdue > count.isOnTime) {
      unreachableZones_.insert(zone);
      zoneUnreachableAt_[zone] = now;
    }
  }
  // Where next to nobody is heard of many, what fails is this leader's own way to them (its peers
  // may hear them all the time): silence is no evidence then, but for what the cloud tells.
  constexpr int kMany = 4, kTenth = 10;
  const bool blind = expected >= kMany && reporting * kTenth < expected;
  // Releases that an earlier leader began, of machines that work as ever: not all in one moment.
  std::size_t finishing = static_cast<std::size_t>(
      std::count_if(terminating_.begin(), terminating_.end(), [&](const MachineId& id) {
        const auto* record = replica_.machine(id);
        return record && !record->tasks.empty() && find(id) && isOnTime(*find(id), now);
      }));
  const std::size_t mostFinishing = std::max<std::size_t>(4, machines_.size() / 20);
  unrecorded_.clear();
  for (auto& [id, m] : machines_) {
    if (m.terminationRequested) continue;
    const auto* record = replica_.machine(id);
    if (m.hasReported() && (!record || record->rental.empty())) unrecorded_.insert(id);
    bool hasTasks = record && !record->tasks.empty();
    if (record && record->draining) {
      if (hasTasks && isOnTime(m, now) && ++finishing > mostFinishing) continue;
      requestTermination(m, "release was begun");
      continue;
    }
    if (m.listed == Listed::failed) {
      ++lost_;
      requestTermination(m, "the cloud lists it as failed");
      continue;
    }
    Instant last = lastSignOfLife(m);
    Duration silent = now - last;
    if (m.missedLists >= 2 && silent > 2 * platform_.reportEvery) {
      ++lost_;
      requestTermination(m, "no longer listed and silent");
      continue;
    }
    if (m.terminationNoticeEnds && !hasTasks) {
      requestTermination(m, "notice, and nothing left on it");
      continue;
    }
    if (faulty(m) && !hasTasks) {
      requestTermination(m, "tasks of several sound jobs failed on it");
      continue;
    }
    // Another in its place can be used. Where most are like this, new ones would be, too.
    if (m.notReportingSince && !hasTasks && 2 * mute <= expected &&
        now - *m.notReportingSince > platform_.workerLease) {
      ++lost_;
      requestTermination(m, "answers but does not report");
      continue;
    }
    if (!m.hasReported() && !hasTasks) {
      const MachineType* type = catalogue ? catalogue->find(m.type) : nullptr;
      if (type && m.listed != Listed::running &&
          toSeconds(now - m.rentedAt) > kBootPatience * toSeconds(type->boot) + 5 &&
          now - since_ > failoverTime()) {
        ++neverBooted_;
        requestTermination(m, "did not boot");
      } else if (m.listed == Listed::running && m.runningSince &&
                 now - std::max(last, *m.runningSince) > platform_.workerLease) {
        // Counted from when it was known to run: a list may come before the first report, and while
        // it booted its silence was no sign of anything.
        requestTermination(m, "runs but never reported");
      }
      continue;
    }
    // Dead or out of reach. While others of its zone report it is most likely dead. A zone that is
    // silent is most likely cut off and goes on working inside: its tasks run for as long as their
    // leases, which a controller there can keep up until the bound for unknown cancellations.
    Duration patience = failoverTime();
    if (!workersReachable_ && platform_.nodes() > 2) {
      patience += static_cast<int>(platform_.nodes() - 2) * (kWorkerGivesUp + kWorkerNextNode);
    }
    if (unreachableZones_.contains(m.zone) || reporting == 0 || blind) {
      Duration inside = platform_.workerLease + Duration{1000};
      if (mayHaveActingLeader(m.zone)) inside += renewal_.longest();
      if (blind) inside = 2 * platform_.workerLease + renewal_.longest() + Duration{1000};
      patience = std::max(patience, inside);
    } else if (auto back = zoneUnreachableAt_.find(m.zone); back != zoneUnreachableAt_.end()) {
      // The zone has just come back: its workers find the leader one after the other.
      silent = std::min(silent, now - back->second);
    }
    // A worker that lives answers a direct question, whichever node it reports to.
    constexpr int kEnough = 2;
    if (m.hasReported() && isOverdue(m, now) && !inUnreachableZone(m) && reporting > 0 &&
        m.failedProbes >= kEnough) {
      patience = std::min(patience, reportDue());
    }
    // Nothing may be known of it because this leader is new and its worker still looks for a node.
    bool unknown = !m.hasReported() && last >= since_;
    if (unknown) patience += failoverTime() / 2;
    if (!m.hasReported() && !unknown && now - since_ < failoverTime()) continue;
    if (silent > patience) {
      ++lost_;
      requestTermination(m, "silent for " + std::to_string(silent.count()) + " ms");
    }
  }
}

}  // namespace kestrelhoist
