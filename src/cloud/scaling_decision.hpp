/// \file
/// Decides how many machines of one type to rent and which idle machines to terminate. The target
/// is the mean of the forecast plus a multiple of its spread (see DESIGN), and never less than the
/// present demand. Booting machines count as available. The module does no input or output.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cloud/catalogue.hpp"
#include "forecast/forecast.hpp"

namespace kestrelhoist {

/// Identifies what the cloud grants or refuses as a unit: a machine type in a zone, on the spot or
/// the on-demand market.
struct InstanceOffering {
  TypeId type;
  ZoneId zone;
  bool spot{};
  auto operator<=>(const InstanceOffering&) const = default;
};

/// Describes a rented machine for the scaling decision.
struct ScalingMachine {
  MachineId id;
  InstanceOffering offering;
  bool hasReported{};  ///< Is true if the machine has sent a heartbeat.
  /// Is true if the machine has been booting for so long that it no longer counts as available.
  bool bootOverdue{};
  bool isIdle{};    ///< Is true if no task is placed on the machine.
  bool keepWarm{};  ///< Is true if the policy keeps the machine warm because of its images.
  Duration age{};
};

/// Holds the demand for one machine type, in machines. Firm work needs on-demand machines; flexible
/// work may also use spot machines.
struct TypeDemand {
  Prediction firm, flexible;  ///< These are the forecasts at the horizon.
  /// These fields hold the demand of firm tasks that are placed and of those that wait for a
  /// machine.
  double firmBooked{}, firmWaiting{};
  /// These fields hold the demand of flexible tasks that are placed on spot machines, of those
  /// placed on on-demand machines, and of those that wait for a machine.
  double flexibleBookedOnSpot{}, flexibleBookedOnDemand{}, flexibleWaiting{};
  /// Maps a set of zones to the waiting demand that only machines in these zones can serve.
  std::map<std::set<ZoneId>, double> waitingInZones;
};

/// Holds the input of decideScaling() for one machine type.
struct ScalingInput {
  const MachineType* type{};
  std::vector<ScalingMachine> machines;  ///< Lists machines that are not draining.
  std::map<InstanceOffering, std::uint32_t>
      pendingRentals;                  ///< Counts machines of unanswered rentals.
  std::set<InstanceOffering> refused;  ///< These must not be requested now.
  /// The cloud refused these offerings recently, so they are requested one machine at a time.
  std::set<InstanceOffering> constrained;
  TypeDemand demand;
  double spreadMultiple = 1.0;
  bool useSpot = true;
  bool scaleIn{};                 ///< Is true if idle machines may be terminated in this decision.
  Duration minimumCharge{60000};  ///< The cloud charges each machine for at least this time.
};

/// Requests machines of one offering.
struct ScaleOut {
  InstanceOffering offering;
  std::uint32_t count{};
};

/// Lists what to rent and which machines to terminate for one machine type.
struct ScalingDecision {
  std::vector<ScaleOut> rentals;
  std::vector<MachineId> scaleIn;
  int onDemandTarget{}, spotTarget{};
  /// Holds the target that would suffice if all work were packed onto as few machines as possible.
  int onDemandNeeded{};
};

/// Decides which machines of one type to rent and which to terminate.
ScalingDecision decideScaling(const ScalingInput& in);

}  // namespace kestrelhoist
