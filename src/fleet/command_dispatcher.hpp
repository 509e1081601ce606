/// \file
/// Commands that the leader sends to workers outside the answers to their heartbeats, because they
/// should not wait. The responses are reports, of which only the state is applied.
#pragma once

#include <functional>
#include <vector>

#include "fleet/fleet.hpp"
#include "leadership/leader_context.hpp"

namespace kestrelhoist {

/// Sends direct commands while this controller leads.
class CommandDispatcher {
 public:
  CommandDispatcher(LeaderContext& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  /// Sends a machine its commands now rather than in answer to its next heartbeat. Returns whether
  /// there were any.
  bool sendCommands(const MachineId& id);

  /// Called after commands were sent; may be null.
  std::function<void(const MachineId&)> onSent;

  /// Called after a newer report of a machine was applied: it may have proven an outcome.
  std::function<void(Machine&)> onReport;

 private:
  void send(const MachineId& id, const WorkerSession& session, std::vector<WorkerCommand> commands);
  void onResponse(Machine& machine, WorkerEpoch workerEpoch,
                  const std::vector<WorkerCommand>& commands, const Response& response);
  static void noteAcknowledged(WorkerSession& session, WorkerEpoch workerEpoch,
                               const std::vector<WorkerCommand>& commands);

  LeaderContext& context_;
  Fleet& fleet_;
};

}  // namespace kestrelhoist
