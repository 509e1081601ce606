/// \file
/// Represents the machine types that the cloud offers.
#pragma once

#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Describes a machine type by its resources, prices, boot time and zones.
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

/// Holds all machine types of the cloud.
struct Catalogue {
  std::vector<MachineType> types;
  /// Returns the machine type with this id. The result is null if the cloud does not offer
  /// it.
  const MachineType* find(const TypeId& id) const;
};

/// Parses the cloud's answer or the stored catalogue, which have the same format. Returns an empty
/// value if the JSON is malformed.
std::optional<Catalogue> catalogueFromJson(const Json& body);
/// Returns the catalogue in the format that catalogueFromJson() parses.
Json toJson(const Catalogue& c);

}  // namespace kestrelhoist
