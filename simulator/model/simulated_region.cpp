#include "simulator/model/simulated_region.hpp"

namespace kestrelhoist::simulator {

SimulatedRegion::SimulatedRegion(RegionSettings s, Clock& c, Transport& w, std::mt19937_64& r,
                                 TaskHost& t)
    : settings(std::move(s)),
      clock(c),
      transport(w),
      random(r),
      taskHost(t),
      state(clock, transport, "state:1") {
  for (const auto& z : settings.zones) {
    capacity_[{z, false}] = settings.onDemandPerZone;
    capacity_[{z, true}] = settings.spotPerZone;
  }
  transport.listen("cloud:1", [this](const std::string&, const Request& q, const Respond& respond) {
    clock.in(100, [this, q, respond] { respond(answerCloud(q)); });
  });
}

std::vector<std::string> SimulatedRegion::machinesWithTasks() const {
  std::vector<std::string> out;
  for (const auto& [host, worker] : workers) {
    if (!worker->isDead && !worker->tasks.empty()) out.push_back(host);
  }
  return out;
}

std::size_t SimulatedRegion::machineCount(bool spot) const {
  return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& h) {
    return h.second.spot == spot && h.second.rentalEndedAtMs < 0;
  }));
}

bool SimulatedRegion::isRented(const std::string& host) const {
  return hosts_.contains(host) && !releasedAt(host);
}

std::optional<std::int64_t> SimulatedRegion::releasedAt(const std::string& host) const {
  auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.rentalEndedAtMs < 0) return std::nullopt;
  return it->second.rentalEndedAtMs;
}

bool SimulatedRegion::listedAsFailed(const std::string& host, std::int64_t at) const {
  auto worker = workers.find(host);
  return settings.failedAfterS > 0 && worker != workers.end() && worker->second->isDead &&
         at - worker->second->diedAtMs > millis(settings.failedAfterS);
}

double SimulatedRegion::machineSeconds() const {
  double ms = 0;
  for (const auto& [name, h] : hosts_) {
    ms += static_cast<double>((h.rentalEndedAtMs < 0 ? clock.now() : h.rentalEndedAtMs) -
                              h.rentedAtMs);
  }
  return ms / 1000.0;
}

std::vector<std::string> SimulatedRegion::rentedMachines() const {
  std::vector<std::string> out;
  for (const auto& [name, host] : hosts_) {
    if (host.rentalEndedAtMs < 0) out.push_back(name);
  }
  return out;
}

void SimulatedRegion::setCapacity(bool spot, int perZone) {
  for (const auto& z : settings.zones) capacity_[{z, spot}] = perZone;
}

Response SimulatedRegion::answerCloud(const Request& q) {
  try {
    return cloud(q);
  } catch (const Json::exception& e) {
    return jsonResponse(400, {{"error", e.what()}});
  }
}

Response SimulatedRegion::cloud(const Request& q) {
  if (clock.now() < cloudOutageUntil) return jsonResponse(503, {{"error", "trouble"}});
  std::string path = q.path.substr(0, q.path.find('?'));
  auto body = decodeBody(q.body);
  if (q.method == "POST" && (!body || !body->is_object())) {
    return jsonResponse(400, {{"error", "not a map"}});
  }
  if (path == "/machine_types") {
    Json type = {{"name", "box"},          {"cpus", settings.cpus}, {"gpus", settings.gpus},
                 {"ram_gb", settings.ram}, {"local_gb", 50},        {"pull_gb_per_s", 1.0},
                 {"rate", 10.0},           {"market_price", 3.0},   {"ready_s", settings.bootS},
                 {"sites", settings.zones}};
    Json types = Json::array({type});
    // Nothing fits the further types; their names are as long as real ones.
    for (int n = 1; n < settings.machineTypes; ++n) {
      type["name"] = "general-purpose-type-" + std::to_string(n);
      type["cpus"] = type["gpus"] = type["ram_gb"] = 0.001;
      types.push_back(type);
    }
    return jsonResponse(200, {{"rigs", types}});
  }
  if (path == "/hosts" && q.method == "POST") {
    auto rental = body->at("hire").get<std::string>();
    if (rentals_.contains(rental)) return jsonResponse(200, rentals_[rental]);
    ++rentalRequests;
    auto zone = body->at("site").get<std::string>();
    bool spot = body->at("loaners").get<bool>();
    int used = 0;
    for (const auto& [name, h] : hosts_) {
      used += h.zone == zone && h.spot == spot && h.rentalEndedAtMs < 0;
    }
    int n = std::min(body->at("count").get<int>(), capacity_[{zone, spot}] - used);
    if (n <= 0) return jsonResponse(503, {{"error", "no capacity"}});
    Json names = Json::array();
    for (int i = 0; i < n; ++i) {
      char name[16];
      std::snprintf(name, sizeof name, "host-%06zu", ++rentedMachineCount);
      hosts_[name] = {zone, spot, clock.now()};
      names.push_back(name);
      if (std::bernoulli_distribution(settings.bootFailureShare)(random)) continue;
      double factor = 0.6 + 0.9 * std::uniform_real_distribution<>(0, 1)(random);
      bool bootsFast =
          settings.fastBootShare > 0 && std::bernoulli_distribution(settings.fastBootShare)(random);
      clock.in(bootsFast ? 200 + static_cast<std::int64_t>(random() % 1800)
                         : millis(settings.bootS * factor),
               [this, host = std::string(name), zone, spot] {
                 if (hosts_[host].rentalEndedAtMs >= 0) return;
                 hosts_[host].phase = "running";
                 workers[host] = std::make_unique<Worker>(*this, host, zone, spot);
                 workers[host]->start();
               });
    }
    return jsonResponse(200, rentals_[rental] = {{"hosts", names}});
  }
  if (path == "/hosts/release") {
    for (const auto& name : body->at("hosts")) {
      auto host = hosts_.find(name.get<std::string>());
      if (host == hosts_.end()) continue;
      if (host->second.rentalEndedAtMs < 0) host->second.rentalEndedAtMs = clock.now();
      if (auto w = workers.find(host->first); w != workers.end()) w->second->die();
    }
    return jsonResponse(200, Json::object());
  }
  if (path == "/hosts") {
    // Each listing lags by a random time of up to twice the configured lag.
    auto lag = millis(settings.listLagS * 2 * std::uniform_real_distribution<>(0, 1)(random));
    auto then = clock.now() - lag;
    Json list = Json::array();
    for (const auto& [name, h] : hosts_) {
      if (h.rentedAtMs > then || (h.rentalEndedAtMs >= 0 && h.rentalEndedAtMs <= then)) continue;
      list.push_back({{"ref", name},
                      {"addr", transport.publicAddress(name + ":9")},
                      {"rig", "box"},
                      {"site", h.zone},
                      {"loaners", h.spot},
                      {"phase", listedAsFailed(name, then) ? "failed" : h.phase},
                      {"age_s", static_cast<double>(then - h.rentedAtMs) / 1000.0}});
    }
    return jsonResponse(200, {{"hosts", list}, {"truncated", false}});
  }
  return jsonResponse(400, Json::object());
}

}  // namespace kestrelhoist::simulator
