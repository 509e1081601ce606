// JobService: submission of jobs. service.cpp has the routing, polls and cancellations.
#include <algorithm>

#include "base/log.hpp"
#include "jobs/service.hpp"

namespace kestrelhoist {
namespace {

constexpr int kCreateTries = 3;
// From this format of records on a job may depend on others; a controller that does not know it
// would start them too early.
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
  if (const auto* job = known(id); job && !job->active()) {
    return respond(stateResponse(id, *job, 200));
  }
  if (!watcher_.isLoaded()) return respond(retryLater(503));

  auto parsed = parseSubmission(*body);
  std::optional<Response> refusal = refusalOf(parsed, member);
  std::shared_ptr<const Submission> submission;
  if (!refusal) {
    JobSpec spec = std::get<JobSpec>(std::move(parsed));
    spec.id = id;
    for (auto& dependency : spec.dependsOn) dependency = jobIdOf(dependency.value, member);
    refusal = refusalOfDependencies(spec.dependsOn);
    auto owner = member ? std::make_shared<const JobOwner>(JobOwner{*member, *ref}) : nullptr;
    if (auto prepared = prepareSubmission(std::move(spec), std::move(owner), request.id,
                                          runtime_.wallMillis(), platform_.valueBytes)) {
      submission = std::make_shared<const Submission>(std::move(*prepared));
    } else {
      refusal = jsonResponse(400, {{"error", "too long"}});
    }
  }
  if (refusal || known(id)) {
    // A job that was accepted before is answered with its state, whatever is sent now.
    answerAfterRead(id, respond,
                    [respond, refusal] { respond(refusal ? *refusal : retryLater(503)); });
    return;
  }
  accept(submission, respond);
}

std::optional<Response> JobService::refusalOf(const std::variant<JobSpec, Invalid>& parsed,
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

std::optional<Response> JobService::refusalOfDependencies(
    const std::vector<JobId>& dependsOn) const {
  if (dependsOn.empty()) return std::nullopt;
  if (!versions_.allSupport(kFormatWithDependencies)) return retryLater(503);
  for (const auto& dependency : dependsOn) {
    const auto* job = known(dependency);
    if (job && job->record.spec->kind == JobKind::service) {
      return jsonResponse(422, {{"error", "awaits a service, which is never done"}});
    }
  }
  return std::nullopt;
}

bool JobService::knowsAll(const std::vector<JobId>& jobs) const {
  return std::all_of(jobs.begin(), jobs.end(), [this](const JobId& id) { return known(id); });
}

// Its dependencies may have been accepted by a node whose commit has not been read here yet: only a
// read that was sent after the request shows that a job was never accepted.
void JobService::accept(std::shared_ptr<const Submission> submission, const Respond& respond) {
  auto dependsOn = submission->dependencies();
  auto begin = [this, submission, respond] {
    withWriteSlot(respond, [this, submission, respond] { createParts(submission, 0, respond); });
  };
  if (knowsAll(dependsOn)) return begin();
  answerAfterRead(
      submission->record.spec->id, respond, [this, submission, dependsOn, begin, respond] {
        if (!knowsAll(dependsOn)) {
          return respond(jsonResponse(422, {{"error", "awaits a job that was never accepted"}}));
        }
        if (auto refusal = refusalOfDependencies(dependsOn)) return respond(*refusal);
        begin();
      });
}

// The parts are written before the job itself, and only as long as it is not on record: nobody
// changes them after that.
void JobService::createParts(std::shared_ptr<const Submission> submission, std::uint32_t from,
                             const Respond& respond) {
  const JobId& id = submission->record.spec->id;
  const auto count = static_cast<std::uint32_t>(submission->dependencyParts.size());
  if (from >= count) return create(submission, kCreateTries, respond);
  Transaction t;
  t.requestId = submission->requestId;
  t.compares.push_back({keys::job(id), Revision{}});
  std::size_t bytes = 0;
  std::uint32_t next = from;
  while (next < count && t.writes.size() < platform_.transactionOps &&
         (t.writes.empty() || bytes + platform_.valueBytes <= kMaxTransactionBytes)) {
    Json value = {{"jobs", jobIdsToJson(submission->dependencyParts[next])}};
    bytes += platform_.valueBytes;
    t.writes.push_back({keys::dependencyPart(id, next), std::move(value), std::nullopt});
    ++next;
  }
  ++inProgress_;
  store_.commit(t, kCommitTimeout, [this, submission, next, t, respond](CommitResult r) {
    --inProgress_;
    if (r.outcome == CommitOutcome::conflict) {
      return answerAfterRead(submission->record.spec->id, respond,
                             [respond] { respond(retryLater(503)); });
    }
    if (r.outcome != CommitOutcome::applied) return respond(retryLater(503));
    for (const auto& w : t.writes) replica_.apply({w.key, w.value, r.revision});
    createParts(submission, next, respond);
  });
}

void JobService::create(std::shared_ptr<const Submission> submission, int triesLeft,
                        const Respond& respond) {
  if (inProgress_ >= kMaxInProgress) return respond(retryLater(429));
  const JobId id = submission->record.spec->id;
  Transaction t;
  t.requestId = submission->requestId;
  t.compares.push_back({keys::job(id), Revision{}});
  t.writes.push_back({keys::job(id), toJson(submission->record), std::nullopt});
  ++inProgress_;
  store_.commit(t, kCommitTimeout, [this, submission, id, t, triesLeft, respond](CommitResult r) {
    --inProgress_;
    switch (r.outcome) {
      case CommitOutcome::applied:
        replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
        return accepted(*submission, respond);
      case CommitOutcome::conflict:  // known already: by a retry, or by our own lost answer
        return answerAfterRead(id, respond, [respond] { respond(retryLater(503)); });
      case CommitOutcome::refused:
        // Rate limit or outage. One more try soon, unless reads fail as well.
        if (triesLeft > 0 && watcher_.isReachable()) {
          runtime_.after(kRetryDelay, [this, submission, triesLeft, respond] {
            create(submission, triesLeft - 1, respond);
          });
          return;
        }
        return respond(retryLater(503));
      default:
        // Not known whether it was accepted: the user asks again with the same id.
        return respond(retryLater(503));
    }
  });
}

void JobService::accepted(const Submission& submission, const Respond& respond) {
  const JobRecord& record = submission.record;
  const JobId& id = record.spec->id;
  logInfo("job accepted", "job", id, "tasks", record.spec->tasks, "class", record.spec->jobClass,
          "request", submission.requestId);
  const auto* job = known(id);
  // It needs a cancelled job: another node may have answered so already.
  const bool cancelled = job && job->phase() == JobPhase::cancelled;
  if (job && (record.owner || cancelled)) {
    respond(stateResponse(id, *job, 201));
  } else {
    // Whatever the replica says by now: nothing was placed before this was committed.
    respond(jsonResponse(201, {{"ref", id.value}, {"phase", "pending"}}));
  }
  if (onCommitted) onCommitted();
}

}  // namespace kestrelhoist
