#include "fleet/command_dispatcher.hpp"

#include <utility>
#include <vector>

#include "fleet/command_log.hpp"
#include "fleet/direct_answer.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kDirectTimeout{3000};
// A worker that must remember this many ended attempts gets its launches in the answers to its
// heartbeats, because it can forget attempts that were launched there. Its reports stay below their
// maximum size of 64 KiB.
constexpr std::size_t kMaxRetainedAttempts = 256;

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
  if (session.retainedAttempts >= kMaxRetainedAttempts) std::erase_if(commands, isLaunch);
  if (commands.empty()) return false;
  for (const auto& command : commands) {
    if (isLaunch(command)) session.directLaunches.onSent(command.id, context_.token);
  }
  send(id, session, std::move(commands));
  if (onSent) onSent(id);
  return true;
}

void CommandDispatcher::send(const MachineId& id, const WorkerSession& session,
                             std::vector<WorkerCommand> commands) {
  SentCommands sent{context_.token, session.lastReport->workerEpoch, std::move(commands)};
  Request request = commandRequest(sent.token, sent.workerEpoch, sent.commands);
  logCommands("direct", *session.lastReport, sent.token, sent.commands);
  context_.workers.send(session.lastReport->address, std::move(request), kDirectTimeout,
                        context_.whileLeading([this, id, sent = std::move(sent)](
                                                  const std::optional<Response>& response) {
                          Machine* machine = fleet_.find(id);
                          // Without an answer, the launches may still arrive.
                          if (!machine || !response) return;
                          onResponse(*machine, sent, *response);
                        }));
}

void CommandDispatcher::onResponse(Machine& machine, const SentCommands& sent,
                                   const Response& response) {
  if (response.status != 200 && response.status != 409 && response.status != 400) return;
  noteAnswered(machine.session, sent);
  if (response.status == 400) return;
  if (applyDirectAnswer(fleet_, machine, response, context_.runtime.now())) onReport(machine);
}

// An answered launch cannot arrive for the first time any more, but a copy of it still can.
void CommandDispatcher::noteAnswered(WorkerSession& session, const SentCommands& sent) {
  if (!session.lastReport || session.lastReport->workerEpoch != sent.workerEpoch) return;
  for (const auto& command : sent.commands) {
    if (isLaunch(command)) session.directLaunches.onAnswered(command.id, sent.token);
  }
}

}  // namespace kestrelhoist
