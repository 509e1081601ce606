#include "fleet/heartbeat_messages.hpp"

#include <charconv>

namespace kestrelhoist {
namespace {

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
  if (word == "fetching") return TaskState::fetching;
  if (word == "running" || word == "gathering") return TaskState::running;
  if (word == "flushing") return TaskState::saving;
  if (word == "ended") return TaskState::ended;
  return std::nullopt;
}

EndCause causeFrom(const std::string& word) {
  if (word == "done") return EndCause::done;
  if (word == "halted") return EndCause::stopped;
  if (word == "no_room") return EndCause::noRoom;
  if (word == "in_use") return EndCause::busy;
  if (word == "mates_gone" || word == "alone") return EndCause::gang;
  if (word == "unknown") return EndCause::unknown;
  return EndCause::error;
}

}  // namespace

const ReportedTask* Report::find(const AttemptId& id) const {
  for (const auto& t : tasks) {
    if (t.id == id) return &t;
  }
  return nullptr;
}

std::optional<Report> reportFrom(const Json& v) {
  auto machine = textField(v, "host");
  auto address = textField(v, "addr");
  auto type = textField(v, "rig");
  auto zone = textField(v, "site");
  auto spot = boolField(v, "loaners");
  auto workerEpoch = countField(v, "tenure");
  auto sequence = countField(v, "tick");
  auto token = countField(v, "baton");
  if (!machine || machine->empty() || machine->size() > 150 ||
      machine->find_first_of(" /?&#%") != std::string::npos || !address || !type || !zone ||
      !workerEpoch || !sequence) {
    return std::nullopt;
  }
  Report r;
  r.machine = MachineId{*machine};
  r.address = *address;
  r.type = TypeId{*type};
  r.zone = ZoneId{*zone};
  r.spot = spot.value_or(false);
  r.workerEpoch = WorkerEpoch{*workerEpoch};
  r.sequence = ReportSequence{*sequence};
  r.token = FencingToken{token.value_or(0)};
  if (auto notice = numberField(v, "warning_s")) r.notice = fromSeconds(std::max(0.0, *notice));
  if (const Json* tasks = field(v, "shards")) {
    if (!tasks->is_array()) return std::nullopt;
    r.tasks.reserve(tasks->size());
    for (const auto& t : *tasks) {
      auto name = textField(t, "shard");
      auto attempt = countField(t, "try");
      auto phase = textField(t, "phase");
      auto id = name ? taskFrom(*name) : std::nullopt;
      auto state = phase ? stateFrom(*phase) : std::nullopt;
      // A list that can't be read whole proves nothing about what is missing from it.
      if (!id || !attempt || !state) return std::nullopt;
      r.tasks.push_back({{*id, Attempt{*attempt}},
                         *state,
                         causeFrom(textField(t, "cause").value_or("")),
                         std::nullopt});
      if (auto ran = numberField(t, "ran_s"); ran && *ran >= 0 && *ran < 1e9) {
        r.tasks.back().ran = fromSeconds(*ran);
      }
    }
  } else {
    return std::nullopt;
  }
  return r;
}

namespace {
Json commandList(const std::vector<WorkerCommand>& commands) {
  Json list = Json::array();
  for (const auto& o : commands) {
    Json v = {{"shard", o.id.task.str()}, {"try", o.id.attempt.value}};
    switch (o.operation) {
      case WorkerCommand::Operation::launch:
        v["verb"] = "launch";
        break;
      case WorkerCommand::Operation::stop:
        v["verb"] = "stop";
        v["wind_down_s"] = toSeconds(o.grace);
        break;
      case WorkerCommand::Operation::clear:
        v["verb"] = "clear";
        break;
    }
    list.push_back(std::move(v));
  }
  return list;
}
}  // namespace

Json reportResponseToJson(FencingToken token, const std::vector<WorkerCommand>& commands) {
  return {{"baton", token.value}, {"orders", commandList(commands)}};
}

Json commandRequestToJson(FencingToken token, WorkerEpoch workerEpoch,
                          const std::vector<WorkerCommand>& commands) {
  return {{"baton", token.value}, {"tenure", workerEpoch.value}, {"orders", commandList(commands)}};
}

}  // namespace kestrelhoist
