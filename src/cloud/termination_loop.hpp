/// \file
/// Terminates machines in three steps: marks the machine as draining in its rental record, so that
/// it gets no more tasks; requests its termination from the cloud; removes its entry from the
/// record.
#pragma once

#include "placement/confirmed_outcomes.hpp"

namespace kestrelhoist {

/// Terminates the machines whose termination the fleet has requested.
class TerminationLoop : public ControlLoop {
 public:
  TerminationLoop(LeaderContext& context, Fleet& fleet, ConfirmedOutcomes& outcomes)
      : context_(context), fleet_(fleet), outcomes_(outcomes) {}

  /// Commits draining marks and removes the entries of terminated machines.
  LoopStep next() override;
  void onTimer() override { requestTerminations(); }

 private:
  void requestTerminations();

  LeaderContext& context_;
  Fleet& fleet_;
  ConfirmedOutcomes& outcomes_;
  std::set<MachineId> requested_;   ///< Requested, but the cloud has not answered.
  std::set<MachineId> terminated_;  ///< Confirmed by the cloud, but still in rental records.
};

}  // namespace kestrelhoist
