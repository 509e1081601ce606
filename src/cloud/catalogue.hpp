/// \file
/// Machine types as the cloud offers them.
#pragma once

#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

struct MachineType {
  TypeId id;
  Resources capacity;
  double cacheGb{};
  double fetchGbPerS{};
  double price{};
  double spotPrice{};
  Duration boot{};
  std::vector<ZoneId> zones;
};

struct Catalogue {
  std::vector<MachineType> types;
  const MachineType* find(const TypeId& id) const;
};

/// From the cloud's answer, and from the record, which keeps the same form.
std::optional<Catalogue> catalogueFrom(const Json& body);
Json toJson(const Catalogue& c);

}  // namespace kestrelhoist
