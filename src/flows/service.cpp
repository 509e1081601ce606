#include "flows/service.hpp"

#include <algorithm>
#include <charconv>

#include "flows/answers.hpp"

namespace kestrelhoist {
namespace {

constexpr Duration kCommitTimeout{1500};
constexpr std::size_t kMaxPendingCommits = 32;  // Requests above this limit get status 429.
constexpr double kUploadShare = 0.3;  // One controller may use this share of the write rate.
constexpr int kCancelRetries = 5;     // A cancellation is retried after a conflict.

std::optional<std::uint32_t> parseNumber(const std::string& text) {
  std::uint32_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

}  // namespace

FlowService::FlowService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher,
                         Replica& replica, const Platform& platform,
                         const OperatorSettings& settings,
                         std::function<const Catalogue*()> catalogue)
    : runtime_(runtime),
      store_(store),
      watcher_(watcher),
      replica_(replica),
      platform_(platform),
      settings_(settings),
      catalogue_(std::move(catalogue)),
      writeBudget_(platform.stateWritesPerS * kUploadShare,
                   std::max(static_cast<double>(platform.transactionOps),
                            platform.stateWritesPerS * kUploadShare)) {}

bool FlowService::handle(const Request& request, const Respond& respond) {
  if (!settings_.flows) return false;
  auto path = parseFlowPath(request.path);
  auto route = path ? routeOf(*path) : std::nullopt;
  if (!route) return false;
  if (request.method != (isWriteRoute(*route) ? "POST" : "GET")) {
    respond(errorResponse(405, "wrong method"));
  } else if (isWriteRoute(*route)) {
    handleWrite(*route, *path, request, respond);
  } else {
    handleRead(*route, *path, respond);
  }
  return true;
}

void FlowService::handleRead(FlowRoute route, const FlowPath& path, const Respond& respond) {
  const auto& segments = path.segments;
  if (route == FlowRoute::list) return list(path.query, respond);
  if (route == FlowRoute::account) return account(path.query, respond);
  if (route == FlowRoute::task) {
    auto number = parseNumber(segments[2]);
    if (!number) return respond(errorResponse(404, "no such task"));
    return task(JobId{segments[1]}, *number, respond);
  }
  FlowId id{segments[0]};
  if (route == FlowRoute::text) {
    auto part = parseNumber(segments[3]);
    if (!isValidFlowId(id.value) || !isValidDigest(segments[2]) || !part) {
      return respond(errorResponse(404, "no such text"));
    }
    return text(id, Digest{segments[2]}, *part, respond);
  }
  if (!isValidFlowId(id.value)) return respond(errorResponse(404, "no such flow"));
  if (route == FlowRoute::report) return report(id, respond);
  if (route == FlowRoute::failures) return failures(id, respond);
  status(id, respond);
}

void FlowService::handleWrite(FlowRoute route, const FlowPath& path, const Request& request,
                              const Respond& respond) {
  FlowId id{path.segments[0]};
  if (!isValidFlowId(id.value)) return respond(errorResponse(404, "no such flow"));
  if (route == FlowRoute::cancel) return cancel(id, kCancelRetries, respond);
  auto parsed = decodeBody(request.body);
  if (!parsed || !parsed->is_object()) return respond(errorResponse(400, "not a map"));
  auto body = std::make_shared<const Json>(std::move(*parsed));
  if (route == FlowRoute::uploads) return announce(id, body, respond);
  if (route == FlowRoute::parts) return storeParts(id, body, respond);
  commit(id, body, respond);
}

void FlowService::commitIfWithinRate(Transaction t, std::function<void(CommitResult)> done,
                                     const Respond& respond) {
  // The request is refused immediately instead of queued, because the client retries.
  if (pendingCommits_ >= kMaxPendingCommits ||
      !writeBudget_.take(runtime_.now(), static_cast<double>(t.writes.size()))) {
    return respond(retryLater(429));
  }
  ++pendingCommits_;
  store_.commit(t, kCommitTimeout, [this, t, done = std::move(done)](CommitResult r) {
    --pendingCommits_;
    if (r.outcome == CommitOutcome::applied) {
      for (const auto& w : t.writes) replica_.apply({w.key, w.value, r.revision});
    }
    done(r);
  });
}

}  // namespace kestrelhoist
