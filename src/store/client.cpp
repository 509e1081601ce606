#include "store/client.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

Json transactionBody(const Transaction& t) {
  Json when = Json::array();
  for (const auto& c : t.compares)
    when.push_back({{"path", c.key}, {"stamp", c.modRevision.value}});
  Json writes = Json::array();
  for (const auto& w : t.writes) {
    if (!w.value) {
      writes.push_back({{"drop", w.key}});
      continue;
    }
    Json entry = {{"set", w.key}, {"data", *w.value}};
    if (w.lease) entry["ticket"] = w.lease->value;
    writes.push_back(std::move(entry));
  }
  return {{"when", std::move(when)}, {"writes", std::move(writes)}};
}

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
                         double requestsPerS)
    : runtime_(runtime),
      http_(http),
      address_(std::move(address)),
      budget_(requestsPerS, requestsPerS) {}

void StoreClient::commit(const Transaction& t, Duration timeout,
                         std::function<void(CommitResult)> done) {
  budget_.take(runtime_.now(), 1);
  http_.send(address_, {"POST", "/commit", encodeBody(transactionBody(t)), "", t.requestId},
             timeout,
             [observe = onCommitOutcome, answer = std::move(done)](std::optional<Response> r) {
               auto done = [&](const CommitResult& result) {
                 if (observe) observe(result.outcome);
                 answer(result);
               };
               if (!r) return done({CommitOutcome::unknown, {}});
               auto body = bodyOf(r);
               auto revision = body ? countField(*body, "epoch") : std::nullopt;
               if (r->status == 200) {
                 // The transaction was applied, but the malformed answer has no revision.
                 if (!revision) return done({CommitOutcome::unknown, {}});
                 return done({CommitOutcome::applied, Revision{*revision}});
               }
               if (r->status == 409)
                 return done({CommitOutcome::conflict, Revision{revision.value_or(0)}});
               if (r->status == 429 || r->status == 503) return done({CommitOutcome::refused, {}});
               if (r->status == 400) {
                 auto error = body ? textField(*body, "error") : std::nullopt;
                 if (error == "no such lease") return done({CommitOutcome::noLease, {}});
                 logError("state service rejected a transaction", "why", error.value_or("?"));
                 return done({CommitOutcome::rejected, {}});
               }
               done({CommitOutcome::unknown, {}});
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
