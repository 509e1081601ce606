// Implements the requests that start, amend and cancel flows.
#include <algorithm>

#include "base/log.hpp"
#include "flows/admission.hpp"
#include "flows/answers.hpp"
#include "flows/service.hpp"

namespace kestrelhoist {
namespace {

// Limits the length of the name of a team or a job class.
constexpr std::size_t kMaxNameBytes = 200;

// Parses the priority of a flow. Production priority is reserved for services, so a flow cannot
// have it.
std::optional<Priority> parsePriority(const std::string& word) {
  if (word == "high") return Priority::high;
  if (word == "standard") return Priority::normal;
  if (word == "best_effort") return Priority::low;
  return std::nullopt;
}

// Parses the fields of a flow head from the request body. Returns null if a field is malformed.
std::optional<FlowHead> flowHeadFromBody(const Json& body) {
  auto team = textField(body, "owner");
  auto member = textField(body, "member");
  auto name = textField(body, "name");
  auto jobClass = textField(body, "lane");
  auto priority = parsePriority(textField(body, "rank").value_or("best_effort"));
  if (!team || team->empty() || team->size() > kMaxNameBytes) return std::nullopt;
  if (!member || !isValidLabel(*member)) return std::nullopt;
  if (!name || !isValidLabel(*name)) return std::nullopt;
  if (!priority || (jobClass && jobClass->size() > kMaxNameBytes)) return std::nullopt;
  FlowHead head;
  head.team = *team;
  head.member = *member;
  head.name = *name;
  head.jobClass = jobClass.value_or("flow");
  head.priority = static_cast<int>(*priority);
  head.keepGoing = boolField(body, "keep_going").value_or(false);
  return head;
}

const FlowHead* headOf(const FlowState* flow) {
  return flow && flow->head ? &*flow->head : nullptr;
}

// Returns the response for a flow that has another version or has ended, and so cannot be amended.
Response conflictResponse(const FlowId& id, const FlowHead& head) {
  const char* why =
      head.phase == FlowPhase::open ? "another version was first" : "the flow is over";
  return jsonResponse(409, {{"error", why},
                            {"ref", id.value},
                            {"phase", toString(head.phase)},
                            {"version", head.version}});
}

// Returns the head of a flow that is amended to the wanted version.
FlowHead changedHead(FlowHead head, const FlowHead& wanted) {
  ++head.version;
  head.from = head.graph;
  head.graph = wanted.graph;
  head.keepGoing = wanted.keepGoing;
  return head;
}

// Returns the head of a flow that starts with the wanted version.
FlowHead firstHead(FlowHead wanted, std::int64_t nowMs) {
  wanted.version = 1;
  wanted.atMs = nowMs;
  return wanted;
}

}  // namespace

void FlowService::commit(const FlowId& id, const Body& body, const Respond& respond) {
  auto digest = textField(*body, "version");
  auto base = countField(*body, "base");
  auto wanted = flowHeadFromBody(*body);
  if (!digest || !isValidDigest(*digest) || !base || !wanted) {
    return respond(errorResponse(
        400, "field version, base, owner, member, name or rank is missing or invalid"));
  }
  wanted->graph = Digest{*digest};
  watcher_.linearizableRead([this, id, wanted = *wanted, base = *base, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    if (auto answer = answerWithoutCommit(id, wanted, base)) return respond(*answer);
    const FlowVersion* version = replica_.flows().find(id)->version(wanted.graph);
    // Clients upload texts in order, so all texts exist if the last one exists.
    readText(keys::text(id, wanted.graph, version->upload->texts - 1),
             [this, id, wanted, base, respond](const GetResult& r) {
               if (!r.ok) return respond(retryLater(503));
               if (!r.value) return respond(errorResponse(400, "texts are missing"));
               commitVersion(id, wanted, base, respond);
             });
  });
}

std::optional<Response> FlowService::answerWithoutCommit(const FlowId& id, const FlowHead& wanted,
                                                         std::uint64_t base) const {
  const FlowState* flow = replica_.flows().find(id);
  const FlowHead* head = headOf(flow);
  if (head && (head->team != wanted.team || head->member != wanted.member)) {
    return errorResponse(404, "no such flow");
  }
  // The commit is already done. The client retries it, for example because the response was lost.
  if (head && head->graph == wanted.graph && head->version == base + 1) {
    return headResponse(id, *head, 200);
  }
  if (head && (head->version != base || head->phase != FlowPhase::open)) {
    return conflictResponse(id, *head);
  }
  if (!head && base != 0) return errorResponse(404, "no such flow");
  // Only one amendment may be in progress; the client retries the next one later.
  if (head && !head->from.empty()) return retryLater(503);
  const FlowVersion* version = flow ? flow->version(wanted.graph) : nullptr;
  if (!version || !version->upload || version->upload->closing) {
    return errorResponse(404, "no such upload");
  }
  if (!version->partError.empty()) return errorResponse(400, version->partError);
  if (!version->complete()) return errorResponse(400, "parts are missing");
  return std::nullopt;
}

void FlowService::commitVersion(const FlowId& id, const FlowHead& wanted, std::uint64_t base,
                                const Respond& respond) {
  const FlowState* flow = replica_.flows().find(id);
  const FlowVersion* version = flow ? flow->version(wanted.graph) : nullptr;
  const FlowHead* head = headOf(flow);
  // The records may have changed since `commit` checked them. Changes before this point are found
  // here; later changes make the compares of the transaction fail.
  if (!version || !version->complete() || version->upload->closing ||
      (head ? head->version : 0) != base ||
      (head && (head->phase != FlowPhase::open || !head->from.empty()))) {
    return respond(retryLater(503));
  }
  // The admission check and the revisions for the compares come from the same replica state, so two
  // flows that write the same file cannot both be accepted.
  FlowAdmission admission{replica_, platform_, catalogue_()};
  if (auto refusal = admission.refusal(id, *version, wanted)) return respond(*refusal);
  FlowHead next = head ? changedHead(*head, wanted) : firstHead(wanted, runtime_.wallMillis());
  Transaction t;
  t.compares.push_back({keys::flow(id), flow->modRevision});
  t.writes.push_back({keys::flow(id), toJson(next), std::nullopt});
  t.compares.push_back({keys::upload(id, wanted.graph), version->modRevision});
  auto open = replica_.flows().openFlowsOf(wanted.team, wanted.member);
  if (std::find(open.begin(), open.end(), id) == open.end()) open.push_back(id);
  writeOpenFlows(t, wanted, open);
  commitIfWithinRate(
      std::move(t),
      [this, id, next, respond](const CommitResult& r) {
        if (r.outcome != CommitOutcome::applied) return respond(retryLater(503));
        logInfo("flow accepted", "flow", id, "version", next.version);
        if (onCommitted) onCommitted();
        respond(headResponse(id, next, next.version == 1 ? 201 : 200));
      },
      respond);
}

void FlowService::cancel(const FlowId& id, int retriesLeft, const Respond& respond) {
  watcher_.linearizableRead([this, id, retriesLeft, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const FlowState* flow = replica_.flows().find(id);
    if (!headOf(flow)) return respond(errorResponse(404, "no such flow"));
    if (flow->head->phase != FlowPhase::open) {
      return respond(
          jsonResponse(200, {{"ref", id.value}, {"phase", toString(flow->head->phase)}}));
    }
    FlowHead head = cancelledHead(*flow);
    Transaction t;
    t.compares.push_back({keys::flow(id), flow->modRevision});
    t.writes.push_back({keys::flow(id), toJson(head), std::nullopt});
    auto open = replica_.flows().openFlowsOf(head.team, head.member);
    std::erase(open, id);
    writeOpenFlows(t, head, open);
    commitIfWithinRate(
        std::move(t),
        [this, id, retriesLeft, respond](const CommitResult& r) {
          if (r.outcome == CommitOutcome::applied) {
            logInfo("flow cancelled", "flow", id);
            if (onCommitted) onCommitted();
            return respond(jsonResponse(200, {{"ref", id.value}, {"phase", "cancelled"}}));
          }
          if (r.outcome == CommitOutcome::conflict && retriesLeft > 0) {
            return cancel(id, retriesLeft - 1, respond);
          }
          respond(retryLater(503));
        },
        respond);
  });
}

FlowHead FlowService::cancelledHead(const FlowState& flow) const {
  FlowHead head = *flow.head;
  Json now = counts(flow);
  head.phase = FlowPhase::cancelled;
  head.from = Digest{};
  head.done = now["done"].get<std::uint32_t>();
  head.failed = now["failed"].get<std::uint32_t>();
  return head;
}

void FlowService::writeOpenFlows(Transaction& t, const FlowHead& head,
                                 const std::vector<FlowId>& open) const {
  std::string key = keys::openFlows(head.team, head.member);
  Json ids = Json::array();
  for (const auto& id : open) ids.push_back(id.value);
  std::optional<Json> value;
  if (!open.empty()) value = Json::object({{"open", ids}});
  t.compares.push_back({key, replica_.modRevisionOf(key)});
  t.writes.push_back({key, std::move(value), std::nullopt});
}

}  // namespace kestrelhoist
