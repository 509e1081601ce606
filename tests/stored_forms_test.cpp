/// \file
/// These tests guard the compatibility with the stored records and messages of version f8097a8
/// (tests/data), which a controller of the current version reads after an upgrade and while both
/// versions run together. The current parsers must read each record and message, and the current
/// writers must produce the same bytes.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <set>

#include "cloud/catalogue.hpp"
#include "connectivity/heartbeat_ack_log.hpp"
#include "fleet/heartbeat_messages.hpp"
#include "forecast/forecast.hpp"
#include "leadership/peer_membership.hpp"
#include "members/key_ring.hpp"
#include "policy/policy_replica.hpp"
#include "store/records.hpp"
#include "store/replica.hpp"
#include "versions/versions.hpp"

namespace kestrelhoist {
namespace {

constexpr Revision kAnyRevision{7};

Json dataFrom(const std::string& file) {
  std::ifstream in(std::string(SOURCE_PATH) + "/tests/data/" + file);
  return Json::parse(in);
}
const Json& storedRecords() {
  static const Json records = dataFrom("records-f8097a8.json");
  return records;
}
const Json& storedMessages() {
  static const Json messages = dataFrom("messages-f8097a8.json");
  return messages;
}

template <class Parsed>
std::optional<Json> written(const std::optional<Parsed>& parsed) {
  return parsed ? std::optional(toJson(*parsed)) : std::nullopt;
}

std::optional<Json> rewriteFlowAccount(const Json& record) {
  Json out = Json::array();
  for (const auto& entry : record) {
    auto parsed = accountEntryFromJson(entry);
    if (!parsed) return std::nullopt;
    out.push_back(toJson(*parsed));
  }
  return out;
}

std::optional<Json> rewriteFlowPage(const Json& record) {
  auto text = record.get<std::string>();
  auto states = unpackPage(text);
  if (!states) return std::nullopt;
  return packPage(*states,
                  text.starts_with('~'));  // Only pages in the dense encoding begin with '~'.
}

std::optional<Json> rewriteDependencies(const Json& record) {
  const Json* list = field(record, "jobs");
  auto jobs = list ? jobIdsFromJson(*list) : std::nullopt;
  return jobs ? std::optional(Json{{"jobs", jobIdsToJson(*jobs)}}) : std::nullopt;
}

/// Parses the demand series of each machine type in a forecast record and writes them back into a
/// copy of the record. The other fields have no separate parser; ForecastLoop and Fleet read them
/// when their controller becomes leader.
std::optional<Json> rewriteForecast(const Json& record) {
  if (!countField(record, "at")) return std::nullopt;
  Json out = record;
  for (auto& [type, entry] : out.at("types").items()) {
    for (const char* name : {"firm", "flexible"}) {
      Forecast series;
      if (!series.fromJson(entry.at(name))) return std::nullopt;
      entry[name] = series.toJson();
    }
  }
  return out;
}

/// A type of stored record that the current code both reads and writes.
struct RecordForm {
  std::string prefix;  // All keys of these records have this prefix.
  std::function<std::optional<Json>(const std::string& name, const Json& record)> rewrite;
};

// Returns the record types that the current code writes. A key belongs to the first type whose
// prefix matches.
const std::vector<RecordForm>& writtenForms() {
  static const std::vector<RecordForm> forms{
      {keys::kJob,
       [](const auto& id, const Json& v) { return written(jobRecordFromJson(JobId{id}, v)); }},
      {keys::kTasks,
       [](const auto&, const Json& v) { return written(taskChunkRecordFromJson(v)); }},
      {keys::kSubChunk,
       [](const auto&, const Json& v) { return written(taskChunkRecordFromJson(v)); }},
      {keys::kDependencyPart, [](const auto&, const Json& v) { return rewriteDependencies(v); }},
      {keys::kRental, [](const auto& id,
                         const Json& v) { return written(rentalRecordFromJson(RentalId{id}, v)); }},
      {keys::kLeader, [](const auto&, const Json& v) { return written(leaderRecordFromJson(v)); }},
      {keys::kCatalogue, [](const auto&, const Json& v) { return written(catalogueFromJson(v)); }},
      {keys::kForecast, [](const auto&, const Json& v) { return rewriteForecast(v); }},
      {keys::kPolicy, [](const auto&, const Json& v) { return written(policyVersionFromJson(v)); }},
      {keys::kPolicyPast,
       [](const auto&, const Json& v) { return written(policyVersionFromJson(v)); }},
      {keys::kPolicyState,
       [](const auto&, const Json& v) { return std::optional(toJson(policyStateFromJson(v))); }},
      {keys::kChargesOfHour,
       [](const auto&, const Json& v) { return written(chargeRecordFromJson(v)); }},
      {keys::kChargesOfDay,
       [](const auto&, const Json& v) { return written(chargeRecordFromJson(v)); }},
      {keys::kKey, [](const auto&, const Json& v) { return written(keyRecordFromJson(v)); }},
      {keys::kFlow, [](const auto&, const Json& v) { return written(flowHeadFromJson(v)); }},
      {keys::kUpload, [](const auto&, const Json& v) { return written(flowUploadFromJson(v)); }},
      {keys::kPage, [](const auto&, const Json& v) { return rewriteFlowPage(v); }},
      {keys::kAccount, [](const auto&, const Json& v) { return rewriteFlowAccount(v); }},
  };
  return forms;
}

// Returns the key prefixes of the record types without a separate writer function. Each of these
// types has its own test below.
const std::vector<std::string>& readForms() {
  static const std::vector<std::string> prefixes{keys::kGraph, keys::kOpenFlows, keys::kVersion,
                                                 keys::kCursorKey};
  return prefixes;
}

std::string keyOf(const Json& entry) { return entry.at("key").get<std::string>(); }
std::string whereOf(const Json& entry) {
  return entry.at("scenario").get<std::string>() + ": " +
         entry.at(entry.contains("key") ? "key" : "path").get<std::string>();
}

std::vector<Json> recordsWith(const std::string& prefix) {
  std::vector<Json> out;
  for (const auto& entry : storedRecords()) {
    if (keyOf(entry).starts_with(prefix)) out.push_back(entry);
  }
  return out;
}

std::vector<Json> messagesWith(const std::string& direction, const std::string& path) {
  std::vector<Json> out;
  for (const auto& entry : storedMessages()) {
    if (entry.at("direction") == direction &&
        entry.at("path").get<std::string>().starts_with(path)) {
      out.push_back(entry);
    }
  }
  return out;
}

TEST(StoredRecords, hold_each_form_and_no_unknown_one) {
  std::vector<std::string> prefixes = readForms();
  for (const auto& form : writtenForms()) prefixes.push_back(form.prefix);
  for (const auto& prefix : prefixes) EXPECT_FALSE(recordsWith(prefix).empty()) << prefix;
  for (const auto& entry : storedRecords()) {
    EXPECT_TRUE(std::any_of(prefixes.begin(), prefixes.end(), [&](const auto& prefix) {
      return keyOf(entry).starts_with(prefix);
    })) << whereOf(entry);
  }
}

TEST(StoredRecords, are_written_back_as_the_same_bytes) {
  for (const auto& form : writtenForms()) {
    for (const auto& entry : recordsWith(form.prefix)) {
      const Json& record = entry.at("value");
      auto rewritten = form.rewrite(keyOf(entry).substr(form.prefix.size()), record);
      ASSERT_TRUE(rewritten) << whereOf(entry) << " can't be read";
      EXPECT_EQ(encodeBody(*rewritten), encodeBody(record))
          << whereOf(entry) << "\n  stored  " << record.dump() << "\n  written "
          << rewritten->dump();
    }
  }
}

/// Returns whether any stored record with this prefix has the field. Parsers skip unknown fields,
/// so the tests cover a field only if at least one record contains it.
bool anyRecordHas(const std::string& prefix, const char* name) {
  auto records = recordsWith(prefix);
  return std::any_of(records.begin(), records.end(),
                     [&](const Json& entry) { return entry.at("value").contains(name); });
}

TEST(StoredRecords, have_the_optional_fields_too) {
  for (const char* name : {"flow", "owner", "ended", "awaits_parts"}) {
    EXPECT_TRUE(anyRecordHas(keys::kJob, name)) << name;
  }
  for (const char* name : {"fails", "use"}) EXPECT_TRUE(anyRecordHas(keys::kTasks, name)) << name;
  EXPECT_TRUE(anyRecordHas(keys::kRental, "machines"));
  EXPECT_TRUE(anyRecordHas(keys::kFlow, "ended"));
  EXPECT_TRUE(anyRecordHas(keys::kKey, "ends"));
  EXPECT_TRUE(anyRecordHas(keys::kPolicyState, "storm"));
}

// Compares each parsed field with the stored record. Without this test, a parser that reads no
// field would pass where the writer copies unknown fields.
TEST(StoredRecords, of_jobs_and_their_tasks_are_read_field_by_field) {
  for (const auto& entry : recordsWith(keys::kJob)) {
    const Json& record = entry.at("value");
    auto job = jobRecordFromJson(JobId{keyOf(entry).substr(keys::kJob.size())}, record);
    ASSERT_TRUE(job) << whereOf(entry);
    EXPECT_EQ(job->acceptedAtMs, record.at("at").get<std::int64_t>());
    EXPECT_EQ(job->chunkSize, record.at("stretch").get<std::uint32_t>());
    EXPECT_EQ(job->flow != nullptr, record.contains("flow"));
    EXPECT_EQ(job->owner != nullptr, record.contains("owner"));
    EXPECT_EQ(job->endedAtMs, record.value("ended", std::int64_t{0}));
    EXPECT_EQ(job->dependencyParts, record.value("awaits_parts", 0U));
  }
  for (const auto& entry : recordsWith(keys::kTasks)) {
    auto chunk = taskChunkRecordFromJson(entry.at("value"));
    ASSERT_TRUE(chunk) << whereOf(entry);
    std::uint32_t placed = 0;
    for (const auto& row : entry.at("value").at("on")) {
      for (std::size_t i = 4; i < row.size(); i += 2) placed += row[i].get<std::uint32_t>();
    }
    EXPECT_EQ(chunk->placed.size(), placed) << whereOf(entry);
  }
}

// A job whose dependency list is stored in several records is not placed until all of them are
// read.
TEST(StoredRecords, of_dependencies_in_parts_are_read_whole) {
  for (const auto& entry : recordsWith(keys::kJob)) {
    const Json& record = entry.at("value");
    if (!record.contains("awaits_parts") || record.at("phase") != "active") continue;
    JobId id{keyOf(entry).substr(keys::kJob.size())};
    Replica replica;
    replica.apply({keyOf(entry), record, kAnyRevision});
    ASSERT_TRUE(replica.job(id)) << whereOf(entry);
    EXPECT_TRUE(replica.job(id)->dependenciesUnread);
    auto parts = recordsWith(keys::kDependencyPart + id.value + "/");
    ASSERT_EQ(parts.size(), record.at("awaits_parts").get<std::size_t>());
    for (const auto& part : parts) {
      replica.apply({keyOf(part), part.at("value"), kAnyRevision});
      EXPECT_EQ(replica.job(id)->dependenciesUnread, keyOf(part) != keyOf(parts.back()));
    }
  }
}

TEST(StoredRecords, of_the_policys_state_are_read_field_by_field) {
  for (const auto& entry : recordsWith(keys::kPolicyState)) {
    const Json& record = entry.at("value");
    PolicyState state = policyStateFromJson(record);
    EXPECT_TRUE(state.unknownFields.empty()) << state.unknownFields.dump();
    EXPECT_EQ(state.policyVersion, record.at("policy").get<std::uint64_t>());
    EXPECT_EQ(state.appliedUntilMs, record.at("acted").get<std::int64_t>());
    EXPECT_EQ(state.openPeriodName, record.at("open").get<std::string>());
    EXPECT_EQ(state.massFailure.has_value(), record.contains("storm"));
    EXPECT_EQ(state.pools.size(), record.at("pools").size());
  }
}

TEST(StoredRecords, of_policies_can_be_parsed_as_policies) {
  for (const auto& entry : recordsWith(keys::kPolicy)) {
    auto version = policyVersionFromJson(entry.at("value"));
    ASSERT_TRUE(version) << whereOf(entry);
    if (version->document.is_null()) continue;
    EXPECT_TRUE(parsePolicy(version->document)) << whereOf(entry);
  }
}

TEST(StoredRecords, of_flow_graphs_are_read) {
  for (const auto& entry : recordsWith(keys::kGraph)) {
    // Later parts of a flow graph refer to rules and instances of earlier parts, so reading starts
    // at the first part.
    if (!keyOf(entry).ends_with("/000000")) continue;
    FlowGraph graph;
    auto fault = graph.add(entry.at("value"));
    ASSERT_FALSE(fault) << whereOf(entry) << ": " << *fault;
    EXPECT_EQ(graph.rules().size(), entry.at("value").at("rules").size());
    EXPECT_GT(graph.size(), 0U);
  }
}

TEST(StoredRecords, of_open_flows_are_read) {
  for (const auto& entry : recordsWith(keys::kOpenFlows)) {
    FlowReplica replica;
    const Json& record = entry.at("value");
    ASSERT_TRUE(replica.apply(keyOf(entry), &record, kAnyRevision));
    std::string path = keyOf(entry).substr(keys::kOpenFlows.size());
    auto slash = path.find('/');
    auto open = replica.openFlowsOf(path.substr(0, slash), path.substr(slash + 1));
    ASSERT_EQ(open.size(), record.at("open").size()) << whereOf(entry);
    for (std::size_t i = 0; i < open.size(); ++i) EXPECT_EQ(open[i].value, record["open"][i]);
  }
}

TEST(StoredRecords, of_versions_are_read) {
  for (const auto& entry : recordsWith(keys::kVersion)) {
    ControllerVersions versions{Platform{}};
    const Json& record = entry.at("value");
    versions.apply(keyOf(entry), &record, kAnyRevision);
    EXPECT_EQ(versions.formatOf(MemberId{keyOf(entry).substr(keys::kVersion.size())}),
              record.at("format").get<unsigned>());
  }
}

TEST(StoredRecords, of_the_cursor_key_are_read) {
  for (const auto& entry : recordsWith(keys::kCursorKey)) {
    Replica replica;
    replica.apply({keyOf(entry), entry.at("value"), kAnyRevision});
    EXPECT_EQ(replica.cursorKey(), entry.at("value").at("secret").get<std::string>());
    EXPECT_FALSE(replica.cursorKey().empty());
  }
}

TEST(StoredMessages, of_peer_status_are_written_back_as_the_same_bytes) {
  for (const char* direction : {"request", "response"}) {
    auto messages = messagesWith(direction, "/mesh/hello");
    EXPECT_FALSE(messages.empty()) << direction;
    for (const auto& message : messages) {
      auto status = peerStatusFrom(message.at("value"));
      ASSERT_TRUE(status) << whereOf(message);
      EXPECT_EQ(encodeBody(toJson(*status)), encodeBody(message.at("value")))
          << message.at("value").dump();
    }
  }
}

void expectReadAsWritten(const Json& message) {
  auto report = reportFromJson(message);
  ASSERT_TRUE(report) << message.dump();
  EXPECT_EQ(report->machine.value, message.at("host"));
  EXPECT_EQ(report->address, message.at("addr"));
  EXPECT_EQ(report->type.value, message.at("rig"));
  EXPECT_EQ(report->zone.value, message.at("site"));
  EXPECT_EQ(report->spot, message.at("loaners").get<bool>());
  EXPECT_EQ(report->workerEpoch.value, message.at("tenure").get<std::uint64_t>());
  EXPECT_EQ(report->sequence.value, message.at("tick").get<std::uint64_t>());
  EXPECT_EQ(report->token.value, message.at("baton").get<std::uint64_t>());
  EXPECT_EQ(report->notice.has_value(), field(message, "warning_s") != nullptr);
  const Json& tasks = message.at("shards");
  ASSERT_EQ(report->tasks.size(), tasks.size());
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    EXPECT_EQ(report->tasks[i].id.task.str(), tasks[i].at("shard"));
    EXPECT_EQ(report->tasks[i].id.attempt.value, tasks[i].at("try").get<std::uint64_t>());
    EXPECT_EQ(report->tasks[i].state == TaskState::ended, tasks[i].at("phase") == "ended");
  }
}

TEST(StoredMessages, of_worker_heartbeats_are_read) {
  auto heartbeats = messagesWith("request", "/agent/beat");
  EXPECT_FALSE(heartbeats.empty());
  for (const auto& message : heartbeats) expectReadAsWritten(message.at("value"));
  auto batches = messagesWith("request", "/mesh/reports/");
  EXPECT_FALSE(batches.empty());
  for (const auto& message : batches) {
    EXPECT_FALSE(message.at("value").empty());
    for (const auto& report : message.at("value")) expectReadAsWritten(report);
  }
}

/// Parses the worker commands of a stored message. The controller code has no such parser because
/// it only writes these messages.
std::vector<WorkerCommand> commandsIn(const Json& message) {
  std::vector<WorkerCommand> out;
  for (const auto& order : message.at("orders")) {
    auto task = order.at("shard").get<std::string>();
    auto slash = task.rfind('/');
    AttemptId id{{JobId{task.substr(0, slash)},
                  static_cast<std::uint32_t>(std::stoul(task.substr(slash + 1)))},
                 Attempt{order.at("try").get<std::uint64_t>()}};
    using Operation = WorkerCommand::Operation;
    auto verb = order.at("verb").get<std::string>();
    auto operation = verb == "launch" ? Operation::launch
                     : verb == "stop" ? Operation::stop
                                      : Operation::clear;
    out.push_back({operation, id, fromSeconds(order.value("wind_down_s", 0.0))});
  }
  return out;
}

TEST(StoredMessages, of_heartbeat_responses_are_written_as_the_same_bytes) {
  auto expectSameBytes = [](const Json& response) {
    FencingToken token{response.at("baton").get<std::uint64_t>()};
    EXPECT_EQ(encodeBody(reportResponseToJson(token, commandsIn(response))), encodeBody(response))
        << response.dump();
  };
  auto responses = messagesWith("response", "/agent/beat");
  std::set<std::string> verbs;
  for (const auto& message : responses) {
    expectSameBytes(message.at("value"));
    for (const auto& order : message.at("value").at("orders")) verbs.insert(order.at("verb"));
  }
  EXPECT_EQ(verbs, (std::set<std::string>{"clear", "launch", "stop"}));
  auto batches = messagesWith("response", "/mesh/reports/");
  EXPECT_FALSE(batches.empty());
  for (const auto& message : batches) {
    for (const auto& item : message.at("value")) {
      EXPECT_EQ(countField(item, "status"), 200U);
      expectSameBytes(item.at("body"));
    }
  }
}

TEST(StoredMessages, of_commands_are_written_as_the_same_bytes) {
  auto messages = messagesWith("request", "/commands");
  EXPECT_FALSE(messages.empty());
  for (const auto& message : messages) {
    const Json& value = message.at("value");
    FencingToken token{value.at("baton").get<std::uint64_t>()};
    WorkerEpoch epoch{value.at("tenure").get<std::uint64_t>()};
    EXPECT_EQ(encodeBody(commandRequestToJson(token, epoch, commandsIn(value))), encodeBody(value))
        << value.dump();
  }
}

TEST(StoredMessages, of_answered_heartbeats_are_read) {
  auto messages = messagesWith("response", "/mesh/answered");
  EXPECT_FALSE(messages.empty());
  for (const auto& message : messages) {
    const Json& value = message.at("value");
    constexpr Instant kCame{1000000};
    auto answeredAt = HeartbeatAckLog::parse(value, kCame);
    ASSERT_EQ(answeredAt.size(), value.size());
    for (const auto& [machine, at] : answeredAt) {
      EXPECT_EQ((kCame - at).count(), value.at(machine.value).get<std::int64_t>());
    }
  }
}

}  // namespace
}  // namespace kestrelhoist
