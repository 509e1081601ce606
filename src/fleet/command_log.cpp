#include "fleet/command_log.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

const char* eventOf(WorkerCommand::Operation operation) {
  switch (operation) {
    case WorkerCommand::Operation::launch:
      return "launch sent to worker";
    case WorkerCommand::Operation::stop:
      return "stop sent to worker";
    case WorkerCommand::Operation::clear:
      return "clear sent to worker";
  }
  return "";
}

}  // namespace

void logCommands(const char* path, const Report& report, FencingToken token,
                 const std::vector<WorkerCommand>& commands) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (const auto& command : commands) {
    logDebug(eventOf(command.operation), "task", command.id.str(), "machine", report.machine,
             "path", path, "token", token, "worker_token", report.token, "worker_epoch",
             report.workerEpoch, "report_sequence", report.sequence);
  }
}

}  // namespace kestrelhoist
