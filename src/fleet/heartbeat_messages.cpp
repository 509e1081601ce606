#include "fleet/heartbeat_messages.hpp"

#include <charconv>

namespace kestrelhoist {
namespace {

// These are the keys of the messages (PROTOCOL, "Workers").
namespace key {
constexpr auto kMachine = "host";
constexpr auto kAddress = "addr";
constexpr auto kType = "rig";
constexpr auto kZone = "site";
constexpr auto kSpot = "loaners";
constexpr auto kWorkerEpoch = "tenure";
constexpr auto kSequence = "tick";
constexpr auto kToken = "baton";
constexpr auto kNotice = "warning_s";
constexpr auto kTasks = "shards";
constexpr auto kTask = "shard";
constexpr auto kAttempt = "try";
constexpr auto kState = "phase";
constexpr auto kCause = "cause";
constexpr auto kRan = "ran_s";
constexpr auto kOperation = "verb";
constexpr auto kGrace = "wind_down_s";
constexpr auto kCommands = "orders";
}  // namespace key

// These are the values that occur in the messages.
namespace word {
constexpr auto kFetching = "fetching";
constexpr auto kRunning = "running";
constexpr auto kGathering = "gathering";
constexpr auto kSaving = "flushing";
constexpr auto kEnded = "ended";
constexpr auto kDone = "done";
constexpr auto kStopped = "halted";
constexpr auto kNoRoom = "no_room";
constexpr auto kBusy = "in_use";
constexpr auto kGangLost = "mates_gone";
constexpr auto kGangIncomplete = "alone";
constexpr auto kUnknown = "unknown";
constexpr auto kLaunch = "launch";
constexpr auto kStop = "stop";
constexpr auto kClear = "clear";
}  // namespace word

std::optional<TaskId> taskFrom(const std::string& text) {
  auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) return std::nullopt;
  std::uint32_t index = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data() + slash + 1, last, index);
  if (error != std::errc{} || end != last) return std::nullopt;
  return TaskId{JobId{text.substr(0, slash)}, index};
}

std::optional<TaskState> stateFrom(const std::string& word) {
  if (word == word::kFetching) return TaskState::fetching;
  if (word == word::kRunning || word == word::kGathering) return TaskState::running;
  if (word == word::kSaving) return TaskState::saving;
  if (word == word::kEnded) return TaskState::ended;
  return std::nullopt;
}

EndCause causeFrom(const std::string& word) {
  if (word == word::kDone) return EndCause::done;
  if (word == word::kStopped) return EndCause::stopped;
  if (word == word::kNoRoom) return EndCause::noRoom;
  if (word == word::kBusy) return EndCause::busy;
  if (word == word::kGangLost || word == word::kGangIncomplete) return EndCause::gang;
  if (word == word::kUnknown) return EndCause::unknown;
  return EndCause::error;
}

}  // namespace

const ReportedTask* Report::find(const AttemptId& id) const {
  for (const auto& t : tasks) {
    if (t.id == id) return &t;
  }
  return nullptr;
}

std::optional<Report> reportFromJson(const Json& v) {
  auto machine = textField(v, key::kMachine);
  auto address = textField(v, key::kAddress);
  auto type = textField(v, key::kType);
  auto zone = textField(v, key::kZone);
  auto spot = boolField(v, key::kSpot);
  auto workerEpoch = countField(v, key::kWorkerEpoch);
  auto sequence = countField(v, key::kSequence);
  auto token = countField(v, key::kToken);
  if (!machine || machine->empty() || machine->size() > 150 ||
      machine->find_first_of(" /?&#%") != std::string::npos || !address || !type || !zone ||
      !workerEpoch || !sequence) {
    return std::nullopt;
  }
  Report report;
  report.machine = MachineId{*machine};
  report.address = *address;
  report.type = TypeId{*type};
  report.zone = ZoneId{*zone};
  report.spot = spot.value_or(false);
  report.workerEpoch = WorkerEpoch{*workerEpoch};
  report.sequence = ReportSequence{*sequence};
  report.token = FencingToken{token.value_or(0)};
  if (auto notice = numberField(v, key::kNotice))
    report.notice = fromSeconds(std::max(0.0, *notice));
  if (const Json* tasks = field(v, key::kTasks)) {
    if (!tasks->is_array()) return std::nullopt;
    report.tasks.reserve(tasks->size());
    for (const auto& t : *tasks) {
      auto name = textField(t, key::kTask);
      auto attempt = countField(t, key::kAttempt);
      auto phase = textField(t, key::kState);
      auto id = name ? taskFrom(*name) : std::nullopt;
      auto state = phase ? stateFrom(*phase) : std::nullopt;
      // A task list that can't be read completely proves nothing about the tasks that are missing
      // from it.
      if (!id || !attempt || !state) return std::nullopt;
      report.tasks.push_back({{*id, Attempt{*attempt}},
                              *state,
                              causeFrom(textField(t, key::kCause).value_or("")),
                              std::nullopt});
      if (auto ran = numberField(t, key::kRan); ran && *ran >= 0 && *ran < 1e9) {
        report.tasks.back().ran = fromSeconds(*ran);
      }
    }
  } else {
    return std::nullopt;
  }
  return report;
}

namespace {
Json commandList(const std::vector<WorkerCommand>& commands) {
  Json list = Json::array();
  for (const auto& command : commands) {
    Json v = {{key::kTask, command.id.task.str()}, {key::kAttempt, command.id.attempt.value}};
    switch (command.operation) {
      case WorkerCommand::Operation::launch:
        v[key::kOperation] = word::kLaunch;
        break;
      case WorkerCommand::Operation::stop:
        v[key::kOperation] = word::kStop;
        v[key::kGrace] = toSeconds(command.grace);
        break;
      case WorkerCommand::Operation::clear:
        v[key::kOperation] = word::kClear;
        break;
    }
    list.push_back(std::move(v));
  }
  return list;
}
}  // namespace

Json reportResponseToJson(FencingToken token, const std::vector<WorkerCommand>& commands) {
  return {{key::kToken, token.value}, {key::kCommands, commandList(commands)}};
}

Json commandRequestToJson(FencingToken token, WorkerEpoch workerEpoch,
                          const std::vector<WorkerCommand>& commands) {
  return {{key::kToken, token.value},
          {key::kWorkerEpoch, workerEpoch.value},
          {key::kCommands, commandList(commands)}};
}

Request commandRequest(FencingToken token, WorkerEpoch workerEpoch,
                       const std::vector<WorkerCommand>& commands) {
  return {"POST", "/commands", encodeBody(commandRequestToJson(token, workerEpoch, commands))};
}

}  // namespace kestrelhoist
