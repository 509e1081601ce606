#include "policy/service.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {
constexpr Duration kCommitTimeout{1500};
// These bytes of a stored value are reserved for the fields around the policy document.
constexpr std::size_t kOverheadBytes = 256;
}  // namespace

bool PolicyService::handle(const Request& request, const Respond& respond) {
  std::string path = request.path.substr(0, request.path.find('?'));
  if (path != "/mesh/policy" && path != "/mesh/paid") return false;
  if (request.method == "GET") {
    watcher_.linearizableRead([this, respond, path](bool ok) {
      if (!ok) return respond(retryLater(503));
      respond(jsonResponse(200, path == "/mesh/paid" ? paid() : view()));
    });
    return true;
  }
  auto body = decodeBody(request.body);
  if (request.method != "POST" || path != "/mesh/policy") {
    respond(jsonResponse(405, {{"error", "wrong method"}}));
  } else if (!body || !body->is_object() || !textField(*body, "request") ||
             !body->contains("document") || !hasJsonText(*body)) {
    respond(jsonResponse(400, {{"error", "/: not a policy with a request's name"}}));
  } else {
    set(*body, respond);
  }
  return true;
}

Json PolicyService::view() const {
  Json v = {{"version", policyReplica_.version()}, {"document", nullptr}, {"past", Json::array()}};
  if (const auto& now = policyReplica_.current()) {
    v = toJson(*now);
    v["past"] = Json::array();
  }
  for (const auto& [n, p] : policyReplica_.past()) v["past"].push_back(toJson(p));
  Json s = toJson(policyReplica_.state());
  for (const char* own : {"day", "acted"}) s.erase(own);
  for (auto& [image, held] : s["pools"].items()) held.erase("starts");
  v["standing"] = std::move(s);
  return v;
}

Json PolicyService::paid() const {
  auto list = [](const std::map<std::int64_t, ChargeRecord>& of) {
    Json out = Json::array();
    for (const auto& [n, r] : of) {
      Json v = toJson(r);
      v["number"] = n;
      out.push_back(std::move(v));
    }
    return out;
  };
  return {{"hours", list(policyReplica_.hours())}, {"days", list(policyReplica_.days())}};
}

Json PolicyService::effectOf(const Policy& policy) const {
  std::size_t kept = 0;
  std::map<std::string, std::pair<std::size_t, std::size_t>> periods;
  for (const auto& p : policy.calendar.periods) periods[p.name];
  for (const auto& [id, job] : replica_.liveJobs()) {
    if (!job->active() || !job->record.spec) continue;
    const JobSpec& spec = *job->record.spec;
    bool service = spec.kind == JobKind::service;
    kept += service && anyMatches(policy.continuity.services, spec) ? 1 : 0;
    for (const auto& p : policy.calendar.periods) {
      bool first = anyMatches(p.first, spec);
      periods[p.name].first += first ? 1 : 0;
      periods[p.name].second += !first && !service && anyMatches(p.yields, spec) ? 1 : 0;
    }
  }
  Json v = {{"services_kept", kept}, {"periods", Json::object()}};
  for (const auto& [name, n] : periods) {
    v["periods"][name] = {{"first", n.first}, {"yield", n.second}};
  }
  auto open = occurrenceAt(policy.calendar, runtime_.wallMillis());
  if (open) v["open"] = policy.calendar.periods[open->period].name;
  return v;
}

std::optional<std::uint64_t> PolicyService::versionOf(const std::string& request) const {
  if (policyReplica_.current() && policyReplica_.current()->by == request)
    return policyReplica_.current()->version;
  for (const auto& [version, past] : policyReplica_.past()) {
    if (past.by == request) return version;
  }
  return std::nullopt;
}

// Sets the policy with a compare-and-swap on the version that the operator has read and on the
// record's revision, so that one of two concurrent changes is rejected. The name of the request
// distinguishes a retry of a request from a change by another operator.
void PolicyService::set(const Json& body, const Respond& respond) {
  std::shared_ptr<const Policy> policy;
  if (!body["document"].is_null()) {
    try {
      policy = parsePolicy(body["document"]);
    } catch (const std::exception& e) {
      return respond(jsonResponse(400, {{"error", e.what()}}));
    }
    if (jsonBytes(body["document"]) + kOverheadBytes > platform_.valueBytes) {
      return respond(
          jsonResponse(400, {{"error", "/: takes more than the " +
                                           std::to_string(platform_.valueBytes - kOverheadBytes) +
                                           " bytes of a value"}}));
    }
  }
  watcher_.linearizableRead([this, body, policy, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    auto request = *textField(body, "request");
    auto expected = countField(body, "if");
    const auto& now = policyReplica_.current();
    Json result = {{"version", policyReplica_.version()}};
    // A retry returns the version that the first attempt has set, even if the policy has changed
    // since then; it must not undo the later change.
    if (auto version = versionOf(request)) {
      return respond(jsonResponse(200, {{"version", *version}}));
    }
    if (expected && *expected != policyReplica_.version()) {
      result["error"] = "version " + std::to_string(policyReplica_.version()) + " was first";
      return respond(jsonResponse(409, result));
    }
    if (boolField(body, "check").value_or(false)) {
      result["effect"] = effectOf(policy ? *policy : Policy{});
      return respond(jsonResponse(200, result));
    }
    PolicyVersion next{policyReplica_.version() + 1, runtime_.wallMillis(), request,
                       body["document"]};
    auto part = [&](const std::string& key, Json value) {
      return TransactionPart{{{key, replica_.modRevisionOf(key)}},
                             {{key, std::move(value), std::nullopt}}};
    };
    TransactionBuilder builder(store_.limits(), {});
    if (builder.add(part(keys::kPolicy, toJson(next))) != TransactionBuilder::Result::added) {
      return respond(jsonResponse(400, {{"error", "/: does not fit into the state service"}}));
    }
    // A policy that was set under a larger value limit may be too large to be kept as a past
    // version.
    if (now) {
      builder.add(
          part(keys::kPolicyPast + std::to_string(now->version % PolicyReplica::kVersionsKept),
               toJson(*now)));
    }
    Transaction t = builder.take();
    t.parts = 1;  // The past version is kept by the same change as the new one.
    store_.commit(t, kCommitTimeout, [this, t, next, request, respond](CommitResult r) {
      switch (r.outcome) {
        case CommitOutcome::applied:
          for (const auto& w : t.writes) replica_.apply({w.key, w.value, r.revision});
          logInfo("policy set", "version", next.version);
          return respond(jsonResponse(200, {{"version", next.version}}));
        case CommitOutcome::conflict:
          // The conflicting change may be an earlier attempt of this request whose response was
          // lost.
          return watcher_.linearizableRead([this, request, respond](bool ok) {
            if (!ok) return respond(retryLater(503));
            auto version = versionOf(request);
            respond(version ? jsonResponse(200, {{"version", *version}})
                            : jsonResponse(409, {{"error", "another change was first"}}));
          });
        default:
          // The change may have been committed; a retry of the same request returns the outcome.
          return respond(retryLater(503));
      }
    });
  });
}

}  // namespace kestrelhoist
