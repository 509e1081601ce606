#include "jobs/service.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

// One controller may use this share of the state service's write rate for user requests, also in a
// burst.
constexpr double kUserWriteShare = 0.4;

// A request that waits for the write rate limit checks it again after at most this time.
constexpr Duration kMaxSlotWait{200};
constexpr int kCancelTries = 5;

const char* phaseName(const JobState& job) {
  switch (job.phase()) {
    case JobPhase::done:
      return "done";
    case JobPhase::cancelled:
      return "withdrawn";
    default:
      return job.placed.empty() ? "pending" : "running";
  }
}

}  // namespace

JobId JobService::jobIdOf(const std::string& ref, const Owner* member) {
  return member ? memberJob(*member, ref) : JobId{ref};
}

Response JobService::stateResponse(const JobId& id, const JobState& job, int status) {
  return jsonResponse(status, view(id, job));
}

JobService::JobService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher,
                       Replica& replica, const Platform& platform,
                       const ControllerVersions& versions)
    : runtime_(runtime),
      store_(store),
      watcher_(watcher),
      replica_(replica),
      platform_(platform),
      versions_(versions),
      userWriteRate_(platform.stateWritesPerS * kUserWriteShare,
                     std::max(2.0, platform.stateWritesPerS * kUserWriteShare)) {}

bool JobService::handle(const Request& request, const Respond& respond, const Owner* member) {
  std::string path = request.path.substr(0, request.path.find('?'));
  const std::string root = "/v2/runs";
  if (!path.starts_with(root)) return false;
  std::string rest = path.substr(root.size());
  auto wrongMethod = [&] { respond(jsonResponse(405, {{"error", "wrong method"}})); };
  if (rest.empty()) {
    if (request.method != "POST") return wrongMethod(), true;
    submit(request, member, respond);
    return true;
  }
  if (rest[0] != '/') return false;
  rest.erase(0, 1);
  auto slash = rest.find('/');
  std::string ref = rest.substr(0, slash);
  std::string tail = slash == std::string::npos ? "" : rest.substr(slash);
  if (!tail.empty() && tail != "/abort") return false;
  if (request.method != (tail.empty() ? "GET" : "POST")) return wrongMethod(), true;
  if (!validJobId(ref)) {
    respond(jsonResponse(404, {{"error", "no such job"}}));
  } else if (tail.empty()) {
    poll(jobIdOf(ref, member), respond);
  } else {
    cancel(jobIdOf(ref, member), kCancelTries, request, respond);
  }
  return true;
}

const JobState* JobService::findJob(const JobId& id) const {
  const auto* job = replica_.job(id);
  return job && job->record.spec ? job : nullptr;
}

const Catalogue* JobService::catalogue() const {
  // The first record is the last one to be written, but it may be read before the others.
  const Revision modRevision =
      replica_.catalogue() ? replica_.modRevisionOf(keys::kCatalogue) : Revision{};
  if (modRevision != catalogueRevision_) {
    catalogueRevision_ = modRevision;
    catalogue_ = replica_.catalogue() ? catalogueFromJson(*replica_.catalogue())
                                      : std::optional<Catalogue>{};
  }
  return catalogue_ ? &*catalogue_ : nullptr;
}

Json JobService::view(const JobId& id, const JobState& job, bool withDigest) {
  const auto& owner = job.record.owner;
  Json v = {{"ref", owner ? owner->ref : id.value},
            {"phase", phaseName(job)},
            {"done", std::min(job.finishedCount, job.tasks)},
            {"running", job.active() ? job.placed.size() : 0}};
  if (owner) {
    // These fields allow a member to verify that an existing job with this id is the job that the
    // member wants to submit.
    v["job"] = id.value;
    v["tasks"] = job.tasks;
    v["class"] = job.record.spec->jobClass;
    v["at_ms"] = job.record.acceptedAtMs;
    if (withDigest) v["digest"] = specDigest(*job.record.spec);
  }
  return v;
}

void JobService::poll(const JobId& id, const Respond& respond) {
  // The phases done and cancelled are final, so that no linearizable read is necessary.
  if (const auto* job = findJob(id); job && !job->active())
    return respond(stateResponse(id, *job, 200));
  watcher_.linearizableRead([this, id, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const auto* job = findJob(id);
    respond(job ? stateResponse(id, *job, 200) : jsonResponse(404, {{"error", "no such job"}}));
  });
}

void JobService::answerAfterRead(const JobId& id, const Respond& respond,
                                 std::function<void()> otherwise) {
  watcher_.linearizableRead([this, id, respond, otherwise = std::move(otherwise)](bool ok) {
    if (!ok) return respond(retryLater(503));
    if (const auto* job = findJob(id)) return respond(stateResponse(id, *job, 200));
    otherwise();
  });
}

void JobService::withWriteSlot(const Respond& respond, std::function<void()> next, int triesLeft) {
  if (requestsInProgress_ >= kMaxRequestsInProgress) return respond(retryLater(429));
  Duration wait = userWriteRate_.waitFor(runtime_.now(), 1);
  if (wait.count() == 0) {
    userWriteRate_.take(runtime_.now(), 1);
    next();
    return;
  }
  if (triesLeft == 0) return respond(retryLater(429));
  ++requestsInProgress_;
  runtime_.after(std::min(wait, kMaxSlotWait), [this, respond, next = std::move(next), triesLeft] {
    --requestsInProgress_;
    withWriteSlot(respond, next, triesLeft - 1);
  });
}

void JobService::cancel(const JobId& id, int triesLeft, const Request& request,
                        const Respond& respond) {
  if (const auto* job = findJob(id); job && !job->active()) {
    return respond(stateResponse(id, *job, 200));
  }
  watcher_.linearizableRead([this, id, triesLeft, request, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const auto* job = findJob(id);
    if (!job) return respond(jsonResponse(404, {{"error", "no such job"}}));
    if (!job->active()) return respond(stateResponse(id, *job, 200));
    commitCancellation(id, *job, triesLeft, request, respond);
  });
}

void JobService::commitCancellation(const JobId& id, const JobState& job, int triesLeft,
                                    const Request& request, const Respond& respond) {
  JobRecord record = job.record;
  record.phase = JobPhase::cancelled;
  Transaction transaction;
  transaction.requestId = request.id;
  // The transaction compares the revision that was read, so that it fails if a placement or the end
  // of the job is committed in between.
  transaction.compares.push_back({keys::job(id), job.modRevision});
  transaction.writes.push_back(endedJobWrite(id, record, job.modRevision, store_.limits()));
  store_.commit(
      transaction, kCommitTimeout,
      [this, id, transaction, triesLeft, request, respond](CommitResult result) {
        if (result.outcome == CommitOutcome::applied) {
          return cancelled(id, transaction, result.revision, respond);
        }
        if (result.outcome == CommitOutcome::conflict && triesLeft > 0) {
          return cancel(id, triesLeft - 1, request, respond);
        }
        if (result.outcome == CommitOutcome::refused && triesLeft > 0 && watcher_.isReachable()) {
          runtime_.after(kRetryDelay, [this, id, triesLeft, request, respond] {
            cancel(id, triesLeft - 1, request, respond);
          });
          return;
        }
        respond(retryLater(503));
      });
}

void JobService::cancelled(const JobId& id, const Transaction& transaction, Revision revision,
                           const Respond& respond) {
  const Write& write = transaction.writes[0];
  replica_.apply({write.key, write.value, revision});
  logInfo("job cancelled by its user", "job", id, "request", transaction.requestId);
  if (onCommitted) onCommitted();
  const auto* job = write.value->contains("owner") ? findJob(id) : nullptr;
  respond(job ? stateResponse(id, *job, 200)
              : jsonResponse(200, {{"ref", id.value}, {"phase", "withdrawn"}}));
}

}  // namespace kestrelhoist
