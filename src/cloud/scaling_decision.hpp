/// \file
/// Decides how many machines of one type to rent and which idle machines to terminate. The target
/// is the forecast's mean + k * spread (see DESIGN), and never less than the present demand.
/// Booting machines count as available. The module does no input or output.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cloud/catalogue.hpp"
#include "forecast/forecast.hpp"

namespace kestrelhoist {

/// What the cloud grants or refuses as one: a machine type in a zone, on the spot or the on-demand
/// market.
struct InstanceOffering {
  TypeId type;
  ZoneId zone;
  bool spot{};
  auto operator<=>(const InstanceOffering&) const = default;
};

/// A rented machine as the scaling decision sees it.
struct ScalingMachine {
  MachineId id;
  InstanceOffering offering;
  bool hasReported{};  ///< Whether the machine has sent a heartbeat.
  /// Whether the machine has been booting for so long that it no longer counts as available.
  bool bootOverdue{};
  bool isIdle{};    ///< Whether no task is placed on the machine.
  bool keepWarm{};  ///< Whether the policy keeps the machine warm because of its images.
  Duration age{};
};

/// The demand for one machine type, in machines. Firm work needs on-demand machines; flexible work
/// may also use spot machines.
struct TypeDemand {
  Prediction firm, flexible;  ///< The predicted demand at the forecast horizon.
  /// Demand of firm tasks that are placed on machines, and of those that wait for a machine.
  double firmBooked{}, firmWaiting{};
  /// Demand of flexible tasks placed on spot machines, placed on on-demand machines, and waiting.
  double flexibleBookedOnSpot{}, flexibleBookedOnDemand{}, flexibleWaiting{};
  /// The part of the waiting demand that only machines in one of these zones can serve.
  std::map<std::set<ZoneId>, double> waitingInZones;
};

/// What decideScaling() needs to know about one machine type.
struct ScalingInput {
  const MachineType* type{};
  std::vector<ScalingMachine> machines;  ///< Machines of this type that are not draining.
  std::map<InstanceOffering, std::uint32_t>
      pendingRentals;                  ///< Machines of rentals without an answer.
  std::set<InstanceOffering> refused;  ///< Offerings that must not be requested now.
  /// Offerings that the cloud refused recently; they are requested one machine at a time.
  std::set<InstanceOffering> constrained;
  TypeDemand demand;
  double spreadMultiple = 1.0;
  bool useSpot = true;
  bool scaleIn{};                 ///< Whether idle machines may be terminated in this decision.
  Duration minimumCharge{60000};  ///< The cloud charges each machine for at least this time.
};

/// Machines to be rented from one offering.
struct ScaleOut {
  InstanceOffering offering;
  std::uint32_t count{};
};

/// What to rent and what to terminate for one machine type.
struct ScalingDecision {
  std::vector<ScaleOut> rentals;
  std::vector<MachineId> scaleIn;
  int onDemandTarget{}, spotTarget{};
  int onDemandNeeded{};  ///< The target if all work were packed onto as few machines as possible.
};

/// Decides for one machine type; see the file's comment.
ScalingDecision decideScaling(const ScalingInput& in);

}  // namespace kestrelhoist
