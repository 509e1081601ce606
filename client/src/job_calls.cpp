#include "client/src/job_calls.hpp"

#include "base/query.hpp"
#include "client/src/job_codec.hpp"

namespace kestrelhoist::client {
namespace {
constexpr int kMaxRandomIds = 5;
// The client waits this much longer for a delayed response than the service may delay it.
constexpr Duration kDelayedResponseMargin{4000};

Error protocolViolation(Error e, const std::string& why) {
  e.kind = ErrorKind::protocolViolated;
  e.why = why;
  return e;
}

Error errorFor(ErrorKind kind, const std::string& operation, const std::string& why) {
  Error e;
  e.kind = kind;
  e.tried = operation;
  e.why = why;
  return e;
}

// Parses a response. Returns the error `protocolViolated` if the response lacks a required field.
template <class T>
Result<T> parsed(const Result<Answer>& r, const std::string& operation,
                 std::optional<T> (*parse)(const Json&)) {
  if (!r) return r.error();
  auto value = parse(r->body);
  if (!value)
    return protocolViolation(errorFor({}, operation, ""), "the answer lacks what it must have");
  return *value;
}
}  // namespace

struct JobCalls::SubmissionState {
  Job job;
  std::string id, digest, operation;
  bool hasRandomId = false;
  int triedIds = 0;
  Instant deadline{};
  PendingCallPtr pending = std::make_shared<PendingCall>();
  Done<JobState> done;
};

PendingCallPtr JobCalls::sendJobRequest(Request request, const std::string& operation, bool changes,
                                        Duration timeout, Done<JobState> done) {
  auto pending = std::make_shared<PendingCall>();
  pending->setCurrent(caller_.call({std::move(request), operation, timeout, changes},
                                   [operation, done = std::move(done)](Result<Answer> r) {
                                     done(parsed<JobState>(r, operation, jobStateFrom));
                                   }));
  return pending;
}

PendingCallPtr JobCalls::get(const std::string& id, Duration timeout, Done<JobState> done) {
  return sendJobRequest({"GET", "/v2/runs/" + queryEscaped(id), ""}, "get " + id, false, timeout,
                        std::move(done));
}

PendingCallPtr JobCalls::cancel(const std::string& id, Duration timeout, Done<JobState> done) {
  return sendJobRequest({"POST", "/v2/runs/" + queryEscaped(id) + "/abort", ""}, "cancel " + id,
                        true, timeout, std::move(done));
}

PendingCallPtr JobCalls::list(const JobQuery& query, Duration wait, Duration timeout,
                              Done<JobPage> done) {
  auto pending = std::make_shared<PendingCall>();
  std::string operation = wait.count() > 0 ? "watch" : "list";
  CallRequest request{{"GET", "/v2/jobs" + queryOf(query, wait), ""}, operation, timeout, false};
  if (wait.count() > 0) {
    request.attemptTimeout = wait + kDelayedResponseMargin;
    request.mayBeDelayed = true;
  }
  pending->setCurrent(
      caller_.call(std::move(request), [operation, done = std::move(done)](Result<Answer> r) {
        done(parsed<JobPage>(r, operation, jobPageFrom));
      }));
  return pending;
}

PendingCallPtr JobCalls::whoAmI(Duration timeout, Done<Identity> done) {
  auto pending = std::make_shared<PendingCall>();
  pending->setCurrent(caller_.call({{"GET", "/v2/whoami", ""}, "who am I", timeout, false},
                                   [done = std::move(done)](Result<Answer> r) {
                                     done(parsed<Identity>(r, "who am I", identityFrom));
                                   }));
  return pending;
}

void JobCalls::identity(const PendingCallPtr& pending, Duration timeout, Done<Identity> done) {
  if (identity_) return done(*identity_);
  if (!hasMembers()) return done(Identity{"", team_, "", ""});
  auto inner = whoAmI(timeout, [this, done = std::move(done)](Result<Identity> r) {
    if (r) {
      identity_ = *r;
    } else if (r.error().kind == ErrorKind::unknown) {
      // A service without members responds with 404 to this path and ignores keys.
      noMembers_ = true;
      return done(Identity{"", team_, "", ""});
    }
    done(std::move(r));
  });
  pending->setCurrent([inner] { inner->stop(); });
}

PendingCallPtr JobCalls::idFor(const std::string& key, Duration timeout, Done<std::string> done) {
  auto pending = std::make_shared<PendingCall>();
  identity(pending, timeout, [key, done = std::move(done)](Result<Identity> who) {
    if (!who) return done(who.error());
    done(refForIdempotencyKey({TeamId{who->team}, who->member}, key));
  });
  return pending;
}

PendingCallPtr JobCalls::submit(Job job, const std::string& key, const std::string& id,
                                Duration timeout, Done<JobState> done) {
  auto s = std::make_shared<SubmissionState>();
  s->job = std::move(job);
  s->deadline = caller_.runtime().now() + timeout;
  s->done = std::move(done);
  s->id = id;
  s->operation = "submit " + (id.empty() ? key : id);
  bool known = !id.empty() && !s->job.team.empty();
  auto go = [this, s, key](const Result<Identity>& who) {
    if (!who) return s->done(who.error());
    if (s->job.team.empty()) s->job.team = who->team;
    if (s->job.team.empty()) {
      return s->done(errorFor(ErrorKind::unusable, s->operation, "no team is named"));
    }
    if (s->id.empty()) {
      s->hasRandomId = key.empty();
      s->id = s->hasRandomId ? generateRef()
                             : refForIdempotencyKey({TeamId{who->team}, who->member}, key);
    }
    s->operation = "submit " + s->id;
    s->digest = digestFor(s->job);
    send(s);
  };
  if (known) {
    go(Identity{});
  } else {
    identity(s->pending, timeout, go);
  }
  return s->pending;
}

void JobCalls::send(const std::shared_ptr<SubmissionState>& s) {
  ++s->triedIds;
  s->pending->setCurrent(caller_.call({{"POST", "/v2/runs", encodeBody(toBody(s->job, s->id))},
                                       s->operation,
                                       remaining(s->deadline),
                                       true},
                                      [this, s](Result<Answer> r) {
                                        if (!r) {
                                          Error e = r.error();
                                          e.jobId = s->id;
                                          return s->done(std::move(e));
                                        }
                                        auto state = jobStateFrom(r->body);
                                        if (!state || state->id != s->id) {
                                          Error e =
                                              protocolViolation(errorFor({}, s->operation, ""),
                                                                "the answer is not about this job");
                                          e.jobId = s->id;
                                          return s->done(std::move(e));
                                        }
                                        onAccepted(s, *r, *state);
                                      }));
}

// Handles the response to a submission. If the service already knew the id, either an earlier
// submission of the same job created that job, or the id belongs to a different job.
void JobCalls::onAccepted(const std::shared_ptr<SubmissionState>& s, const Answer& answer,
                          const JobState& state) {
  bool isOtherJob =
      state.digest.empty()
          // If the response has no digest, the id belongs to a different job only if it is random
          // and the service knew it before the only request of this call.
          ? s->hasRandomId && answer.status == 200 && answer.first
          : !s->digest.empty() && state.digest != s->digest;
  if (!isOtherJob) return s->done(state);
  if (s->hasRandomId && s->triedIds < kMaxRandomIds) {
    s->id = generateRef();
    s->operation = "submit " + s->id;
    return send(s);
  }
  Error e =
      errorFor(ErrorKind::conflict, s->operation, "this id is known, and with another description");
  e.status = answer.status;
  e.jobId = s->id;
  s->done(std::move(e));
}

// ---- keys ----

PendingCallPtr JobCalls::makeKey(const std::string& team, const std::string& member,
                                 const std::string& rights, const std::string& note,
                                 Duration timeout, Done<KeyInfo> done) {
  auto pending = std::make_shared<PendingCall>();
  Credential made = generateCredential();
  Json body = {{"key", made.id.value}, {"hash", hashOfSecret(made)}, {"team", team},
               {"member", member},     {"rights", rights},           {"note", note}};
  std::string operation = "make a key";
  pending->setCurrent(
      caller_.call({{"POST", "/v2/keys", encodeBody(body)}, operation, timeout, true},
                   [operation, made, done = std::move(done)](Result<Answer> r) {
                     auto info = parsed<KeyInfo>(r, operation, keyInfoFrom);
                     if (info) info->secret = made.str();
                     done(std::move(info));
                   }));
  return pending;
}

PendingCallPtr JobCalls::keys(const std::string& team, const std::string& member, Duration timeout,
                              Done<std::vector<KeyInfo>> done) {
  auto pending = std::make_shared<PendingCall>();
  keyPage(pending, team, member, std::make_shared<std::vector<KeyInfo>>(),
          caller_.runtime().now() + timeout, std::move(done));
  return pending;
}

void JobCalls::keyPage(const PendingCallPtr& pending, const std::string& team,
                       const std::string& member, std::shared_ptr<std::vector<KeyInfo>> found,
                       Instant deadline, Done<std::vector<KeyInfo>> done) {
  std::string path = "/v2/keys?team=" + queryEscaped(team) + "&member=" + queryEscaped(member) +
                     "&after=" + (found->empty() ? "" : found->back().id);
  pending->setCurrent(caller_.call(
      {{"GET", path, ""}, "list keys", remaining(deadline), false},
      [this, pending, team, member, found, deadline, done = std::move(done)](Result<Answer> r) {
        if (!r) return done(r.error());
        const Json* list = field(r->body, "keys");
        for (std::size_t i = 0; list && list->is_array() && i < list->size(); ++i) {
          if (auto info = keyInfoFrom((*list)[i])) found->push_back(std::move(*info));
        }
        bool more = boolField(r->body, "more").value_or(false) && list && !list->empty();
        if (!more) return done(std::move(*found));
        keyPage(pending, team, member, found, deadline, done);
      }));
}

PendingCallPtr JobCalls::revokeKey(const std::string& id, Duration after, Duration timeout,
                                   Done<KeyInfo> done) {
  auto pending = std::make_shared<PendingCall>();
  std::string operation = "revoke key " + id;
  pending->setCurrent(caller_.call({{"POST", "/v2/keys/" + queryEscaped(id) + "/revoke",
                                     encodeBody({{"after_s", toSeconds(after)}})},
                                    operation,
                                    timeout,
                                    true},
                                   [operation, done = std::move(done)](Result<Answer> r) {
                                     done(parsed<KeyInfo>(r, operation, keyInfoFrom));
                                   }));
  return pending;
}

PendingCallPtr JobCalls::rotateKey(const std::string& id, Duration grace, Duration timeout,
                                   Done<KeyInfo> done) {
  auto pending = std::make_shared<PendingCall>();
  Instant deadline = caller_.runtime().now() + timeout;
  auto found = keys(
      "", "", timeout,
      [this, pending, id, grace, deadline,
       done = std::move(done)](Result<std::vector<KeyInfo>> all) {
        if (!all) return done(all.error());
        auto it =
            std::find_if(all->begin(), all->end(), [&](const KeyInfo& k) { return k.id == id; });
        if (it == all->end()) {
          return done(errorFor(ErrorKind::unknown, "rotate key " + id, "no such key"));
        }
        auto making =
            makeKey(it->team, it->member, it->rights, it->note, remaining(deadline),
                    [this, pending, id, grace, deadline, done](Result<KeyInfo> made) {
                      if (!made) return done(made.error());
                      auto ending = revokeKey(
                          id, grace, remaining(deadline), [done, made](const Result<KeyInfo>& old) {
                            if (old) return done(made);
                            Error e = old.error();
                            e.why += "; the new key " + made->id + " was made: revoke it";
                            done(std::move(e));
                          });
                      pending->setCurrent([ending] { ending->stop(); });
                    });
        pending->setCurrent([making] { making->stop(); });
      });
  pending->setCurrent([found] { found->stop(); });
  return pending;
}

}  // namespace kestrelhoist::client
