// The leader's dealings with the cloud: types, list, releases, rentals by the forecast.
#include <algorithm>
#include <cmath>

#include "app/leader.hpp"
#include "base/log.hpp"
#include "placement/consolidate.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kRetry{1000};
constexpr Duration kRefusedPause{15000};  // before the same offer is tried again
constexpr Duration kScarceMemory{60000};  // for how long it counts as hard to get
constexpr double kLateBoot = 1.7;         // times the boot time: no longer counted on
}  // namespace

void Leader::readTypes() {
  if (typesAsked_ || !s_.cloud.mayAsk()) return;
  typesAsked_ = true;
  s_.cloud.types(guard([this](std::optional<Catalogue> c) {
    if (!c) {
      spdlog::info("the cloud did not tell its machine types");
      s_.runtime.after(kRetry, guard([this] { typesAsked_ = false; }));
      return;
    }
    catalogue_ = std::move(c);
    kick();
  }));
}

void Leader::readList() {
  if (!s_.cloud.mayAsk()) return;
  listing_ = true;
  nextList_ = s_.runtime.now() + std::max(s_.platform.listLag, Duration{2000});
  s_.cloud.list(guard([this](std::optional<std::vector<ListedMachine>> list) {
    listing_ = false;
    if (!list) {
      spdlog::info("the cloud gave no machine list");
      return;
    }
    Instant now = s_.runtime.now();
    std::vector<std::pair<MachineId, Machine>> machines;
    for (const auto& l : *list) {
      Machine m;
      m.id = l.id;
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
      m.address = l.address;
      m.listed = l.state == ListedMachine::State::failed    ? Listed::failed
                 : l.state == ListedMachine::State::booting ? Listed::booting
                                                            : Listed::running;
      m.rentedAt = now - l.age - s_.platform.listLag;
      machines.emplace_back(l.id, std::move(m));
    }
    if (firstList_ == Instant{}) firstList_ = now;
    fleet_.onList(machines, now, s_.platform.listLag);
    askAll();
  }));
}

// Asks for the release of machines whose mark is on record. The answer 200 is the one fence for
// silent machines: they and all that was on them are gone.
void Leader::startReleases() {
  if (!releasing_.empty()) return;
  constexpr std::size_t kMostNames = 100;
  std::vector<MachineId> batch;
  for (const auto& id : fleet_.toRelease()) {
    const auto* state = s_.replica.machine(id);
    if (state && state->leaving && batch.size() < kMostNames) batch.push_back(id);
  }
  if (batch.empty() || !s_.cloud.mayAsk()) return;
  releasing_.insert(batch.begin(), batch.end());
  s_.cloud.release(batch, guard([this, batch](bool ok) {
                     if (!ok) {
                       spdlog::info("release of {} machines got no 200, asking again",
                                    batch.size());
                       s_.runtime.after(kRetry, guard([this] { releasing_.clear(); }));
                       return;
                     }
                     releasing_.clear();
                     for (const auto& id : batch) {
                       spdlog::info("machine {} released", id.value);
                       if (const auto* state = s_.replica.machine(id)) {
                         for (const auto& t : state->tasks) noteFact(t, Gone::lost);
                       }
                       releaseConfirmed_.insert(id);
                       fleet_.onReleased(id, s_.runtime.now());
                     }
                     startReleases();
                     kick();
                   }));
}

void Leader::startHires() {
  for (const auto& [id, rental] : s_.replica.rentals()) {
    if (rental.answered || rentalResults_.contains(id) || rentalsAsked_.contains(id)) continue;
    if (!s_.cloud.mayAsk()) return;
    rentalsAsked_.insert(id);
    s_.cloud.hire(rental, guard([this, rental](HireResult r) { onHired(rental, r); }));
  }
}

void Leader::onHired(const RentalRecord& rental, const HireResult& result) {
  Instant now = s_.runtime.now();
  Offer offer{rental.type, rental.zone, rental.spot};
  if (result.kind == HireResult::Kind::failed) {
    // Trouble or no answer: the same name again, which rents nothing twice.
    s_.runtime.after(kRetry, guard([this, id = rental.id] {
                       rentalsAsked_.erase(id);
                       startHires();
                     }));
    return;
  }
  if (result.machines.size() < rental.count) {
    refused_[offer] = now;
  } else {
    refused_.erase(offer);
  }
  spdlog::info("rental {}: {} of {} {} {} in {}", rental.id.value, result.machines.size(),
               rental.count, rental.spot ? "spot" : "ordinary", rental.type.value,
               rental.zone.value);
  rentalResults_[rental.id] = result;
  nextRentCheck_ = now;
  kick();
}

std::map<TypeId, TypeDemand> Leader::demandNow() {
  std::map<TypeId, TypeDemand> demand;
  for (const auto& type : catalogue_->types) demand[type.id];
  for (const auto& [id, record] : s_.replica.machines()) {
    const MachineType* type = catalogue_->find(record.type);
    if (!type) continue;
    auto& d = demand[type->id];
    const Machine* m = fleet_.find(id);
    for (const auto& t : record.tasks) {
      if (!t.job->record.spec || (m && m->memory.gone.contains(t.id))) continue;
      const JobSpec& spec = *t.job->record.spec;
      double share = spec.perTask.shareOf(type->room);
      if (!spec.spotAllowed) {
        d.firmBooked += share;
      } else if (record.spot) {
        d.flexibleOnSpot += share;
      } else {
        d.flexibleOnOrdinary += share;
      }
    }
  }
  for (const auto& [id, count] : unplaced_) {
    const auto* job = s_.replica.job(id);
    if (!job || !job->active() || !job->record.spec) continue;
    const JobSpec& spec = *job->record.spec;
    // The cheapest allowed type that holds a task.
    const MachineType* best = nullptr;
    for (const auto& type : catalogue_->types) {
      if (!spec.allowsType(type.id) || !spec.perTask.fitsIn(type.room)) continue;
      if (!best || type.price * spec.perTask.shareOf(type.room) <
                       best->price * spec.perTask.shareOf(best->room)) {
        best = &type;
      }
    }
    if (!best) continue;
    auto& d = demand[best->id];
    // A task that is a bit more than a half of a machine takes a whole one.
    double perMachine = std::floor(1.0 / std::max(1e-6, spec.perTask.shareOf(best->room)) + 1e-6);
    double share = count / std::max(1.0, perMachine);
    (spec.spotAllowed ? d.flexibleWaiting : d.firmWaiting) += share;
    if (spec.zone) d.pinnedWaiting[*spec.zone] += share;
  }
  return demand;
}

void Leader::decideRenting(bool turn) {
  Instant now = s_.runtime.now();
  nextRentCheck_ = now + Duration{1000};
  std::erase_if(refused_, [&](const auto& r) { return now - r.second > kScarceMemory; });
  auto demand = demandNow();
  wanted_.clear();
  // Work that finds no room needs the machines that were to be emptied.
  if (!unplaced_.empty()) emptying_.clear();
  for (const auto& type : catalogue_->types) {
    RentInput in;
    in.type = &type;
    in.demand = demand[type.id];
    if (auto f = forecasts_.find(type.id); f != forecasts_.end()) {
      in.demand.firm = f->second.firm.predict(random_);
      in.demand.flexible = f->second.flexible.predict(random_);
    }
    in.spreadMultiple = s_.settings.spreadMultiple;
    in.useSpot = s_.settings.useSpot;
    in.giveBack = turn;
    for (const auto& [offer, at] : refused_) {
      in.scarce.insert(offer);
      if (now - at < kRefusedPause) in.refused.insert(offer);
    }
    // What is rented into a zone that is cut off can't be reached either.
    for (const auto& zone : fleet_.silentZones()) {
      in.refused.insert({type.id, zone, false});
      in.refused.insert({type.id, zone, true});
    }
    for (const auto& [id, rental] : s_.replica.rentals()) {
      if (rental.answered) continue;
      auto result = rentalResults_.find(id);
      auto n = result == rentalResults_.end()
                   ? rental.count
                   : static_cast<std::uint32_t>(result->second.machines.size());
      in.ordered[{rental.type, rental.zone, rental.spot}] += n;
    }
    for (auto& [id, m] : fleet_.machines()) {
      const auto* record = s_.replica.machine(id);
      if (m.type != type.id || m.releaseWanted || (record && record->leaving) || m.noticeEnds ||
          fleet_.faulty(m)) {
        continue;
      }
      RentMachine r;
      r.id = id;
      r.offer = {m.type, m.zone, m.spot};
      r.up = m.heard();
      r.age = now - m.rentedAt;
      // Only what the cloud lists as booting: a new leader has not heard the machines that are up,
      // and would rent them all a second time.
      r.late = !r.up && m.listed == Listed::booting &&
               toSeconds(r.age) > kLateBoot * toSeconds(type.boot);
      r.idle = !record || record->tasks.empty();
      in.machines.push_back(std::move(r));
    }
    RentDecision out = decideRent(in);
    if (turn) {
      spdlog::info(
          "window of {}: firm {:.2f}+{:.2f} waiting, expected {:.2f}+-{:.2f}; flexible "
          "{:.2f}+{:.2f} waiting, expected {:.2f}+-{:.2f}; target {} ordinary {} spot, have {}",
          type.id.value, in.demand.firmBooked, in.demand.firmWaiting, in.demand.firm.mean,
          in.demand.firm.spread, in.demand.flexibleOnSpot + in.demand.flexibleOnOrdinary,
          in.demand.flexibleWaiting, in.demand.flexible.mean, in.demand.flexible.spread,
          out.ordinaryTarget, out.spotTarget, in.machines.size());
    }
    if (turn && unplaced_.empty()) {
      int ordinary = static_cast<int>(std::count_if(
          in.machines.begin(), in.machines.end(),
          [&](const RentMachine& m) { return !m.offer.spot && !emptying_.contains(m.id); }));
      int needed = out.ordinaryNeeded + 1;
      if (ordinary > needed) {
        emptyMachines(type.id, static_cast<std::size_t>(ordinary - needed));
      }
    }
    std::size_t have = in.machines.size();
    for (const auto& [offer, n] : in.ordered) have += n;
    for (const auto& rental : out.rentals) {
      std::uint32_t count = rental.count;
      if (s_.settings.maxMachines > 0) {
        auto left = s_.settings.maxMachines > have ? s_.settings.maxMachines - have : 0;
        count = static_cast<std::uint32_t>(std::min<std::size_t>(count, left));
      }
      have += count;
      if (count > 0) wanted_[rental.offer] += count;
    }
    for (const auto& id : out.giveBack) {
      if (auto* m = fleet_.find(id)) fleet_.wantRelease(*m, "idle above the target");
    }
  }
  if (!wanted_.empty()) kick();
}

void Leader::turnWindow() {
  Instant now = s_.runtime.now();
  auto demand = demandNow();
  for (const auto& type : catalogue_->types) {
    const TypeDemand& d = demand[type.id];
    auto horizon = static_cast<std::size_t>(
        std::max(1.0, std::ceil(toSeconds(type.boot) / toSeconds(s_.settings.window))));
    auto [it, isNew] =
        forecasts_.try_emplace(type.id, Series{Forecast(horizon), Forecast(horizon)});
    // DESIGN names it: refused rents leave tasks waiting and push the forecast toward room that
    // can't come. While every zone refuses, waiting work is not taken for demand.
    auto allRefused = [&](bool spot) {
      return std::all_of(type.zones.begin(), type.zones.end(), [&](const ZoneId& z) {
        auto r = refused_.find({type.id, z, spot});
        return r != refused_.end() && now - r->second <= kScarceMemory;
      });
    };
    bool noOrdinary = allRefused(false);
    bool noSpot = !s_.settings.useSpot || allRefused(true);
    it->second.firm.observe(d.firmBooked + (noOrdinary ? 0 : d.firmWaiting));
    it->second.flexible.observe(d.flexibleOnSpot + d.flexibleOnOrdinary +
                                (noOrdinary && noSpot ? 0 : d.flexibleWaiting));
  }
  while (windowEnds_ <= now) windowEnds_ = windowEnds_ + s_.settings.window;
  forecastDirty_ = true;
  decideRenting(true);
}

// Moves the replicas of machines that hold few of them to where their images are, so that whole
// machines fall idle and can be given back.
void Leader::emptyMachines(const TypeId& type, std::size_t surplus) {
  constexpr double kMoveShare = 0.02;  // of all replicas, at one turn
  constexpr std::size_t kMoveAtLeast = 4;
  Instant now = s_.runtime.now();
  std::erase_if(emptying_, [&](const MachineId& id) { return !fleet_.find(id); });
  EmptyInput in;
  std::map<ZoneId, std::uint32_t> zones;
  for (const auto& z : s_.platform.zones) zones.try_emplace(z, zones.size());
  const MachineType* known = catalogue_->find(type);
  std::size_t replicas = 0;
  for (const auto& [id, record] : s_.replica.machines()) {
    const Machine* m = fleet_.find(id);
    if (record.type != type || record.spot || !m || !fleet_.usable(*m, now)) continue;
    EmptyCandidate c{id, type, zones[record.zone], known->room, known->room, {}, {}};
    for (const auto& i : m->images) c.images.push_back({i.id, i.gb, i.held});
    for (const auto& t : record.tasks) {
      const auto& spec = t.job->record.spec;
      if (!spec || m->memory.gone.contains(t.id)) continue;
      c.free -= spec->perTask;
      if (spec->kind != JobKind::service) continue;
      ++replicas;
      auto& perZone = in.perZone[spec->id];
      perZone.resize(s_.platform.zones.size() + 1);
      ++perZone[c.zone];
      auto seen = m->seenRunning.find(t.id);
      c.services.push_back(
          {t.id, spec, t.job->image,
           seen == m->seenRunning.end() || !t.job->active() ? Duration{0} : now - seen->second});
    }
    if (!emptying_.contains(id)) in.machines.push_back(std::move(c));
  }
  in.surplus = surplus;
  in.mostMoves =
      std::max(kMoveAtLeast, static_cast<std::size_t>(kMoveShare * static_cast<double>(replicas)));
  auto decision = chooseToEmpty(std::move(in));
  for (const auto& id : decision.machines) emptying_.insert(id);
  for (const auto& [machine, task] : decision.moves) {
    fleet_.requestStop(task, machine, Duration{0});
    push(machine);
  }
  if (!decision.machines.empty()) {
    spdlog::info("{} machines to be emptied, {} replicas move", decision.machines.size(),
                 decision.moves.size());
  }
}

Json Leader::forecastsToJson() const {
  Json types = Json::object();
  for (const auto& [type, series] : forecasts_) {
    types[type.value] = {{"firm", series.firm.toJson()}, {"flexible", series.flexible.toJson()}};
  }
  return {{"at", s_.runtime.wallMillis()}, {"types", std::move(types)}};
}

// The windows that an earlier leader left, with the gap since then closed at present demand.
void Leader::loadForecasts() {
  const auto& stored = s_.replica.forecast();
  if (forecastsLoaded_ || !stored || !catalogue_) return;
  forecastsLoaded_ = true;
  auto at = countField(*stored, "at");
  const Json* types = field(*stored, "types");
  if (!at || !types || !types->is_object()) return;
  auto age =
      Duration{std::max<std::int64_t>(0, s_.runtime.wallMillis() - static_cast<std::int64_t>(*at))};
  auto missed = static_cast<std::size_t>(age / s_.settings.window);
  auto demand = demandNow();
  for (const auto& type : catalogue_->types) {
    const Json* entry = field(*types, type.id.value.c_str());
    const Json* firm = entry ? field(*entry, "firm") : nullptr;
    const Json* flexible = entry ? field(*entry, "flexible") : nullptr;
    Series series;
    if (!firm || !flexible || !series.firm.fromJson(*firm) ||
        !series.flexible.fromJson(*flexible)) {
      continue;
    }
    const TypeDemand& d = demand[type.id];
    series.firm.skip(missed, d.firmBooked + d.firmWaiting);
    series.flexible.skip(missed, d.flexibleOnSpot + d.flexibleOnOrdinary + d.flexibleWaiting);
    forecasts_.insert_or_assign(type.id, std::move(series));
  }
  spdlog::info("forecast taken over, {} windows behind", missed);
}

}  // namespace kestrelhoist
