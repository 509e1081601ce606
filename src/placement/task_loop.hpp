/// @file
/// Defines the control loop that commits confirmed task outcomes and the placements of a plan.
#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fleet/command_dispatcher.hpp"
#include "placement/confirmed_outcomes.hpp"
#include "placement/placement_transaction.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

/// Commits confirmed task outcomes and the placements of a plan, and sends the launch commands
/// after the commit. It runs on the controller's thread. One object serves one leader and must not
/// outlive its constructor arguments.
class TaskLoop : public ControlLoop {
 public:
  TaskLoop(LeaderContext& context, Fleet& fleet, CommandDispatcher& dispatcher,
           ConfirmedOutcomes& outcomes)
      : context_(context), fleet_(fleet), dispatcher_(dispatcher), outcomes_(outcomes) {}

  LoopStep next() override { return LoopStep::committing(commit(nullptr, nullptr)); }
  void onRecordsChanged(bool byOthers) override {
    if (byOthers) sendStops();
  }
  /// Sends stop commands for the tasks of cancelled jobs and for dropped tasks at once, without
  /// waiting for the next reports of their machines. The answer to each report repeats the
  /// commands.
  void sendStops();
  /// Returns the commit of the urgent outcomes and, with a plan, of its placements that are still
  /// valid; empty if there is nothing to write. `input` is the plan's input. Both may be null.
  [[nodiscard]] std::optional<Commit> commit(const PlanInput* input, const Plan* plan);

 private:
  /// Identifies a chunk with urgent outcomes, with the time of its oldest outcome.
  using UrgentChunk = std::pair<Instant, ConfirmedOutcomes::ChunkKey>;
  /// Counts the placements in a transaction, and lists their machines.
  struct PlacedMachines {
    std::size_t placements = 0;
    std::set<MachineId> machines;
  };

  PlacedMachines addPlacements(PlacementTransaction& builder, const PlanInput& input,
                               const Plan& plan);
  void addUrgentOutcomes(PlacementTransaction& builder);
  std::vector<UrgentChunk> collectUrgentOutcomes();
  void onCommitted(const std::vector<EndedAttempt>& ended, const std::set<MachineId>& machines);

  LeaderContext& context_;
  Fleet& fleet_;
  CommandDispatcher& dispatcher_;
  ConfirmedOutcomes& outcomes_;
  std::set<AttemptId> stopsSent_;  ///< Holds the attempts whose stop command sendStops() has sent.
};

}  // namespace kestrelhoist
