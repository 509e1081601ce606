#include "fleet/command_dispatcher.hpp"

#include <utility>
#include <vector>

#include "fleet/command_log.hpp"
#include "fleet/direct_answer.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kDirectTimeout{3000};

bool isLaunch(const WorkerCommand& command) {
  return command.operation == WorkerCommand::Operation::launch;
}
}  // namespace

bool CommandDispatcher::sendCommands(const MachineId& id) {
  Machine* machine = fleet_.find(id);
  if (!machine || !machine->hasReported() || fleet_.isTerminated(id)) return false;
  const Instant now = context_.runtime.now();
  WorkerSession& session = machine->session;
  if (now - session.lastReportAt > context_.platform.workerLease) return false;
  auto commands = fleet_.commandsFor(*machine, now, context_.watcher.isReachable());
  // A delayed `clear` could make the worker forget an attempt that a delayed launch would then
  // start again, so `clear` is never sent in a direct command.
  std::erase_if(commands, [](const WorkerCommand& command) {
    return command.operation == WorkerCommand::Operation::clear;
  });
  if (commands.empty()) return false;
  for (const auto& command : commands) {
    if (isLaunch(command)) session.unacknowledgedLaunches.insert(command.id);
  }
  send(id, session, std::move(commands));
  if (onSent) onSent(id);
  return true;
}

void CommandDispatcher::send(const MachineId& id, const WorkerSession& session,
                             std::vector<WorkerCommand> commands) {
  const WorkerEpoch workerEpoch = session.lastReport->workerEpoch;
  Request request = commandRequest(context_.token, workerEpoch, commands);
  logCommands("direct", *session.lastReport, context_.token, commands);
  context_.workers.send(
      session.lastReport->address, std::move(request), kDirectTimeout,
      context_.whileLeading([this, id, workerEpoch, commands = std::move(commands)](
                                const std::optional<Response>& response) {
        Machine* machine = fleet_.find(id);
        if (!machine || !response) return;  // Without an answer, the launches may still arrive.
        onResponse(*machine, workerEpoch, commands, *response);
      }));
}

void CommandDispatcher::onResponse(Machine& machine, WorkerEpoch workerEpoch,
                                   const std::vector<WorkerCommand>& commands,
                                   const Response& response) {
  if (response.status != 200 && response.status != 409 && response.status != 400) return;
  noteAcknowledged(machine.session, workerEpoch, commands);
  if (response.status == 400) return;
  if (applyDirectAnswer(fleet_, machine, response, context_.runtime.now())) onReport(machine);
}

// Records that a command was answered: each of its launches has arrived or will never arrive.
void CommandDispatcher::noteAcknowledged(WorkerSession& session, WorkerEpoch workerEpoch,
                                         const std::vector<WorkerCommand>& commands) {
  if (!session.lastReport || session.lastReport->workerEpoch != workerEpoch) return;
  auto& unacknowledged = session.unacknowledgedLaunches;
  for (const auto& command : commands) {
    if (!isLaunch(command)) continue;
    if (auto own = unacknowledged.find(command.id); own != unacknowledged.end()) {
      unacknowledged.erase(own);
    }
  }
}

}  // namespace kestrelhoist
