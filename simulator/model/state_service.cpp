#include "simulator/model/state_service.hpp"

#include <algorithm>

namespace kestrelhoist::simulator {
namespace {

// The bounds of a lease's life in PROTOCOL.
constexpr std::uint64_t kMinLeaseMs = 100;
constexpr std::uint64_t kMaxLeaseMs = 600000;

std::map<std::string, std::string> queryOf(const std::string& path) {
  std::map<std::string, std::string> out;
  auto mark = path.find('?');
  while (mark != std::string::npos) {
    auto next = path.find('&', mark + 1);
    auto part = path.substr(mark + 1, next == std::string::npos ? next : next - mark - 1);
    auto eq = part.find('=');
    if (eq != std::string::npos) out[part.substr(0, eq)] = part.substr(eq + 1);
    mark = next;
  }
  return out;
}

}  // namespace

StateService::StateService(Clock& clock, Transport& transport, const std::string& address)
    : clock_(clock) {
  transport.listen(address, [this](const std::string& from, const Request& q,
                                   const Respond& respond) { respond(handle(from, q)); });
}

void StateService::outage(std::int64_t ms) {
  expire();
  outageUntil_ = std::max(outageUntil_, clock_.now() + ms);
  // After the outage, every lease has its full duration again.
  for (auto& [id, lease] : leases_) lease.expiresAtMs = outageUntil_ + lease.durationMs;
}

void StateService::drop(const std::string& key) {
  entries_.erase(key);
  changeLog_.push_back({key, std::nullopt, revision_});
}

void StateService::expire() {
  if (clock_.now() < outageUntil_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expiresAtMs > clock_.now()) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (entry.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) drop(key);
    it = leases_.erase(it);
  }
}

Response StateService::handle(const std::string& from, const Request& q) {
  expire();
  auto rejected = rejectedUntil_.find(from);
  if (clock_.now() < outageUntil_ ||
      (rejected != rejectedUntil_.end() && clock_.now() < rejected->second)) {
    return jsonResponse(503, {{"error", "trouble"}});
  }
  std::string path = q.path.substr(0, q.path.find('?'));
  auto body = decodeBody(q.body, kInternalLimits);
  if (path == "/commit") {
    return body && body->is_object() ? commit(*body) : jsonResponse(400, Json::object());
  }
  if (q.method == "GET") ++readCount;
  if (path == "/store") return list(queryOf(q.path));
  if (path.starts_with("/store/")) {
    auto it = entries_.find(path.substr(7));
    if (it == entries_.end()) return jsonResponse(404, {{"epoch", revision_}});
    Json v = {{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.revision}};
    if (it->second.lease != 0) v["ticket"] = it->second.lease;
    return jsonResponse(200, v);
  }
  if (path == "/changes") return changes(queryOf(q.path));
  if (path == "/leases") {
    auto lifeMs = body ? countField(*body, "life_ms") : std::nullopt;
    if (!lifeMs || *lifeMs < kMinLeaseMs || *lifeMs > kMaxLeaseMs) {
      return jsonResponse(400, Json::object());
    }
    auto id = nextLease_++;
    auto durationMs = static_cast<std::int64_t>(*lifeMs);
    leases_[id] = {durationMs, clock_.now() + durationMs};
    if (onLease) onLease(from);
    return jsonResponse(200, {{"ticket", id}});
  }
  if (path.starts_with("/leases/")) {
    auto id = std::stoull(path.substr(8));
    auto it = leases_.find(id);
    if (it == leases_.end()) return jsonResponse(404, Json::object());
    if (q.method == "DELETE") {
      it->second.expiresAtMs = 0;
      expire();
    } else {
      it->second.expiresAtMs = clock_.now() + it->second.durationMs;
    }
    return jsonResponse(200, {{"ticket", id}});
  }
  return jsonResponse(400, Json::object());
}

// A token bucket limits the changes: it refills with writesPerS tokens per second and holds at most
// the tokens of one second.
bool StateService::exceedsWriteRate(std::size_t changes) {
  if (writesPerS <= 0) return false;
  double since = static_cast<double>(clock_.now() - availableChangesAt_) / 1000.0;
  availableChanges_ = std::min(writesPerS, availableChanges_ + since * writesPerS);
  availableChangesAt_ = clock_.now();
  auto n = static_cast<double>(changes);
  if (availableChanges_ < n) return true;
  availableChanges_ -= n;
  return false;
}

Response StateService::commit(const Json& body) {
  const Json& when = body.at("when");
  const Json& writes = body.at("writes");
  if (rejectsTransaction && rejectsTransaction(writes))
    return jsonResponse(503, {{"error", "trouble"}});
  changeCount += writes.size();
  if (exceedsWriteRate(writes.size())) {
    ++rejectedForRate;
    return jsonResponse(429, {{"error", "too many changes"}});
  }
  if (writes.size() > transactionOps || when.size() > 4 * transactionOps ||
      body.dump().size() > 64 * 1024) {
    ++rejectedForSize;
    return jsonResponse(400, {{"error", "too large"}});
  }
  for (const auto& w : writes) {
    if (w.contains("data") && w["data"].dump().size() > valueBytes) {
      ++rejectedForSize;
      return jsonResponse(400, {{"error", "value too large"}});
    }
    if (w.contains("ticket") && !leases_.contains(w["ticket"].get<std::uint64_t>())) {
      return jsonResponse(400, {{"error", "no such lease"}});
    }
  }
  Json failed = Json::array();
  for (const auto& c : when) {
    auto it = entries_.find(c["path"].get<std::string>());
    std::uint64_t revision = it == entries_.end() ? 0 : it->second.revision;
    if (revision != c["stamp"].get<std::uint64_t>()) failed.push_back(c["path"]);
  }
  if (!failed.empty()) return jsonResponse(409, {{"failed", failed}, {"epoch", revision_}});
  if (!writes.empty()) ++revision_;
  for (const auto& w : writes) {
    if (w.contains("drop")) {
      drop(w["drop"].get<std::string>());
      continue;
    }
    auto key = w["set"].get<std::string>();
    entries_[key] = {w["data"], revision_, w.value("ticket", std::uint64_t{0}),
                     w["data"].dump().size()};
    changeLog_.push_back({key, w["data"], revision_});
    writtenBytes += entries_[key].bytes;
  }
  if (onCommit) onCommit(writes);
  return jsonResponse(200, {{"epoch", revision_}});
}

std::vector<std::string> StateService::keysBelow(const std::string& prefix) const {
  std::vector<std::string> out;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    out.push_back(it->first);
  }
  return out;
}

const Json* StateService::valueOf(const std::string& key) const {
  auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second.data;
}

void StateService::put(const std::string& key, Json value) {
  ++revision_;
  changeLog_.push_back({key, value, revision_});
  std::size_t bytes = value.dump().size();
  entries_[key] = {std::move(value), revision_, 0, bytes};
}

void StateService::rewrite(const std::string& key) {
  Entry& entry = entries_.at(key);
  entry.revision = ++revision_;
  changeLog_.push_back({key, entry.data, revision_});
}

Response StateService::list(const std::map<std::string, std::string>& query) {
  const auto& prefix = query.at("prefix");
  std::size_t page = std::stoul(query.at("page"));
  auto since = query.find("since");
  Json rows = Json::array();
  bool more = false;
  // A page has at most 1,000 rows (fewer if a scenario sets a smaller limit) and 512 KiB.
  constexpr std::size_t kMaxPageBytes = 512 * 1024;
  page = std::min(page, maxPageRows);
  std::size_t bytes = 0;
  auto from =
      since == query.end() ? entries_.lower_bound(prefix) : entries_.upper_bound(since->second);
  for (; from != entries_.end(); ++from) {
    const auto& [key, entry] = *from;
    if (key < prefix) continue;
    if (!key.starts_with(prefix)) break;
    bytes += entry.bytes + key.size() + 40;
    if (rows.size() == page || (bytes > kMaxPageBytes && !rows.empty())) {
      more = true;
      break;
    }
    rows.push_back({{"path", key}, {"data", entry.data}, {"stamp", entry.revision}});
  }
  return jsonResponse(200, {{"rows", rows}, {"truncated", more}, {"epoch", revision_}});
}

Response StateService::changes(const std::map<std::string, std::string>& query) {
  const auto& prefix = query.at("prefix");
  std::uint64_t since = std::stoull(query.at("since"));
  constexpr std::size_t kKeptChanges = 10000;
  // The log is truncated to bound its memory; a request for older changes gets 410 below.
  if (changeLog_.size() > 4 * kKeptChanges)
    changeLog_.erase(changeLog_.begin(), changeLog_.end() - kKeptChanges);
  if (changeLog_.size() > kKeptChanges &&
      changeLog_[changeLog_.size() - kKeptChanges].revision > since) {
    return jsonResponse(410, Json::object());
  }
  Json events = Json::array();
  auto first = std::upper_bound(changeLog_.begin(), changeLog_.end(), since,
                                [](std::uint64_t s, const Change& c) { return s < c.revision; });
  for (; first != changeLog_.end(); ++first) {
    const Change& c = *first;
    if (!c.key.starts_with(prefix)) continue;
    if (c.data) {
      events.push_back({{"set", c.key}, {"data", *c.data}, {"stamp", c.revision}});
    } else {
      events.push_back({{"drop", c.key}, {"stamp", c.revision}});
    }
  }
  return jsonResponse(200, {{"epoch", revision_}, {"events", events}});
}

}  // namespace kestrelhoist::simulator
