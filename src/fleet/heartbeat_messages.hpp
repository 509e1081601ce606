/// \file
/// A worker's report and the commands that answer it, with their codecs. This is the only place
/// that knows the words of these messages.
#pragma once

#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// The state of a task on its machine. `saving`: it writes its checkpoint before it ends.
enum class TaskState { fetching, running, saving, ended };
/// Why a task ended. `gang`: the other tasks of its gang did not come or went away.
enum class EndCause { done, stopped, error, noRoom, busy, unknown, gang };

/// A task as its worker reports it.
struct ReportedTask {
  AttemptId id;
  TaskState state{};
  EndCause cause{};               ///< Meaningful only if `state` is `ended`.
  std::optional<Duration> ran{};  ///< How long it ran; only some workers report it.
};

/// What a worker reports of itself, in a heartbeat or in answer to a direct command.
struct Report {
  MachineId machine;
  std::string address;
  TypeId type;
  ZoneId zone;
  bool spot{};
  WorkerEpoch workerEpoch;
  ReportSequence sequence;
  FencingToken token;              ///< The highest that the worker has seen.
  std::optional<Duration> notice;  ///< Time until the cloud reclaims the machine.
  std::vector<ReportedTask> tasks;

  /// Null if the worker does not report the attempt.
  const ReportedTask* find(const AttemptId& id) const;
};

/// A command to a worker about one attempt. `clear` lets it forget an ended one.
struct WorkerCommand {
  enum class Operation { launch, stop, clear } operation{};
  AttemptId id;
  Duration grace{};  ///< For `stop`: the time to save.
};

/// Empty if the body is not a complete report: a task list that can't be read whole proves nothing
/// about what is missing from it.
std::optional<Report> reportFrom(const Json& body);
/// The response to a heartbeat.
Json reportResponseToJson(FencingToken token, const std::vector<WorkerCommand>& commands);
/// A direct command request, valid for one worker epoch.
Json commandRequestToJson(FencingToken token, WorkerEpoch workerEpoch,
                          const std::vector<WorkerCommand>& commands);
/// The same as a request to the worker. Without commands it only asks for the worker's report.
Request commandRequest(FencingToken token, WorkerEpoch workerEpoch,
                       const std::vector<WorkerCommand>& commands = {});

}  // namespace kestrelhoist
