#include "cloud/forecast_loop.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/log.hpp"

namespace kestrelhoist {

void ForecastLoop::onTimer() {
  if (!context_.initialRoundOver || !context_.catalogue) return;
  // A change of the suspected zones is recorded at once. If the leader ended before the forecast
  // interval does, the next leader would otherwise not know of the change.
  if (suspectedZonesChanged()) recordOutdated_ = true;
  if (context_.runtime.now() >= intervalEnd_) {
    endInterval();
  } else {
    scaling_.decideIfDue();
  }
}

LoopStep ForecastLoop::next() {
  TransactionBuilder builder = context_.beginBounded();
  auto set = [&](const std::string& key, Json value) {
    return builder.add(
        {{{key, context_.replica.modRevisionOf(key)}}, {{key, std::move(value), std::nullopt}}});
  };
  if (context_.catalogue && !context_.replica.catalogue()) addCatalogue(builder);
  const auto& suspected = fleet_.lastSuspectedZones();
  if (recordOutdated_ &&
      set(keys::kForecast, recordWithinLimit(context_.platform.valueBytes, suspected)) !=
          TransactionBuilder::Result::full) {
    recordedSuspectedZones_.clear();
    for (const auto& [zone, at] : suspected) recordedSuspectedZones_.insert(zone);
    recordOutdated_ = false;
  }
  if (builder.empty()) return LoopStep::idle();
  return LoopStep::committing(Commit{builder.take(), nullptr, "types or forecast"});
}

// Adds the records of the catalogue that are not written yet. The last one is written only after
// all others.
void ForecastLoop::addCatalogue(TransactionBuilder& builder) const {
  const Json catalogue = kestrelhoist::toJson(*context_.catalogue);
  const bool mayDivide =
      context_.allMembersRead && context_.allMembersRead(kFormatWithCatalogueParts);
  const std::size_t valueBytes =
      mayDivide ? context_.platform.valueBytes : std::numeric_limits<std::size_t>::max();
  const auto records = divideCatalogue(catalogue, valueBytes, context_.token);
  bool complete = true;
  for (const auto& record : records) {
    if (context_.replica.catalogueRecords().has(record.key, record.value)) continue;
    if (&record == &records.back() && !complete) return;
    complete = false;
    auto result = builder.add({{{record.key, context_.replica.modRevisionOf(record.key)}},
                               {{record.key, record.value, std::nullopt}}});
    if (result != TransactionBuilder::Result::added) return;
  }
}

bool ForecastLoop::suspectedZonesChanged() const {
  const auto& suspected = fleet_.lastSuspectedZones();
  return !std::equal(suspected.begin(), suspected.end(), recordedSuspectedZones_.begin(),
                     recordedSuspectedZones_.end(),
                     [](const auto& entry, const ZoneId& zone) { return entry.first == zone; });
}

void ForecastLoop::endInterval() {
  Instant now = context_.runtime.now();
  auto demand = presentDemand(context_, fleet_, planning_.unplaced());
  for (const auto& type : context_.catalogue->types) {
    const TypeDemand& d = demand[type.id];
    auto horizon = static_cast<std::size_t>(
        std::max(1.0, std::ceil(toSeconds(type.boot) / toSeconds(context_.settings.window))));
    auto [it, isNew] =
        forecasts_.series.try_emplace(type.id, DemandSeries{Forecast(horizon), Forecast(horizon)});
    // Waiting tasks do not count as demand while the cloud refuses this type in every zone. They
    // would otherwise raise the forecast, although no machine can be rented (see DESIGN).
    auto allRefused = [&](bool spot) {
      return std::all_of(type.zones.begin(), type.zones.end(), [&](const ZoneId& z) {
        auto r = scaling_.refused().find({type.id, z, spot});
        return r != scaling_.refused().end() && now - r->second <= kConstrainedMemory;
      });
    };
    bool onDemandRefused = allRefused(false);
    bool spotRefused = !context_.settings.useSpot || allRefused(true);
    it->second.firm.observe(d.firmBooked + (onDemandRefused ? 0 : d.firmWaiting));
    it->second.flexible.observe(d.flexibleBookedOnSpot + d.flexibleBookedOnDemand +
                                (onDemandRefused && spotRefused ? 0 : d.flexibleWaiting));
  }
  while (intervalEnd_ <= now) intervalEnd_ = intervalEnd_ + context_.settings.window;
  recordOutdated_ = true;
  scaling_.decide(true);
}

// Returns the record within the size limit of a value. If it is too large, leaves out first suspect
// jobs and then forecasts of machine types, because a new leader can learn both again.
Json ForecastLoop::recordWithinLimit(std::size_t bytes,
                                     const std::map<ZoneId, Instant>& suspected) const {
  Json value = toJson(suspected);
  for (const char* list : {"suspect", "types"}) {
    while (jsonBytes(value) > bytes && !value[list].empty()) {
      Json& entries = value[list];
      std::size_t keep = entries.size() / 2;
      while (entries.size() > keep) entries.erase(std::prev(entries.end()));
    }
  }
  return value;
}

Json ForecastLoop::toJson(const std::map<ZoneId, Instant>& suspected) const {
  Json types = Json::object();
  for (const auto& [type, series] : forecasts_.series) {
    types[type.value] = {{"firm", series.firm.toJson()}, {"flexible", series.flexible.toJson()}};
  }
  // The record says since when each suspected zone is unreachable. A new leader that has received
  // no heartbeat from a zone cannot know when the leases of its workers expire. Without the record,
  // 1,712 tasks had ended 25 s before the new leader rescheduled them (day `zone`: the zone was cut
  // off, then the leader ended).
  Instant now = context_.runtime.now();
  Json silent = Json::object();
  for (const auto& [zone, at] : suspected) {
    silent[zone.value] = context_.runtime.wallMillis() - (now - at).count();
  }
  // The record names suspect jobs, so that a new leader does not first start all of their tasks
  // again.
  constexpr std::size_t kMaxSuspects = 32;
  Json suspect = Json::object();
  for (const auto& [job, rounds] : fleet_.failureAttribution().suspectJobs(kMaxSuspects)) {
    suspect[job.value] = rounds;
  }
  return {{"at", context_.runtime.wallMillis()},
          {"types", std::move(types)},
          {"silent", std::move(silent)},
          {"suspect", std::move(suspect)}};
}

// Restores the stored forecasts and fills the intervals since then with the present demand.
void ForecastLoop::restoreStored() {
  const auto& stored = context_.replica.forecast();
  if (restored_ || !stored || !context_.catalogue) return;
  restored_ = true;
  auto at = countField(*stored, "at");
  const Json* types = field(*stored, "types");
  if (!at || !types || !types->is_object()) return;
  auto age = Duration{
      std::max<std::int64_t>(0, context_.runtime.wallMillis() - static_cast<std::int64_t>(*at))};
  auto missedIntervals = static_cast<std::size_t>(age / context_.settings.window);
  auto demand = presentDemand(context_, fleet_, planning_.unplaced());
  for (const auto& type : context_.catalogue->types) {
    const Json* entry = field(*types, type.id.value.c_str());
    const Json* firm = entry ? field(*entry, "firm") : nullptr;
    const Json* flexible = entry ? field(*entry, "flexible") : nullptr;
    DemandSeries series;
    if (!firm || !flexible || !series.firm.fromJson(*firm) ||
        !series.flexible.fromJson(*flexible)) {
      continue;
    }
    const TypeDemand& d = demand[type.id];
    series.firm.fillMissed(missedIntervals, d.firmBooked + d.firmWaiting);
    series.flexible.fillMissed(
        missedIntervals, d.flexibleBookedOnSpot + d.flexibleBookedOnDemand + d.flexibleWaiting);
    forecasts_.series.insert_or_assign(type.id, std::move(series));
  }
  logInfo("demand forecast restored", "windows_behind", missedIntervals);
}

}  // namespace kestrelhoist
