/// \file
/// How many machines to rent and which idle ones to give back, after DESIGN: toward mean +
/// k * spread of the forecast, never below present demand, counting booting machines. Pure.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cloud/catalogue.hpp"
#include "forecast/forecast.hpp"

namespace kestrelhoist {

/// A thing that can be refused: a type in a zone, spot or ordinary.
struct InstanceOffering {
  TypeId type;
  ZoneId zone;
  bool spot{};
  auto operator<=>(const InstanceOffering&) const = default;
};

struct ScalingMachine {
  MachineId id;
  InstanceOffering offering;
  bool up{};    ///< has reported
  bool late{};  ///< booting for so long that it no longer counts
  bool idle{};  ///< nothing on it or meant for it
  bool keep{};  ///< for what it holds (pools)
  Duration age{};
};

/// Demand in machines. Firm work needs ordinary machines; flexible work may use spot.
struct TypeDemand {
  Prediction firm, flexible;  ///< of the horizon
  double firmBooked{}, firmWaiting{};
  double flexibleOnSpot{}, flexibleOnOrdinary{}, flexibleWaiting{};
  /// Part of the waiting that only machines in one of these zones help.
  std::map<std::set<ZoneId>, double> pinnedWaiting;
};

struct ScalingInput {
  const MachineType* type{};
  std::vector<ScalingMachine> machines;                      ///< of this type, not leaving
  std::map<InstanceOffering, std::uint32_t> pendingRentals;  ///< rentals asked for, not answered
  std::set<InstanceOffering> refused;                        ///< not to be asked now
  std::set<InstanceOffering> constrained;  ///< refused lately: asked for one at a time
  TypeDemand demand;
  double spreadMultiple = 1.0;
  bool useSpot = true;
  bool scaleIn{};  ///< the window turns
  Duration minimumCharge{60000};
};

struct ScaleOut {
  InstanceOffering offering;
  std::uint32_t count{};
};

struct ScalingDecision {
  std::vector<ScaleOut> rentals;
  std::vector<MachineId> scaleIn;
  int ordinaryTarget{}, spotTarget{};
  int ordinaryNeeded{};  ///< if all work were packed as tightly as it goes
};

ScalingDecision decideScaling(const ScalingInput& in);

}  // namespace kestrelhoist
