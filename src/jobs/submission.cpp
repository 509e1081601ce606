// This file implements the job submission of JobService; service.cpp implements its routing, polls
// and cancellations.
#include <algorithm>

#include "base/log.hpp"
#include "jobs/service.hpp"

namespace kestrelhoist {
namespace {

constexpr int kCreateTries = 3;
// Record format 2 introduces job dependencies. A controller with an older format ignores them and
// would start dependent jobs too early.
constexpr unsigned kFormatWithDependencies = 2;

}  // namespace

void JobService::submit(const Request& request, const Owner* member, const Respond& answer) {
  auto respond = [answer, started = runtime_.now(), this](const Response& response) {
    if (response.status >= 300) {
      logDebug("submission answered", "status", response.status, "ms", runtime_.now() - started);
    }
    answer(response);
  };
  auto body = decodeBody(request.body);
  if (!body || !body->is_object()) return respond(jsonResponse(400, {{"error", "not a CBOR map"}}));
  auto ref = textField(*body, "ref");
  if (!ref || !validJobId(*ref)) return respond(jsonResponse(400, {{"error", "bad ref"}}));
  JobId id = jobIdOf(*ref, member);
  if (const auto* job = findJob(id); job && !job->active()) {
    return respond(stateResponse(id, *job, 200));
  }
  if (!watcher_.isLoaded()) return respond(retryLater(503));

  auto parsed = parseSubmission(*body);
  std::optional<Response> refusal = checkSubmission(parsed, member);
  std::shared_ptr<const Submission> submission;
  if (!refusal) {
    JobSpec spec = std::get<JobSpec>(std::move(parsed));
    spec.id = id;
    for (auto& dependency : spec.dependsOn) dependency = jobIdOf(dependency.value, member);
    refusal = checkDependencies(spec.dependsOn);
    auto owner = member ? std::make_shared<const JobOwner>(JobOwner{*member, *ref}) : nullptr;
    if (auto prepared = prepareSubmission(std::move(spec), std::move(owner), request.id,
                                          runtime_.wallMillis(), platform_.valueBytes)) {
      submission = std::make_shared<const Submission>(std::move(*prepared));
    } else {
      refusal = jsonResponse(400, {{"error", "too long"}});
    }
  }
  if (refusal || findJob(id)) {
    // A repeated submission of an accepted job returns the job's state, even if the new request
    // body differs or is invalid.
    answerAfterRead(id, respond,
                    [respond, refusal] { respond(refusal ? *refusal : retryLater(503)); });
    return;
  }
  accept(submission, respond);
}

std::optional<Response> JobService::checkSubmission(const std::variant<JobSpec, Invalid>& parsed,
                                                    const Owner* member) const {
  const auto* types = catalogue();
  if (const auto* bad = std::get_if<Invalid>(&parsed)) {
    return jsonResponse(400, {{"error", bad->why}});
  }
  const auto& spec = std::get<JobSpec>(parsed);
  if (member && spec.team != member->team) {
    return jsonResponse(403, {{"error", "not a key of this team"}});
  }
  if (!types) return retryLater(503);
  if (auto never = neverRuns(spec, *types, platform_)) {
    return jsonResponse(422, {{"error", never->why}});
  }
  return std::nullopt;
}

std::optional<Response> JobService::checkDependencies(const std::vector<JobId>& dependsOn) const {
  if (dependsOn.empty()) return std::nullopt;
  if (!versions_.allSupport(kFormatWithDependencies)) return retryLater(503);
  for (const auto& dependency : dependsOn) {
    const auto* job = findJob(dependency);
    if (job && job->record.spec->kind == JobKind::service) {
      return jsonResponse(422, {{"error", "awaits a service, which is never done"}});
    }
  }
  return std::nullopt;
}

bool JobService::hasAllJobs(const std::vector<JobId>& jobs) const {
  return std::all_of(jobs.begin(), jobs.end(), [this](const JobId& id) { return findJob(id); });
}

// Another controller may have accepted a dependency in a commit that this controller has not read
// yet. Only a linearizable read that begins after the request proves that a job was never accepted.
void JobService::accept(std::shared_ptr<const Submission> submission, const Respond& respond) {
  auto dependsOn = submission->dependencies();
  auto writeRecords = [this, submission, respond] {
    withWriteSlot(respond,
                  [this, submission, respond] { createDependencyParts(submission, 0, respond); });
  };
  if (hasAllJobs(dependsOn)) return writeRecords();
  answerAfterRead(
      submission->record.spec->id, respond, [this, submission, dependsOn, writeRecords, respond] {
        if (!hasAllJobs(dependsOn)) {
          return respond(jsonResponse(422, {{"error", "awaits a job that was never accepted"}}));
        }
        if (auto refusal = checkDependencies(dependsOn)) return respond(*refusal);
        writeRecords();
      });
}

// Writes the parts of the dependency list before the job record. The transaction requires that the
// job record does not exist, so that no controller changes the parts of an accepted job.
void JobService::createDependencyParts(std::shared_ptr<const Submission> submission,
                                       std::uint32_t from, const Respond& respond) {
  const JobId& id = submission->record.spec->id;
  const auto count = static_cast<std::uint32_t>(submission->dependencyParts.size());
  if (from >= count) return create(submission, kCreateTries, respond);
  Transaction first;
  first.requestId = submission->requestId;
  first.compares.push_back({keys::job(id), Revision{}});
  TransactionBuilder builder(store_.limits(), std::move(first));
  std::uint32_t next = from;
  for (; next < count; ++next) {
    Json value = {{"jobs", jobIdsToJson(submission->dependencyParts[next])}};
    auto result = builder.add({{}, {{keys::dependencyPart(id, next), std::move(value), {}}}});
    if (result == TransactionBuilder::Result::unwritable) return respond(retryLater(503));
    if (result == TransactionBuilder::Result::full) break;
  }
  Transaction t = builder.take();
  ++requestsInProgress_;
  store_.commit(t, kCommitTimeout, [this, submission, next, t, respond](CommitResult r) {
    --requestsInProgress_;
    if (r.outcome == CommitOutcome::conflict) {
      return answerAfterRead(submission->record.spec->id, respond,
                             [respond] { respond(retryLater(503)); });
    }
    if (r.outcome != CommitOutcome::applied) return respond(retryLater(503));
    for (const auto& w : t.writes) replica_.apply({w.key, w.value, r.revision});
    createDependencyParts(submission, next, respond);
  });
}

void JobService::create(std::shared_ptr<const Submission> submission, int triesLeft,
                        const Respond& respond) {
  if (requestsInProgress_ >= kMaxRequestsInProgress) return respond(retryLater(429));
  const JobId id = submission->record.spec->id;
  Transaction t;
  t.requestId = submission->requestId;
  t.compares.push_back({keys::job(id), Revision{}});
  t.writes.push_back({keys::job(id), toJson(submission->record), std::nullopt});
  ++requestsInProgress_;
  store_.commit(t, kCommitTimeout, [this, submission, id, t, triesLeft, respond](CommitResult r) {
    --requestsInProgress_;
    switch (r.outcome) {
      case CommitOutcome::applied:
        replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
        return accepted(*submission, respond);
      case CommitOutcome::conflict:
        // The job record exists: a retry of the user, or an earlier commit of this controller whose
        // response was lost, has created it.
        return answerAfterRead(id, respond, [respond] { respond(retryLater(503)); });
      case CommitOutcome::refused:
        // The state service limits the rate or is unavailable. The commit is retried after a short
        // delay unless reads from the state service fail as well.
        if (triesLeft > 0 && watcher_.isReachable()) {
          runtime_.after(kRetryDelay, [this, submission, triesLeft, respond] {
            create(submission, triesLeft - 1, respond);
          });
          return;
        }
        return respond(retryLater(503));
      default:
        // The outcome of the commit is unknown. The user retries with the same job id.
        return respond(retryLater(503));
    }
  });
}

void JobService::accepted(const Submission& submission, const Respond& respond) {
  const JobRecord& record = submission.record;
  const JobId& id = record.spec->id;
  logInfo("job accepted", "job", id, "tasks", record.spec->tasks, "class", record.spec->jobClass,
          "request", submission.requestId);
  const auto* job = findJob(id);
  // A job that depends on a cancelled job is cancelled as well, and another controller may have
  // reported it to the user as cancelled already.
  const bool cancelled = job && job->phase() == JobPhase::cancelled;
  if (job && (record.owner || cancelled)) {
    respond(stateResponse(id, *job, 201));
  } else {
    // The response reports the phase at the commit, when no task of the job was placed yet. The
    // replica may already hold a later phase.
    respond(jsonResponse(201, {{"ref", id.value}, {"phase", "pending"}}));
  }
  if (onCommitted) onCommitted();
}

}  // namespace kestrelhoist
