#include "cloud/scaling_loop.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetry{1000};
constexpr Duration kRefusedPause{15000};  // before the same offer is tried again
constexpr double kLateBoot = 1.7;         // times the boot time: no longer counted on
}  // namespace

// A rental is written down before it is asked for, and again with the machines that came of it.
LoopStep ScalingLoop::next() {
  const std::size_t limit = context_.platform.transactionOps;
  Transaction t = context_.begin();
  std::vector<RentalId> ended;
  std::size_t bytes = 1024;
  auto add = [&](const RentalId& id, std::optional<Json> value) {
    std::string key = keys::rental(id);
    t.compares.push_back({key, context_.replica.modRevisionOf(key)});
    t.writes.push_back({key, std::move(value), std::nullopt});
  };
  auto full = [&] { return t.writes.size() >= limit || bytes > kMaxTransactionBytes; };
  for (const auto& [id, result] : results_) {
    if (full()) break;
    ended.push_back(id);
    auto rental = context_.replica.rentals().find(id);
    if (rental == context_.replica.rentals().end()) continue;
    RentalRecord record = rental->second;
    record.answered = true;
    for (const auto& machine : result.machines) {
      bytes += machine.value.size() + 4;
      const auto* known = context_.replica.machine(machine);
      if ((known && !known->rental.empty()) || fleet_.isReleased(machine)) continue;
      record.machines.push_back({machine, false});
    }
    add(id, record.machines.empty() ? std::nullopt : std::optional(toJson(record)));
  }
  // Machines that nobody expected: on record before they can be used. While a rental of their
  // kind has no answer on record yet, they are likely its own.
  std::map<InstanceOffering, RentalRecord> adopted;
  constexpr std::size_t kMostAdopted = 50;  // of a kind at a time, for the size of the value
  auto adopt = [&](const MachineId& id, bool draining) {
    const Machine* m = fleet_.find(id);
    const auto* known = context_.replica.machine(id);
    if (!m || m->type.empty() || (known && !known->rental.empty())) return;
    InstanceOffering offering{m->type, m->zone, m->spot};
    for (const auto& [rentalId, r] : context_.replica.rentals()) {
      if (!r.answered && InstanceOffering{r.type, r.zone, r.spot} == offering) return;
    }
    RentalRecord& record = adopted[offering];
    if (record.machines.size() >= kMostAdopted) return;
    record.machines.push_back({id, draining});
  };
  for (const auto& id : fleet_.unrecorded()) adopt(id, false);
  for (const auto& id : fleet_.terminating()) adopt(id, true);
  for (auto& [offering, record] : adopted) {
    if (full()) break;
    record.id =
        RentalId{"a-" + std::to_string(context_.token.value) + "-" + std::to_string(++count_)};
    record.type = offering.type;
    record.zone = offering.zone;
    record.spot = offering.spot;
    record.count = static_cast<std::uint32_t>(record.machines.size());
    record.atMs = context_.runtime.wallMillis();
    record.answered = true;
    logInfo("machines adopted", "count", record.count, "zone", offering.zone);
    add(record.id, toJson(record));
  }
  // No more than the cloud takes calls for in a second: what is still wanted later is decided
  // anew until then, so that few calls carry many machines each.
  constexpr std::uint32_t kMostAtOnce = 50;  // that the cloud rents in one call
  std::size_t underWay = 0, written = 0;
  for (const auto& [id, r] : context_.replica.rentals()) {
    underWay += !r.answered && !results_.contains(id) ? 1 : 0;
  }
  auto most = static_cast<std::size_t>(std::max(1.0, context_.platform.cloudRequestsPerS));
  while (!wanted_.empty() && underWay + written < most && !full()) {
    // Work that needs ordinary machines can use no others; then the most that one call brings.
    auto next = std::max_element(wanted_.begin(), wanted_.end(), [](const auto& a, const auto& b) {
      if (a.first.spot != b.first.spot) return a.first.spot;
      return a.second < b.second;
    });
    std::uint32_t n = std::min(next->second, kMostAtOnce);
    const InstanceOffering& offering = next->first;
    // Unique for ever: tokens are, and the counter within one.
    RentalId id{"r-" + std::to_string(context_.token.value) + "-" + std::to_string(++count_)};
    RentalRecord record{
        id, offering.type, offering.zone, offering.spot, n, context_.runtime.wallMillis(), false,
        {}};
    add(id, toJson(record));
    ++written;
    next->second -= n;
    if (next->second == 0) wanted_.erase(next);
  }
  if (t.writes.empty()) {
    for (const auto& id : ended) results_.erase(id);
    return LoopStep::idle();
  }
  return LoopStep::committing(Commit{
      std::move(t),
      [this, ended] {
        for (const auto& id : ended) {
          results_.erase(id);
          asked_.erase(id);
        }
        fleet_.adoptRecords(context_.runtime.now(), context_.runtime.wallMillis());
        context_.planInvalidated = true;
        startRentals();
      },
      std::to_string(written) + " rentals wanted, " + std::to_string(ended.size()) + " ended"});
}

void ScalingLoop::startRentals() {
  for (const auto& [id, rental] : context_.replica.rentals()) {
    if (rental.answered || results_.contains(id) || asked_.contains(id)) continue;
    if (!context_.cloud.mayAsk()) return;
    asked_.insert(id);
    context_.cloud.requestMachines(rental, context_.whileLeading([this, rental](RentalResult r) {
      onRentalAnswered(rental, r);
    }));
  }
}

void ScalingLoop::onRentalAnswered(const RentalRecord& rental, const RentalResult& result) {
  Instant now = context_.runtime.now();
  InstanceOffering offering{rental.type, rental.zone, rental.spot};
  if (result.kind == RentalResult::Kind::failed) {
    // Trouble or no answer: the same name again, which rents nothing twice.
    context_.runtime.after(kRetry, context_.whileLeading([this, id = rental.id] {
      asked_.erase(id);
      startRentals();
    }));
    return;
  }
  if (result.machines.size() < rental.count) {
    refused_[offering] = now;
  } else {
    refused_.erase(offering);
  }
  logInfo("rental answered", "rental", rental.id, "got", result.machines.size(), "wanted",
          rental.count, "spot", rental.spot, "type", rental.type, "zone", rental.zone);
  results_[rental.id] = result;
  nextCheck_ = now;
  context_.scheduleCycle();
}

void ScalingLoop::decide(bool turn) {
  Instant now = context_.runtime.now();
  nextCheck_ = now + Duration{1000};
  std::erase_if(refused_, [&](const auto& r) { return now - r.second > kConstrainedMemory; });
  auto demand = demandNow(context_, fleet_, planning_.unplaced());
  wanted_.clear();
  // Work that finds no room needs the machines that were to be emptied.
  if (!planning_.unplaced().empty()) fleet_.cordoned().clear();
  for (const auto& type : context_.catalogue->types) {
    ScalingInput in;
    in.type = &type;
    in.demand = demand[type.id];
    if (auto f = forecasts_.series.find(type.id); f != forecasts_.series.end()) {
      in.demand.firm = f->second.firm.predict(forecasts_.random);
      in.demand.flexible = f->second.flexible.predict(forecasts_.random);
    }
    // DESIGN: waiting downstream jobs of a running upstream job add their room. Their upstream's
    // room is free by then.
    if (upcoming && ending) {
      Duration horizon = type.boot + type.boot / 2;
      auto more = demandInMachines(*context_.catalogue, upcoming(horizon))[type.id];
      auto less = demandInMachines(*context_.catalogue, ending(horizon))[type.id];
      double firm = in.demand.firmBooked + in.demand.firmWaiting;
      double flexible =
          in.demand.flexibleOnSpot + in.demand.flexibleOnOrdinary + in.demand.flexibleWaiting;
      if (more.first > less.first) {
        in.demand.firm.mean = std::max(in.demand.firm.mean, firm + more.first - less.first);
      }
      if (more.second > less.second) {
        in.demand.flexible.mean =
            std::max(in.demand.flexible.mean, flexible + more.second - less.second);
      }
    }
    in.spreadMultiple = context_.settings.spreadMultiple;
    in.useSpot = context_.settings.useSpot;
    // In a storm nothing is given back or emptied: what competes with repair waits.
    const bool massFailure = context_.effectivePolicy && context_.effectivePolicy->massFailure();
    in.scaleIn = turn && !massFailure;
    if (context_.effectivePolicy) {
      double day = context_.effectivePolicy->machinesAhead(type.boot * 3 / 2) /
                   static_cast<double>(context_.catalogue->types.size());
      in.demand.firm.mean = std::max(in.demand.firm.mean, in.demand.firmBooked + day);
    }
    for (const auto& [offering, at] : refused_) {
      in.constrained.insert(offering);
      if (now - at < kRefusedPause) in.refused.insert(offering);
    }
    // What is rented into a zone that is cut off can't be reached either.
    for (const auto& zone : fleet_.unreachableZones()) {
      in.refused.insert({type.id, zone, false});
      in.refused.insert({type.id, zone, true});
    }
    for (const auto& [id, rental] : context_.replica.rentals()) {
      if (rental.answered) continue;
      auto result = results_.find(id);
      auto n = result == results_.end()
                   ? rental.count
                   : static_cast<std::uint32_t>(result->second.machines.size());
      in.pendingRentals[{rental.type, rental.zone, rental.spot}] += n;
    }
    for (auto& [id, m] : fleet_.machines()) {
      const auto* record = context_.replica.machine(id);
      if (m.type != type.id || m.terminationRequested || (record && record->draining) ||
          m.terminationNoticeEnds || fleet_.faulty(m)) {
        continue;
      }
      ScalingMachine r;
      r.id = id;
      r.offering = {m.type, m.zone, m.spot};
      r.up = m.hasReported();
      r.age = now - m.rentedAt;
      // Only what the cloud lists as booting: a new leader has not heard the machines that are up,
      // and would rent them all a second time.
      r.late = !r.up && m.listed == Listed::booting &&
               toSeconds(r.age) > kLateBoot * toSeconds(type.boot);
      r.idle = !record || record->tasks.empty();
      r.keep = context_.effectivePolicy && context_.effectivePolicy->keepsWarm(id);
      in.machines.push_back(std::move(r));
    }
    ScalingDecision out = decideScaling(in);
    if (turn) {
      logInfo("window", "type", type.id, "firm", in.demand.firmBooked, "firm_waiting",
              in.demand.firmWaiting, "firm_mean", in.demand.firm.mean, "firm_spread",
              in.demand.firm.spread, "flexible",
              in.demand.flexibleOnSpot + in.demand.flexibleOnOrdinary, "flexible_waiting",
              in.demand.flexibleWaiting, "flexible_mean", in.demand.flexible.mean,
              "flexible_spread", in.demand.flexible.spread, "target_ordinary", out.ordinaryTarget,
              "target_spot", out.spotTarget, "have", in.machines.size());
    }
    if (turn && !massFailure && planning_.unplaced().empty()) {
      int ordinary = static_cast<int>(
          std::count_if(in.machines.begin(), in.machines.end(), [&](const ScalingMachine& m) {
            return !m.offering.spot && !fleet_.cordoned().contains(m.id);
          }));
      int needed = out.ordinaryNeeded + 1;
      if (ordinary > needed) {
        consolidateMachines(type.id, static_cast<std::size_t>(ordinary - needed));
      }
    }
    std::size_t have = in.machines.size();
    for (const auto& [offering, n] : in.pendingRentals) have += n;
    for (const auto& rental : out.rentals) {
      std::uint32_t count = rental.count;
      if (context_.settings.maxMachines > 0) {
        auto left = context_.settings.maxMachines > have ? context_.settings.maxMachines - have : 0;
        count = static_cast<std::uint32_t>(std::min<std::size_t>(count, left));
      }
      have += count;
      if (count > 0) wanted_[rental.offering] += count;
    }
    for (const auto& id : out.scaleIn) {
      if (auto* m = fleet_.find(id)) fleet_.requestTermination(*m, "idle above the target");
    }
  }
  if (!wanted_.empty()) context_.scheduleCycle();
}

PendingReason ScalingLoop::resourcesReason(const JobSpec& spec) const {
  bool offered = false, coming = false;
  auto mayUse = [&](const TypeId& type, const ZoneId& zone, bool spot) {
    return spec.allowsType(type) && (!spec.zone || *spec.zone == zone) &&
           (!spot || spec.spotAllowed);
  };
  for (const auto& [id, m] : fleet_.machines()) {
    coming =
        coming || (!m.hasReported() && !m.terminationRequested && mayUse(m.type, m.zone, m.spot));
  }
  for (const auto& [id, r] : context_.replica.rentals()) {
    coming = coming || (!r.answered && mayUse(r.type, r.zone, r.spot));
  }
  if (coming) return PendingReason::boot;
  for (const auto& type : context_.catalogue->types) {
    for (const auto& zone : type.zones) {
      for (bool spot : {false, true}) {
        offered =
            offered || (mayUse(type.id, zone, spot) && !refused_.contains({type.id, zone, spot}));
      }
    }
  }
  return offered ? PendingReason::resources : PendingReason::capacity;
}

void ScalingLoop::check() {
  if (context_.runtime.now() >= nextCheck_) decide(false);
}

}  // namespace kestrelhoist
