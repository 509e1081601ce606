/// \file
/// Terminates machines in three steps. First, the machine is marked as draining in its rental
/// record, so that it gets no more tasks. Next, its termination is requested from the cloud. After
/// the cloud's confirmation, its entry is removed from the record.
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
  std::set<MachineId> requested_;   ///< The cloud has not answered for these.
  std::set<MachineId> terminated_;  ///< These are confirmed, but still on record.
};

}  // namespace kestrelhoist
