// A worker's report and the orders that answer it, with their codecs.
#pragma once

#include <optional>
#include <vector>

#include "base/runtime.hpp"
#include "base/types.hpp"

namespace kestrelhoist {

enum class TaskState { fetching, running, saving, ended };
// gang: the others of its gang did not come or went away
enum class EndCause { done, stopped, error, noRoom, busy, unknown, gang };

struct ReportedTask {
  AttemptId id;
  TaskState state{};
  EndCause cause{};               // if ended
  std::optional<Duration> ran{};  // how long it ran; only some workers tell
};

struct Report {
  MachineId machine;
  std::string address;
  TypeId type;
  ZoneId zone;
  bool spot{};
  WorkerEpoch workerEpoch;
  ReportSequence sequence;
  FencingToken token;  // highest the worker has seen
  std::optional<Duration> notice;
  std::vector<ReportedTask> tasks;

  const ReportedTask* find(const AttemptId& id) const;
};

struct WorkerCommand {
  enum class Operation { launch, stop, clear } operation{};
  AttemptId id;
  Duration grace{};
};

std::optional<Report> reportFrom(const Json& body);
Json reportResponseToJson(FencingToken token, const std::vector<WorkerCommand>& commands);
Json commandRequestToJson(FencingToken token, WorkerEpoch workerEpoch,
                          const std::vector<WorkerCommand>& commands);

}  // namespace kestrelhoist
