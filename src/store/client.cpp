#include "store/client.hpp"

#include <memory>

namespace kestrelhoist {
namespace {

// Returns the decoded body of the response, or nothing if there is no response or no valid body.
std::optional<Json> bodyOf(const std::optional<Response>& r) {
  if (!r) return std::nullopt;
  auto body = decodeBody(r->body, kInternalLimits);
  if (!body || !body->is_object()) return std::nullopt;
  return body;
}

std::optional<Change> changeFrom(Json& row, const char* keyName) {
  Change c;
  auto modRevision = countField(row, "stamp");
  auto key = textField(row, keyName);
  if (!modRevision || !key) return std::nullopt;
  c.key = *key;
  c.modRevision = Revision{*modRevision};
  auto data = row.find("data");
  if (data == row.end()) return std::nullopt;
  c.value = std::move(*data);
  return c;
}

// Returns the error text of an answer, which only people read.
std::string errorOf(const std::optional<Response>& response) {
  auto body = bodyOf(response);
  return (body ? textField(*body, "error") : std::nullopt).value_or("?");
}

CommitResult commitResultOf(const std::optional<Response>& response) {
  if (!response) return {CommitOutcome::unknown, {}};
  auto body = bodyOf(response);
  auto revision = body ? countField(*body, "epoch") : std::nullopt;
  switch (response->status) {
    case 200:
      // Without a revision, the transaction was applied but the answer is malformed.
      if (!revision) return {CommitOutcome::unknown, {}};
      return {CommitOutcome::applied, Revision{*revision}};
    case 409:
      return {CommitOutcome::conflict, Revision{revision.value_or(0)}};
    case 429:
    case 503:
      return {CommitOutcome::refused, {}};
    case 400:
      return {
          errorOf(response) == "no such lease" ? CommitOutcome::noLease : CommitOutcome::rejected,
          {}};
    default:
      return {CommitOutcome::unknown, {}};
  }
}

}  // namespace

const char* toString(CommitOutcome outcome) {
  switch (outcome) {
    case CommitOutcome::applied:
      return "applied";
    case CommitOutcome::conflict:
      return "conflict";
    case CommitOutcome::refused:
      return "refused";
    case CommitOutcome::noLease:
      return "no_lease";
    case CommitOutcome::rejected:
      return "rejected";
    default:
      return "unknown";
  }
}

StoreClient::StoreClient(Runtime& runtime, HttpClient& http, std::string address,
                         double requestsPerS, CommitLimits limits)
    : runtime_(runtime),
      http_(http),
      address_(std::move(address)),
      budget_(requestsPerS, requestsPerS),
      limits_(std::move(limits)) {}

void StoreClient::commit(const Transaction& t, Duration timeout,
                         std::function<void(CommitResult)> done) {
  if (auto why = limits_.refusalOf(t)) {
    limits_.onRejected(t, *why);
    runtime_.after(Duration{0}, [done = std::move(done)] { done({CommitOutcome::rejected, {}}); });
    return;
  }
  budget_.take(runtime_.now(), 1);
  http_.send(address_, {"POST", "/commit", encodeBody(toJson(t)), "", t.requestId}, timeout,
             [this, sent = std::make_shared<const Transaction>(t),
              done = std::move(done)](const std::optional<Response>& response) {
               const CommitResult result = commitResultOf(response);
               if (result.outcome == CommitOutcome::applied) limits_.onApplied();
               if (result.outcome == CommitOutcome::rejected) {
                 limits_.onRejected(*sent, errorOf(response));
               }
               if (onCommitOutcome) onCommitOutcome(result.outcome);
               done(result);
             });
}

void StoreClient::changes(const std::string& prefix, Revision since, Duration timeout,
                          std::function<void(ChangesResult)> done) {
  budget_.take(runtime_.now(), 1);
  std::string path =
      "/changes?prefix=" + prefix + "&since=" + std::to_string(since.value) + "&wait_ms=0";
  http_.send(address_, {"GET", path, ""}, timeout,
             [done = std::move(done)](std::optional<Response> r) {
               ChangesResult result;
               if (r && r->status == 410) {
                 result.kind = ChangesResult::Kind::tooOld;
                 return done(std::move(result));
               }
               auto body = r && r->status == 200 ? bodyOf(r) : std::nullopt;
               if (!body) return done(std::move(result));
               auto revision = countField(*body, "epoch");
               auto events = body->find("events");
               if (!revision || events == body->end() || !events->is_array()) {
                 return done(std::move(result));
               }
               for (auto& e : *events) {
                 if (auto dropped = textField(e, "drop")) {
                   auto modRevision = countField(e, "stamp");
                   if (!modRevision) return done(ChangesResult{});
                   result.changes.push_back({*dropped, std::nullopt, Revision{*modRevision}});
                 } else if (auto c = changeFrom(e, "set")) {
                   result.changes.push_back(std::move(*c));
                 } else {
                   return done(ChangesResult{});
                 }
               }
               result.kind = ChangesResult::Kind::ok;
               result.revision = Revision{*revision};
               done(std::move(result));
             });
}

void StoreClient::list(const std::string& prefix, const std::string& since, Duration timeout,
                       std::function<void(ListResult)> done) {
  budget_.take(runtime_.now(), 1);
  std::string path = "/store?prefix=" + prefix + "&page=200";
  if (!since.empty()) path += "&since=" + since;
  http_.send(address_, {"GET", path, ""}, timeout,
             [done = std::move(done)](std::optional<Response> r) {
               ListResult result;
               auto body = r && r->status == 200 ? bodyOf(r) : std::nullopt;
               if (!body) return done(std::move(result));
               auto revision = countField(*body, "epoch");
               auto rows = body->find("rows");
               if (!revision || rows == body->end() || !rows->is_array()) {
                 return done(std::move(result));
               }
               for (auto& row : *rows) {
                 auto c = changeFrom(row, "path");
                 if (!c) return done(ListResult{});
                 result.rows.push_back(std::move(*c));
               }
               result.ok = true;
               result.more = boolField(*body, "truncated").value_or(false);
               result.revision = Revision{*revision};
               done(std::move(result));
             });
}

void StoreClient::get(const std::string& key, Duration timeout,
                      std::function<void(GetResult)> done) {
  if (!tryAcquireRequest()) return done({});
  http_.send(address_, {"GET", "/store/" + key, ""}, timeout,
             [done = std::move(done)](std::optional<Response> r) {
               if (r && r->status == 404) return done({true, std::nullopt});
               auto body = r && r->status == 200 ? bodyOf(r) : std::nullopt;
               auto data = body ? body->find("data") : Json::iterator{};
               if (!body || data == body->end()) return done({});
               done({true, std::move(*data)});
             });
}

void StoreClient::grantLease(Duration timeToLive, Duration timeout,
                             std::function<void(std::optional<LeaseId>)> done) {
  budget_.take(runtime_.now(), 1);
  http_.send(address_, {"POST", "/leases", encodeBody({{"life_ms", timeToLive.count()}})}, timeout,
             [done = std::move(done)](std::optional<Response> r) {
               auto body = r && r->status == 200 ? bodyOf(r) : std::nullopt;
               auto id = body ? countField(*body, "ticket") : std::nullopt;
               done(id ? std::optional(LeaseId{*id}) : std::nullopt);
             });
}

void StoreClient::renewLease(LeaseId id, Duration timeout, std::function<void(LeaseOutcome)> done) {
  budget_.take(runtime_.now(), 1);
  http_.send(address_,
             {"POST", "/leases/" + std::to_string(id.value) + "/renew", encodeBody(Json::object())},
             timeout, [done = std::move(done)](std::optional<Response> r) {
               if (r && r->status == 200) return done(LeaseOutcome::ok);
               if (r && r->status == 404) return done(LeaseOutcome::notFound);
               done(LeaseOutcome::failed);
             });
}

void StoreClient::revokeLease(LeaseId id) {
  budget_.take(runtime_.now(), 1);
  http_.send(address_, {"DELETE", "/leases/" + std::to_string(id.value), ""}, Duration{2000},
             [](const std::optional<Response>&) {});
}

}  // namespace kestrelhoist
