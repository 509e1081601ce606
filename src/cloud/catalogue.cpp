#include "cloud/catalogue.hpp"

namespace kestrelhoist {

const MachineType* Catalogue::find(const TypeId& id) const {
  for (const auto& t : types) {
    if (t.id == id) return &t;
  }
  return nullptr;
}

std::optional<Catalogue> catalogueFromJson(const Json& body) {
  const Json* list = field(body, "rigs");
  if (!list || !list->is_array()) return std::nullopt;
  Catalogue c;
  for (const auto& v : *list) {
    MachineType t;
    auto name = textField(v, "name");
    auto cpus = numberField(v, "cpus");
    auto gpus = numberField(v, "gpus");
    auto ram = numberField(v, "ram_gb");
    auto boot = numberField(v, "ready_s");
    const Json* zones = field(v, "sites");
    if (!name || !cpus || !gpus || !ram || !boot || *boot < 0 || !zones || !zones->is_array()) {
      return std::nullopt;
    }
    t.id = TypeId{*name};
    t.capacity = {*cpus, *gpus, *ram};
    t.cacheGb = numberField(v, "local_gb").value_or(0);
    t.fetchGbPerS = numberField(v, "pull_gb_per_s").value_or(0);
    t.price = numberField(v, "rate").value_or(0);
    t.spotPrice = numberField(v, "market_price").value_or(t.price);
    t.boot = fromSeconds(*boot);
    for (const auto& z : *zones) {
      if (z.is_string()) t.zones.emplace_back(z.get<std::string>());
    }
    c.types.push_back(std::move(t));
  }
  if (c.types.empty()) return std::nullopt;
  return c;
}

Json toJson(const Catalogue& c) {
  Json list = Json::array();
  for (const auto& t : c.types) {
    Json zones = Json::array();
    for (const auto& z : t.zones) zones.push_back(z.value);
    list.push_back({{"name", t.id.value},
                    {"cpus", t.capacity.cpus},
                    {"gpus", t.capacity.gpus},
                    {"ram_gb", t.capacity.ramGb},
                    {"local_gb", t.cacheGb},
                    {"pull_gb_per_s", t.fetchGbPerS},
                    {"rate", t.price},
                    {"market_price", t.spotPrice},
                    {"ready_s", toSeconds(t.boot)},
                    {"sites", std::move(zones)}});
  }
  return {{"rigs", std::move(list)}};
}

}  // namespace kestrelhoist
