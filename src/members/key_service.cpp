// Creates, lists and revokes keys for callers with the admin right. The client generates the secret
// and sends only its hash. All requests are idempotent.
#include <algorithm>

#include "base/log.hpp"
#include "base/query.hpp"
#include "members/service.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kCommitTimeout{1500};
constexpr std::size_t kMaxListedKeys = 200;
constexpr std::size_t kMaxNoteBytes = 200;
}  // namespace

bool MemberService::handleKeys(const Caller& caller, const Request& request,
                               const std::string& path, const Respond& respond) {
  const std::string root = "/v2/keys";
  std::string rest = path.substr(root.size());
  if (rest.empty()) {
    if (request.method == "POST") {
      write(caller, RequestKind::submit, respond,
            [this, caller, request](const Respond& answer) { createKey(caller, request, answer); });
    } else if (request.method == "GET") {
      auto mark = request.path.find('?');
      listKeys(caller, mark == std::string::npos ? "" : request.path.substr(mark + 1), respond);
    } else {
      respond(jsonResponse(405, {{"error", "wrong method"}}));
    }
    return true;
  }
  const std::string tail = "/revoke";
  if (rest[0] != '/' || !rest.ends_with(tail)) return false;
  std::string id = rest.substr(1, rest.size() - 1 - tail.size());
  if (request.method != "POST") {
    respond(jsonResponse(405, {{"error", "wrong method"}}));
  } else if (!validKeyId(id)) {
    respond(jsonResponse(404, {{"error", "no such key"}}));
  } else {
    write(caller, RequestKind::cancel, respond, [this, caller, id, request](const Respond& answer) {
      revokeKey(caller, KeyId{id}, request, 5, answer);
    });
  }
  return true;
}

Json MemberService::viewOf(const KeyId& id, const KeyRecord& r) const {
  Json v = {{"key", id.value},
            {"team", r.owner.team.value},
            {"member", r.owner.member},
            {"rights", rightsToString(r.rights)},
            {"at_ms", r.createdAtMs},
            {"ended", r.isExpiredAt(runtime_.wallMillis())},
            {"note", r.note}};
  if (r.expiresAtMs) v["ends_ms"] = *r.expiresAtMs;
  return v;
}

void MemberService::createKey(const Caller& caller, const Request& request,
                              const Respond& respond) {
  auto body = decodeBody(request.body);
  auto id = body ? textField(*body, "key") : std::nullopt;
  auto hash = body ? textField(*body, "hash") : std::nullopt;
  auto team = body ? textField(*body, "team") : std::nullopt;
  auto member = body ? textField(*body, "member") : std::nullopt;
  auto rights = body ? parseRights(textField(*body, "rights").value_or("")) : std::nullopt;
  std::string note = body ? textField(*body, "note").value_or("") : "";
  if (!id || !validKeyId(*id) || !hash || !validHash(*hash) || !team || !member ||
      !validMember(*member) || !rights || note.size() > kMaxNoteBytes) {
    return respond(jsonResponse(400, {{"error", "not the description of a key"}}));
  }
  if (!caller.root && *team != caller.owner.team.value) {
    return respond(jsonResponse(403, {{"error", "not a key of this team"}}));
  }
  if (!platform_.teams.contains(TeamId{*team})) {
    return respond(jsonResponse(422, {{"error", "unknown team"}}));
  }
  KeyId key{*id};
  KeyRecord record{*hash, {TeamId{*team}, *member}, *rights, runtime_.wallMillis(), {}, note};
  Transaction t;
  t.requestId = request.id;
  t.compares.push_back({keys::key(key), Revision{}});
  t.writes.push_back({keys::key(key), toJson(record), std::nullopt});
  store_.commit(t, kCommitTimeout, [this, key, record, t, respond](const CommitResult& r) {
    if (r.outcome == CommitOutcome::applied) {
      replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
      logInfo("key created", "key", key, "team", record.owner.team, "request", t.requestId);
      return respond(jsonResponse(201, viewOf(key, record)));
    }
    if (r.outcome != CommitOutcome::conflict) return respond(retryLater(503));
    // A key with this id exists. Either an earlier send of this request made it, or it is another
    // key.
    watcher_.linearizableRead([this, key, record, respond](bool ok) {
      const auto* entry = ok ? replica_.keyRing().find(key) : nullptr;
      if (!entry) return respond(retryLater(503));
      const KeyRecord& known = entry->record;
      bool same =
          known.hash == record.hash && known.owner == record.owner && known.rights == record.rights;
      respond(same ? jsonResponse(200, viewOf(key, known))
                   : jsonResponse(409, {{"error", "another key has this id"}}));
    });
  });
}

void MemberService::listKeys(const Caller& caller, const std::string& query,
                             const Respond& respond) {
  std::string team = queryValue(query, "team"), member = queryValue(query, "member");
  std::string from = queryValue(query, "after");
  if (!caller.root) {
    if (!team.empty() && team != caller.owner.team.value) {
      return respond(jsonResponse(403, {{"error", "not a key of this team"}}));
    }
    team = caller.owner.team.value;
  }
  watcher_.linearizableRead([this, team, member, from, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    std::vector<KeyId> ids;
    for (const auto& [id, entry] : replica_.keyRing().all()) {
      const Owner& owner = entry.record.owner;
      if (id.value > from && (team.empty() || owner.team.value == team) &&
          (member.empty() || owner.member == member)) {
        ids.push_back(id);
      }
    }
    std::sort(ids.begin(), ids.end());
    bool more = ids.size() > kMaxListedKeys;
    if (more) ids.resize(kMaxListedKeys);
    Json list = Json::array();
    for (const auto& id : ids) list.push_back(viewOf(id, replica_.keyRing().find(id)->record));
    respond(jsonResponse(200, {{"keys", std::move(list)}, {"more", more}}));
  });
}

// The record of a revoked key is kept, because otherwise a delayed duplicate of the request that
// made the key would make it again.
void MemberService::revokeKey(const Caller& caller, const KeyId& id, const Request& request,
                              int triesLeft, const Respond& respond) {
  auto body = request.body.empty() ? std::optional(Json::object()) : decodeBody(request.body);
  double afterS = body ? numberField(*body, "after_s").value_or(0) : -1;
  if (afterS < 0 || afterS > 366 * 86400.0) {
    return respond(jsonResponse(400, {{"error", "after_s is no good"}}));
  }
  watcher_.linearizableRead([this, caller, id, request, afterS, triesLeft, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const auto* entry = replica_.keyRing().find(id);
    // A key of another team gets the same answer as a key that does not exist.
    if (!entry || (!caller.root && entry->record.owner.team != caller.owner.team)) {
      return respond(jsonResponse(404, {{"error", "no such key"}}));
    }
    KeyRecord record = entry->record;
    std::int64_t ends = runtime_.wallMillis() + static_cast<std::int64_t>(afterS * 1000);
    if (record.expiresAtMs && *record.expiresAtMs <= ends) {
      return respond(jsonResponse(200, viewOf(id, record)));
    }
    record.expiresAtMs = ends;
    Transaction t;
    t.requestId = request.id;
    t.compares.push_back({keys::key(id), entry->modRevision});
    t.writes.push_back({keys::key(id), toJson(record), std::nullopt});
    store_.commit(
        t, kCommitTimeout,
        [this, caller, id, request, record, t, triesLeft, respond](const CommitResult& r) {
          if (r.outcome == CommitOutcome::applied) {
            replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
            logInfo("key expiry set", "key", id, "request", t.requestId);
            return respond(jsonResponse(200, viewOf(id, record)));
          }
          if (r.outcome == CommitOutcome::conflict && triesLeft > 0) {
            return revokeKey(caller, id, request, triesLeft - 1, respond);
          }
          respond(retryLater(503));
        });
  });
}

// Writes the secret from which all controllers derive the encryption key of cursors. The first
// controller to commit sets it; the transactions of the others fail with a conflict.
void MemberService::createCursorSecret() {
  if (creatingCursorSecret_) return;
  creatingCursorSecret_ = true;
  Transaction t;
  t.compares.push_back({keys::kCursorKey, Revision{}});
  t.writes.push_back(
      {keys::kCursorKey, Json{{"secret", generateCredential().secret}}, std::nullopt});
  store_.commit(t, kCommitTimeout, [this](const CommitResult&) {
    runtime_.after(Duration{1000}, [this] { creatingCursorSecret_ = false; });
  });
}

}  // namespace kestrelhoist
