// Implements uploads of flows. A client first announces a version and then sends its parts.
#include "flows/answers.hpp"
#include "flows/service.hpp"

namespace kestrelhoist {
namespace {

// These constants limit the graph parts and the text parts of one version.
constexpr std::uint64_t kMaxParts = 0xffff;
constexpr std::uint64_t kMaxTexts = 0xfffff;
// These constants tell a client after how many seconds it should retry.
constexpr int kClosingRetryS = 5;    // An upload of the same version is being removed.
constexpr int kCapacityRetryS = 10;  // Capacity becomes available when other flows end.

// Contains the announced numbers of instances and parts of a version.
struct Announcement {
  Digest version;
  std::uint64_t instances{};
  std::uint64_t parts{};
  std::uint64_t texts{};
  std::uint64_t perText{};
};

std::optional<Announcement> announcementFromBody(const Json& body) {
  auto count = [&](const char* name) { return countField(body, name).value_or(0); };
  auto digest = textField(body, "version");
  if (!digest || !isValidDigest(*digest)) return std::nullopt;
  Announcement a{Digest{*digest}, count("instances"), count("parts"), count("texts"),
                 count("per_text")};
  if (a.instances < 1 || a.parts < 1 || a.texts < 1 || a.perText < 1) return std::nullopt;
  if (a.parts > kMaxParts || a.texts > kMaxTexts) return std::nullopt;
  return a;
}

FlowUpload uploadFrom(const Announcement& announcement, std::int64_t nowMs) {
  FlowUpload upload;
  upload.instances = static_cast<std::uint32_t>(announcement.instances);
  upload.parts = static_cast<std::uint32_t>(announcement.parts);
  upload.texts = static_cast<std::uint32_t>(announcement.texts);
  upload.perText = static_cast<std::uint32_t>(announcement.perText);
  upload.atMs = nowMs;
  return upload;
}

enum class PartKind { graph, text };

// Collects parts of an upload, in order, up to the limits of one transaction. The client sends the
// remaining parts in its next request.
class PartBatch {
 public:
  PartBatch(const Replica& replica, CommitLimits& limits, const FlowId& id,
            const FlowVersion& version, const Digest& digest)
      : replica_(replica),
        valueBytes_(limits.limits().valueBytes),
        id_(id),
        upload_(*version.upload),
        digest_(digest),
        builder_(limits, Transaction{{{keys::upload(id, digest), version.modRevision}}, {}}) {}

  // Adds the parts of a list. Returns the error response if a part is invalid.
  std::optional<Response> add(PartKind kind, const Json* list) {
    if (!list) return std::nullopt;
    if (!list->is_array()) return errorResponse(400, "parts are not a list");
    for (const auto& entry : *list) {
      if (auto refusal = addPart(kind, entry)) return refusal;
    }
    return std::nullopt;
  }

  // Returns the number of parts that this transaction writes or that were already stored.
  std::size_t handled() const { return handled_; }
  Transaction takeTransaction() { return builder_.take(); }

 private:
  std::optional<Response> addPart(PartKind kind, const Json& entry) {
    auto number = countField(entry, "n");
    const Json* data = field(entry, "data");
    if (!number || !data || !valid(kind, *number, *data) || !hasJsonText(*data)) {
      return errorResponse(400, "a part is malformed");
    }
    if (jsonBytes(*data) > valueBytes_) {
      return errorResponse(422, "a part is larger than " + std::to_string(valueBytes_) + " bytes");
    }
    if (full_) return std::nullopt;
    std::string key = keyOf(kind, static_cast<std::uint32_t>(*number));
    bool written = kind == PartKind::graph && replica_.modRevisionOf(key) != Revision{};
    auto result = written ? TransactionBuilder::Result::added
                          : builder_.add({{}, {{std::move(key), *data, std::nullopt}}});
    if (result == TransactionBuilder::Result::unwritable) {
      return errorResponse(422, "a part is not accepted by the state service");
    }
    full_ = result == TransactionBuilder::Result::full;
    if (!full_) ++handled_;
    return std::nullopt;
  }

  bool valid(PartKind kind, std::uint64_t number, const Json& data) const {
    if (kind == PartKind::graph) return number < upload_.parts && data.is_object();
    return number < upload_.texts && data.is_string();
  }

  std::string keyOf(PartKind kind, std::uint32_t number) const {
    return kind == PartKind::graph ? keys::graphPart(id_, digest_, number)
                                   : keys::text(id_, digest_, number);
  }

  const Replica& replica_;
  const std::size_t valueBytes_;
  const FlowId& id_;
  const FlowUpload& upload_;
  const Digest& digest_;
  TransactionBuilder builder_;
  std::size_t handled_ = 0;
  bool full_ = false;
};

}  // namespace

void FlowService::announce(const FlowId& id, const Body& body, const Respond& respond) {
  auto announcement = announcementFromBody(*body);
  if (!announcement) {
    return respond(errorResponse(
        400, "field version, instances, parts, texts or per_text is missing or invalid"));
  }
  if (announcement->instances > settings_.maxFlowInstances) {
    return respond(errorResponse(422, "more than " + std::to_string(settings_.maxFlowInstances) +
                                          " instances, the most that one flow may have here"));
  }
  watcher_.linearizableRead([this, id, announcement = *announcement, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const Digest& digest = announcement.version;
    const Json answer = {{"ref", id.value}, {"version", digest.value}};
    const FlowState* flow = replica_.flows().find(id);
    const FlowVersion* known = flow ? flow->version(digest) : nullptr;
    if (known && known->upload) {
      if (known->upload->closing) return respond(retryLater(503, kClosingRetryS));
      return respond(jsonResponse(200, answer));
    }
    if (replica_.flows().instances() + announcement.instances > settings_.maxFlowInstancesTotal) {
      return respond(Response{
          503, encodeBody(Json{{"error", "open flows have too many instances"}}), kCapacityRetryS});
    }
    Transaction t;
    std::string key = keys::upload(id, digest);
    t.compares.push_back({key, Revision{}});
    t.writes.push_back(
        {key, toJson(uploadFrom(announcement, runtime_.wallMillis())), std::nullopt});
    commitIfWithinRate(
        std::move(t),
        [answer, respond](const CommitResult& r) {
          respond(r.outcome == CommitOutcome::applied ? jsonResponse(201, answer)
                                                      : retryLater(503));
        },
        respond);
  });
}

void FlowService::storeParts(const FlowId& id, const Body& body, const Respond& respond) {
  auto digest = textField(*body, "version");
  if (!digest || !isValidDigest(*digest)) {
    return respond(errorResponse(400, "field version is missing or invalid"));
  }
  watcher_.linearizableRead([this, id, body, digest = Digest{*digest}, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const FlowState* flow = replica_.flows().find(id);
    const FlowVersion* known = flow ? flow->version(digest) : nullptr;
    if (!known || !known->upload || known->upload->closing) {
      return respond(errorResponse(404, "no such upload"));
    }
    PartBatch batch(replica_, store_.limits(), id, *known, digest);
    if (auto refusal = batch.add(PartKind::graph, field(*body, "graph"))) return respond(*refusal);
    if (auto refusal = batch.add(PartKind::text, field(*body, "texts"))) return respond(*refusal);
    Json answer = {{"ref", id.value}, {"written", batch.handled()}};
    Transaction t = batch.takeTransaction();
    if (t.writes.empty()) return respond(jsonResponse(200, answer));
    commitIfWithinRate(
        std::move(t),
        [answer, respond](const CommitResult& r) {
          respond(r.outcome == CommitOutcome::applied ? jsonResponse(200, answer)
                                                      : retryLater(503));
        },
        respond);
  });
}

}  // namespace kestrelhoist
