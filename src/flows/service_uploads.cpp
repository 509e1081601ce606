// Implements uploads of flows. A client first announces a version and then sends its parts.
#include "flows/answers.hpp"
#include "flows/service.hpp"

namespace kestrelhoist {
namespace {

// These constants limit the graph parts and the text parts of one version.
constexpr std::uint64_t kMaxParts = 0xffff;
constexpr std::uint64_t kMaxTexts = 0xfffff;
// These constants give the size limit of a transaction and its estimated overheads, in bytes.
constexpr std::size_t kMaxBytes = 56 * 1024;
constexpr std::size_t kBytesWithoutWrites = 512;
constexpr std::size_t kBytesPerWrite = 64;  // excludes the key and the value
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
  PartBatch(const Replica& replica, const Platform& platform, const FlowId& id,
            const FlowVersion& version, const Digest& digest)
      : replica_(replica), platform_(platform), id_(id), upload_(*version.upload), digest_(digest) {
    transaction_.compares.push_back({keys::upload(id, digest), version.modRevision});
  }

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
  Transaction takeTransaction() { return std::move(transaction_); }

 private:
  std::optional<Response> addPart(PartKind kind, const Json& entry) {
    auto number = countField(entry, "n");
    const Json* data = field(entry, "data");
    if (!number || !data || !valid(kind, *number, *data)) {
      return errorResponse(400, "a part is malformed");
    }
    std::size_t size = data->dump().size();
    if (size > platform_.valueBytes) {
      return errorResponse(
          422, "a part is larger than " + std::to_string(platform_.valueBytes) + " bytes");
    }
    std::string key = keyOf(kind, static_cast<std::uint32_t>(*number));
    bool written = kind == PartKind::graph && replica_.modRevisionOf(key) != Revision{};
    full_ = full_ || (!written && !fits(size));
    if (full_) return std::nullopt;
    ++handled_;
    if (written) return std::nullopt;
    bytes_ += size + key.size() + kBytesPerWrite;
    transaction_.writes.push_back({std::move(key), *data, std::nullopt});
    return std::nullopt;
  }

  bool valid(PartKind kind, std::uint64_t number, const Json& data) const {
    if (kind == PartKind::graph) return number < upload_.parts && data.is_object();
    return number < upload_.texts && data.is_string();
  }

  bool fits(std::size_t size) const {
    return transaction_.writes.size() < platform_.transactionOps && bytes_ + size <= kMaxBytes;
  }

  std::string keyOf(PartKind kind, std::uint32_t number) const {
    return kind == PartKind::graph ? keys::graphPart(id_, digest_, number)
                                   : keys::text(id_, digest_, number);
  }

  const Replica& replica_;
  const Platform& platform_;
  const FlowId& id_;
  const FlowUpload& upload_;
  const Digest& digest_;
  Transaction transaction_;
  std::size_t bytes_ = kBytesWithoutWrites;
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
    PartBatch batch(replica_, platform_, id, *known, digest);
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
