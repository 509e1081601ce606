#include "jobs/service.hpp"

#include "base/log.hpp"

namespace kestrelhoist {
namespace {

constexpr std::size_t kMaxWaiting = 256;  // user requests in work; above it: 429 at once
constexpr Duration kCommitTimeout{1500};
// Of the state service's write rate, what one node may use for users in a burst.
constexpr double kUserWriteShare = 0.4;

// From this format of records on a job may await others; a controller that does not know it would
// start them too early.
constexpr unsigned kFormatWithDependencies = 2;

const char* phaseWord(const JobState& job) {
  switch (job.phase()) {
    case JobPhase::done:
      return "done";
    case JobPhase::cancelled:
      return "withdrawn";
    default:
      return job.placed.empty() ? "pending" : "running";
  }
}

JobId nameOf(const std::string& ref, const Owner* who) {
  return who ? memberJob(*who, ref) : JobId{ref};
}

Response stateOf(const JobId& id, const JobState& job, int status) {
  return jsonResponse(status, JobService::view(id, job));
}

}  // namespace

JobService::JobService(Runtime& runtime, StoreClient& store, ChangeWatcher& watcher,
                       Replica& replica, const Platform& platform, const MemberVersions& versions)
    : runtime_(runtime),
      store_(store),
      watcher_(watcher),
      replica_(replica),
      platform_(platform),
      versions_(versions),
      writes_(platform.stateWritesPerS * kUserWriteShare,
              std::max(2.0, platform.stateWritesPerS * kUserWriteShare)) {}

bool JobService::handle(const Request& request, const Respond& respond, const Owner* who) {
  std::string path = request.path.substr(0, request.path.find('?'));
  const std::string root = "/v2/runs";
  if (!path.starts_with(root)) return false;
  std::string rest = path.substr(root.size());
  auto wrongMethod = [&] { respond(jsonResponse(405, {{"error", "wrong method"}})); };
  if (rest.empty()) {
    if (request.method != "POST") return wrongMethod(), true;
    submit(request, who, respond);
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
    poll(nameOf(ref, who), respond);
  } else {
    abort(nameOf(ref, who), 5, request, respond);
  }
  return true;
}

const JobState* JobService::known(const JobId& id) const {
  const auto* job = replica_.job(id);
  return job && job->record.spec ? job : nullptr;
}

const Catalogue* JobService::catalogue() const {
  Revision modRevision = replica_.modRevisionOf(keys::kCatalogue);
  if (modRevision != catalogueRevision_) {
    catalogueRevision_ = modRevision;
    catalogue_ =
        replica_.catalogue() ? catalogueFrom(*replica_.catalogue()) : std::optional<Catalogue>{};
  }
  return catalogue_ ? &*catalogue_ : nullptr;
}

Json JobService::view(const JobId& id, const JobState& job, bool withDigest) {
  const auto& owner = job.record.owner;
  Json v = {{"ref", owner ? owner->ref : id.value},
            {"phase", phaseWord(job)},
            {"done", std::min(job.finishedCount, job.tasks)},
            {"running", job.active() ? job.placed.size() : 0}};
  if (owner) {
    // Members can tell whether a job that they find is the one that they ask for.
    v["job"] = id.value;
    v["tasks"] = job.tasks;
    v["class"] = job.record.spec->jobClass;
    v["at_ms"] = job.record.acceptedAtMs;
    if (withDigest) v["digest"] = digestOf(*job.record.spec);
  }
  return v;
}

void JobService::poll(const JobId& id, const Respond& respond) {
  // Done and cancelled are final, whatever is newer.
  if (const auto* job = known(id); job && !job->active()) return respond(stateOf(id, *job, 200));
  watcher_.linearizableRead([this, id, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const auto* job = known(id);
    respond(job ? stateOf(id, *job, 200) : jsonResponse(404, {{"error", "no such job"}}));
  });
}

// Why a well-formed job can never run, if so.
std::optional<Invalid> JobService::judge(const JobSpec& spec, const Catalogue& catalogue) const {
  auto team = platform_.teams.find(spec.team);
  if (team == platform_.teams.end()) return Invalid{"unknown team"};
  bool fits = false;
  for (const auto& type : catalogue.types) {
    if (!spec.allowsType(type.id) || !spec.perTask.fitsIn(type.capacity)) continue;
    fits = fits || !spec.zone ||
           std::find(type.zones.begin(), type.zones.end(), *spec.zone) != type.zones.end();
  }
  if (!fits) return Invalid{"no allowed machine type can hold a task"};
  double tasks = spec.kind == JobKind::array ? 1 : spec.tasks;
  const Resources& limit = team->second.limit;
  if ((limit.cpus > 0 && spec.perTask.cpus * tasks > limit.cpus + 1e-6) ||
      (limit.gpus > 0 && spec.perTask.gpus * tasks > limit.gpus + 1e-6)) {
    return Invalid{"over the team's limit"};
  }
  return std::nullopt;
}

void JobService::submit(const Request& request, const Owner* who, const Respond& answer) {
  auto respond = [answer, started = runtime_.now(), this](const Response& r) {
    if (r.status >= 300) {
      logDebug("submission answered", "status", r.status, "ms", runtime_.now() - started);
    }
    answer(r);
  };
  auto body = decodeBody(request.body);
  if (!body || !body->is_object()) return respond(jsonResponse(400, {{"error", "not a CBOR map"}}));
  auto ref = textField(*body, "ref");
  if (!ref || !validJobId(*ref)) return respond(jsonResponse(400, {{"error", "bad ref"}}));
  JobId id = nameOf(*ref, who);
  if (const auto* job = known(id); job && !job->active()) return respond(stateOf(id, *job, 200));
  if (!watcher_.loaded()) return respond(retryLater(503));

  auto parsed = parseSubmission(*body);
  const auto* types = catalogue();
  std::optional<Response> refusal;
  if (auto* bad = std::get_if<Invalid>(&parsed)) {
    refusal = jsonResponse(400, {{"error", bad->why}});
  } else if (who && std::get<JobSpec>(parsed).team != who->team) {
    refusal = jsonResponse(403, {{"error", "not a key of this team"}});
  } else if (!types) {
    refusal = retryLater(503);
  } else if (auto never = judge(std::get<JobSpec>(parsed), *types)) {
    refusal = jsonResponse(422, {{"error", never->why}});
  }
  std::shared_ptr<const Submission> submission;
  if (!refusal) {
    JobSpec spec = std::get<JobSpec>(std::move(parsed));
    spec.id = id;
    for (auto& awaited : spec.dependsOn) awaited = nameOf(awaited.value, who);
    refusal = judgeDependencies(spec);
    Whose whose = who ? std::make_shared<const JobOwner>(JobOwner{*who, *ref}) : nullptr;
    if (auto prepared = prepare(std::move(spec), std::move(whose), request.id)) {
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

std::optional<JobService::Submission> JobService::prepare(JobSpec spec, Whose whose,
                                                          const std::string& requestId) const {
  constexpr std::size_t kBesides = 256;  // keys, and what the job's end adds
  auto fits = [&](const Json& value) {
    return value.dump().size() + kBesides <= platform_.valueBytes;
  };
  Submission s;
  s.requestId = requestId;
  s.record.spec = std::make_shared<const JobSpec>(spec);
  s.record.acceptedAtMs = runtime_.wallMillis();
  s.record.chunkSize = chunkSizeFor(platform_.valueBytes);
  s.record.owner = std::move(whose);
  if (fits(toJson(s.record))) return s;
  if (spec.dependsOn.empty()) return std::nullopt;
  std::size_t bytes = 0;
  for (const auto& awaited : spec.dependsOn) {
    std::size_t more = awaited.value.size() + 3;  // quotes and a comma
    if (s.dependencyParts.empty() || bytes + more + kBesides > platform_.valueBytes) {
      s.dependencyParts.emplace_back();
      bytes = 0;
    }
    bytes += more;
    s.dependencyParts.back().push_back(awaited);
  }
  spec.dependsOn.clear();
  s.record.spec = std::make_shared<const JobSpec>(std::move(spec));
  s.record.dependencyParts = static_cast<std::uint32_t>(s.dependencyParts.size());
  if (!fits(toJson(s.record))) return std::nullopt;
  return s;
}

std::optional<Response> JobService::judgeDependencies(const JobSpec& spec) const {
  if (spec.dependsOn.empty()) return std::nullopt;
  if (!versions_.allAtLeast(kFormatWithDependencies)) return retryLater(503);
  for (const auto& awaited : spec.dependsOn) {
    const auto* job = known(awaited);
    if (job && job->record.spec->kind == JobKind::service) {
      return jsonResponse(422, {{"error", "awaits a service, which is never done"}});
    }
  }
  return std::nullopt;
}

bool JobService::knowsAll(const std::vector<JobId>& jobs) const {
  return std::all_of(jobs.begin(), jobs.end(), [this](const JobId& id) { return known(id); });
}

void JobService::answerAfterRead(const JobId& id, const Respond& respond,
                                 std::function<void()> otherwise) {
  watcher_.linearizableRead([this, id, respond, otherwise = std::move(otherwise)](bool ok) {
    if (!ok) return respond(retryLater(503));
    if (const auto* job = known(id)) return respond(stateOf(id, *job, 200));
    otherwise();
  });
}

// What it awaits was accepted, maybe by a node whose commit has not been read here yet: only a read
// that was sent after the request shows that a job was never accepted.
void JobService::accept(std::shared_ptr<const Submission> submission, const Respond& respond) {
  auto dependsOn = submission->record.spec->dependsOn;
  for (const auto& part : submission->dependencyParts) {
    dependsOn.insert(dependsOn.end(), part.begin(), part.end());
  }
  auto begin = [this, submission, respond] {
    paced(respond, [this, submission, respond] { createParts(submission, 0, respond); });
  };
  if (knowsAll(dependsOn)) return begin();
  answerAfterRead(
      submission->record.spec->id, respond, [this, submission, dependsOn, begin, respond] {
        if (!knowsAll(dependsOn)) {
          return respond(jsonResponse(422, {{"error", "awaits a job that was never accepted"}}));
        }
        JobSpec spec = *submission->record.spec;
        spec.dependsOn = dependsOn;
        if (auto refusal = judgeDependencies(spec)) return respond(*refusal);
        begin();
      });
}

// Before the job itself, and only as long as it is not on record: nobody changes them after that.
void JobService::createParts(std::shared_ptr<const Submission> submission, std::uint32_t from,
                             const Respond& respond) {
  const JobId& id = submission->record.spec->id;
  const auto count = static_cast<std::uint32_t>(submission->dependencyParts.size());
  if (from >= count) return create(submission, 3, respond);
  Transaction t;
  t.requestId = submission->requestId;
  t.compares.push_back({keys::job(id), Revision{}});
  std::size_t bytes = 0;
  std::uint32_t next = from;
  while (next < count && t.writes.size() < platform_.transactionOps &&
         (t.writes.empty() || bytes + platform_.valueBytes <= kMaxTransactionBytes)) {
    Json value = {{"jobs", jobIdsToJson(submission->dependencyParts[next])}};
    bytes += platform_.valueBytes;
    t.writes.push_back({keys::awaits(id, next), std::move(value), std::nullopt});
    ++next;
  }
  ++waiting_;
  store_.commit(t, kCommitTimeout, [this, submission, next, t, respond](CommitResult r) {
    --waiting_;
    if (r.outcome == CommitOutcome::conflict) {
      return answerAfterRead(submission->record.spec->id, respond,
                             [respond] { respond(retryLater(503)); });
    }
    if (r.outcome != CommitOutcome::applied) return respond(retryLater(503));
    for (const auto& w : t.writes) replica_.apply({w.key, w.value, r.revision});
    createParts(submission, next, respond);
  });
}

void JobService::paced(const Respond& respond, std::function<void()> next, int triesLeft) {
  if (waiting_ >= kMaxWaiting) return respond(retryLater(429));
  Duration wait = writes_.waitFor(runtime_.now(), 1);
  if (wait.count() == 0) {
    writes_.take(runtime_.now(), 1);
    next();
    return;
  }
  if (triesLeft == 0) return respond(retryLater(429));
  ++waiting_;
  runtime_.after(std::min(wait, Duration{200}), [this, respond, next = std::move(next), triesLeft] {
    --waiting_;
    paced(respond, next, triesLeft - 1);
  });
}

void JobService::create(std::shared_ptr<const Submission> submission, int triesLeft,
                        const Respond& respond) {
  if (waiting_ >= kMaxWaiting) return respond(retryLater(429));
  const JobId id = submission->record.spec->id;
  Transaction t;
  t.requestId = submission->requestId;
  t.compares.push_back({keys::job(id), Revision{}});
  t.writes.push_back({keys::job(id), toJson(submission->record), std::nullopt});
  ++waiting_;
  store_.commit(t, kCommitTimeout, [this, submission, id, t, triesLeft, respond](CommitResult r) {
    --waiting_;
    switch (r.outcome) {
      case CommitOutcome::applied: {
        replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
        const JobRecord& record = submission->record;
        logInfo("job accepted", "job", id, "tasks", record.spec->tasks, "class",
                record.spec->jobClass, "request", t.requestId);
        const auto* job = known(id);
        // It needs a cancelled job: another node may have told so already.
        const bool cancelled = job && job->phase() == JobPhase::cancelled;
        if (job && (record.owner || cancelled)) {
          respond(stateOf(id, *job, 201));
        } else {
          // Whatever the copy says by now: nothing was placed before this was committed.
          respond(jsonResponse(201, {{"ref", id.value}, {"phase", "pending"}}));
        }
        if (onCommitted) onCommitted();
        return;
      }
      case CommitOutcome::conflict:  // known already: by a retry, or by our own lost answer
        return answerAfterRead(id, respond, [respond] { respond(retryLater(503)); });
      case CommitOutcome::refused:
        // Rate limit or outage. One more try soon, unless reads fail as well.
        if (triesLeft > 0 && watcher_.reachable()) {
          runtime_.after(Duration{150}, [this, submission, triesLeft, respond] {
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

void JobService::abort(const JobId& id, int triesLeft, const Request& request,
                       const Respond& respond) {
  if (const auto* job = known(id); job && !job->active()) return respond(stateOf(id, *job, 200));
  watcher_.linearizableRead([this, id, triesLeft, request, respond](bool ok) {
    if (!ok) return respond(retryLater(503));
    const auto* job = known(id);
    if (!job) return respond(jsonResponse(404, {{"error", "no such job"}}));
    if (!job->active()) return respond(stateOf(id, *job, 200));
    JobRecord record = job->record;
    record.phase = JobPhase::cancelled;
    Transaction t;
    t.requestId = request.id;
    // On the stamp that was read: a placement or an end committed meanwhile makes this fail.
    t.compares.push_back({keys::job(id), job->modRevision});
    t.writes.push_back({keys::job(id), toJson(record), std::nullopt});
    store_.commit(t, kCommitTimeout, [this, id, t, triesLeft, request, respond](CommitResult r) {
      if (r.outcome == CommitOutcome::applied) {
        replica_.apply({t.writes[0].key, t.writes[0].value, r.revision});
        logInfo("job cancelled by its user", "job", id, "request", t.requestId);
        if (onCommitted) onCommitted();
        const auto* now = t.writes[0].value->contains("owner") ? known(id) : nullptr;
        return respond(now ? stateOf(id, *now, 200)
                           : jsonResponse(200, {{"ref", id.value}, {"phase", "withdrawn"}}));
      }
      if (r.outcome == CommitOutcome::conflict && triesLeft > 0) {
        return abort(id, triesLeft - 1, request, respond);
      }
      if (r.outcome == CommitOutcome::refused && triesLeft > 0 && watcher_.reachable()) {
        runtime_.after(Duration{150}, [this, id, triesLeft, request, respond] {
          abort(id, triesLeft - 1, request, respond);
        });
        return;
      }
      respond(retryLater(503));
    });
  });
}

}  // namespace kestrelhoist
