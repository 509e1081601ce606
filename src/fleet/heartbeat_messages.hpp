/// \file
/// Defines a worker's report and the commands that answer it, with their codecs. No other module
/// uses the keys and values of these messages.
#pragma once

#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

/// Is the state of a task on its machine. In the state `saving` the task writes its checkpoint
/// before it ends.
enum class TaskState { fetching, running, saving, ended };
/// Says why a task ended. `gang` means that the other tasks of its gang did not start or were lost.
enum class EndCause { done, stopped, error, noRoom, busy, unknown, gang };

/// Describes a task as its worker reports it.
struct ReportedTask {
  AttemptId id;
  TaskState state{};
  EndCause cause{};  ///< Is meaningful only if `state` is `ended`.
  /// Is the task's running time, which only some workers report.
  std::optional<Duration> ran{};
};

/// Describes a worker's state, as reported in a heartbeat or in the answer to a direct command.
struct Report {
  MachineId machine;
  std::string address;
  TypeId type;
  ZoneId zone;
  bool spot{};
  WorkerEpoch workerEpoch;
  ReportSequence sequence;
  FencingToken token;              ///< Is the highest token that the worker has received.
  std::optional<Duration> notice;  ///< Is the time until the cloud reclaims the machine.
  std::vector<ReportedTask> tasks;

  /// Returns the reported task, or null if the worker does not report the attempt.
  const ReportedTask* find(const AttemptId& id) const;
};

/// Is a command to a worker about one task attempt. `clear` allows the worker to forget an ended
/// attempt.
struct WorkerCommand {
  enum class Operation { launch, stop, clear } operation{};
  AttemptId id;
  Duration grace{};  ///< Is the time that a stopped task may use to save its state.
};

/// Decodes a report. Returns nothing if the body is incomplete: a task list that can't be read
/// completely proves nothing about the tasks that are missing from it.
std::optional<Report> reportFromJson(const Json& body);
/// Encodes the response to a heartbeat.
Json reportResponseToJson(FencingToken token, const std::vector<WorkerCommand>& commands);
/// Encodes a direct command request, which is valid for one worker epoch.
Json commandRequestToJson(FencingToken token, WorkerEpoch workerEpoch,
                          const std::vector<WorkerCommand>& commands);
/// Returns the HTTP request that sends direct commands to the worker. A request without commands
/// only asks for the worker's report.
Request commandRequest(FencingToken token, WorkerEpoch workerEpoch,
                       const std::vector<WorkerCommand>& commands = {});

}  // namespace kestrelhoist
