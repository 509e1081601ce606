/// \file
/// Sends commands to workers in direct requests, because these commands should not wait for the
/// answer to the next heartbeat. The workers' responses are reports; only the state in them is
/// applied.
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

  /// Sends a machine its commands at once instead of in the answer to its next heartbeat. Returns
  /// whether there were any commands.
  bool sendCommands(const MachineId& id);

  /// This callback runs after commands were sent; it may be null.
  std::function<void(const MachineId&)> onSent;

  /// This callback runs after a newer report of a machine is applied, because the report may prove
  /// an outcome.
  std::function<void(Machine&)> onReport;

 private:
  struct SentCommands {
    FencingToken token;
    WorkerEpoch workerEpoch;
    std::vector<WorkerCommand> commands;
  };
  void send(const MachineId& id, const WorkerSession& session, std::vector<WorkerCommand> commands);
  void onResponse(Machine& machine, const SentCommands& sent, const Response& response);
  static void noteAnswered(WorkerSession& session, const SentCommands& sent);

  LeaderContext& context_;
  Fleet& fleet_;
};

}  // namespace kestrelhoist
