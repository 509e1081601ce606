#include "client/src/job_calls.hpp"

#include "client/src/job_codec.hpp"

namespace kestrelhoist::client {
namespace {
constexpr int kMostDraws = 5;
// The client waits this much longer for a delayed response than the service may delay it.
constexpr Duration kHeldMargin{4000};

Error violated(Error e, const std::string& why) {
  e.kind = ErrorKind::protocolViolated;
  e.why = why;
  return e;
}

Error errorFor(ErrorKind kind, const std::string& tried, const std::string& why) {
  Error e;
  e.kind = kind;
  e.tried = tried;
  e.why = why;
  return e;
}

// Parses a response. Returns the error `protocolViolated` if the response lacks a required field.
template <class T>
Result<T> parsed(const Result<Answer>& r, const std::string& tried,
                 std::optional<T> (*parse)(const Json&)) {
  if (!r) return r.error();
  auto value = parse(r->body);
  if (!value) return violated(errorFor({}, tried, ""), "the answer lacks what it must have");
  return *value;
}
}  // namespace

struct JobCalls::Submitting {
  Job job;
  std::string id, digest, tried;
  bool drawn = false;
  int draws = 0;
  Instant until{};
  StepsPtr steps = std::make_shared<Steps>();
  Done<JobState> done;
};

StepsPtr JobCalls::one(Request request, const std::string& tried, bool changes, Duration within,
                       Done<JobState> done) {
  auto steps = std::make_shared<Steps>();
  steps->now(caller_.call({std::move(request), tried, within, changes},
                          [tried, done = std::move(done)](Result<Answer> r) {
                            done(parsed<JobState>(r, tried, jobStateFrom));
                          }));
  return steps;
}

StepsPtr JobCalls::get(const std::string& id, Duration within, Done<JobState> done) {
  return one({"GET", "/v2/runs/" + queryEscaped(id), ""}, "get " + id, false, within,
             std::move(done));
}

StepsPtr JobCalls::cancel(const std::string& id, Duration within, Done<JobState> done) {
  return one({"POST", "/v2/runs/" + queryEscaped(id) + "/abort", ""}, "cancel " + id, true, within,
             std::move(done));
}

StepsPtr JobCalls::list(const JobQuery& query, Duration wait, Duration within, Done<JobPage> done) {
  auto steps = std::make_shared<Steps>();
  std::string tried = wait.count() > 0 ? "watch" : "list";
  Ask ask{{"GET", "/v2/jobs" + queryOf(query, wait), ""}, tried, within, false};
  if (wait.count() > 0) {
    ask.oneTry = wait + kHeldMargin;
    ask.held = true;
  }
  steps->now(caller_.call(std::move(ask), [tried, done = std::move(done)](Result<Answer> r) {
    done(parsed<JobPage>(r, tried, jobPageFrom));
  }));
  return steps;
}

StepsPtr JobCalls::whoAmI(Duration within, Done<Identity> done) {
  auto steps = std::make_shared<Steps>();
  steps->now(caller_.call({{"GET", "/v2/whoami", ""}, "who am I", within, false},
                          [done = std::move(done)](Result<Answer> r) {
                            done(parsed<Identity>(r, "who am I", identityFrom));
                          }));
  return steps;
}

void JobCalls::identity(const StepsPtr& steps, Duration within, Done<Identity> done) {
  if (identity_) return done(*identity_);
  if (!hasMembers()) return done(Identity{"", team_, "", ""});
  auto inner = whoAmI(within, [this, done = std::move(done)](Result<Identity> r) {
    if (r) {
      identity_ = *r;
    } else if (r.error().kind == ErrorKind::unknown) {
      // A service without members responds with 404 to this path and ignores keys.
      noMembers_ = true;
      return done(Identity{"", team_, "", ""});
    }
    done(std::move(r));
  });
  steps->now([inner] { inner->stop(); });
}

StepsPtr JobCalls::idFor(const std::string& key, Duration within, Done<std::string> done) {
  auto steps = std::make_shared<Steps>();
  identity(steps, within, [key, done = std::move(done)](Result<Identity> who) {
    if (!who) return done(who.error());
    done(refFor({TeamId{who->team}, who->member}, key));
  });
  return steps;
}

StepsPtr JobCalls::submit(Job job, const std::string& key, const std::string& id, Duration within,
                          Done<JobState> done) {
  auto s = std::make_shared<Submitting>();
  s->job = std::move(job);
  s->until = caller_.runtime().now() + within;
  s->done = std::move(done);
  s->id = id;
  s->tried = "submit " + (id.empty() ? key : id);
  bool known = !id.empty() && !s->job.team.empty();
  auto go = [this, s, key](const Result<Identity>& who) {
    if (!who) return s->done(who.error());
    if (s->job.team.empty()) s->job.team = who->team;
    if (s->job.team.empty()) {
      return s->done(errorFor(ErrorKind::unusable, s->tried, "no team is named"));
    }
    if (s->id.empty()) {
      s->drawn = key.empty();
      s->id = s->drawn ? drawRef() : refFor({TeamId{who->team}, who->member}, key);
    }
    s->tried = "submit " + s->id;
    s->digest = digestFor(s->job);
    send(s);
  };
  if (known) {
    go(Identity{});
  } else {
    identity(s->steps, within, go);
  }
  return s->steps;
}

void JobCalls::send(const std::shared_ptr<Submitting>& s) {
  ++s->draws;
  s->steps->now(caller_.call(
      {{"POST", "/v2/runs", encodeBody(toBody(s->job, s->id))}, s->tried, left(s->until), true},
      [this, s](Result<Answer> r) {
        if (!r) {
          Error e = r.error();
          e.jobId = s->id;
          return s->done(std::move(e));
        }
        auto state = jobStateFrom(r->body);
        if (!state || state->id != s->id) {
          Error e = violated(errorFor({}, s->tried, ""), "the answer is not about this job");
          e.jobId = s->id;
          return s->done(std::move(e));
        }
        accepted(s, *r, *state);
      }));
}

// Handles the response to a submission. If the service already knew the id, either an earlier
// submission of the same job created that job, or the id belongs to a different job.
void JobCalls::accepted(const std::shared_ptr<Submitting>& s, const Answer& answer,
                        const JobState& state) {
  bool another = state.digest.empty()
                     // Without a digest, the id belongs to a different job only if it is random and
                     // the service knew it before the only request of this call.
                     ? s->drawn && answer.status == 200 && answer.first
                     : !s->digest.empty() && state.digest != s->digest;
  if (!another) return s->done(state);
  if (s->drawn && s->draws < kMostDraws) {
    s->id = drawRef();
    s->tried = "submit " + s->id;
    return send(s);
  }
  Error e =
      errorFor(ErrorKind::conflict, s->tried, "this id is known, and with another description");
  e.status = answer.status;
  e.jobId = s->id;
  s->done(std::move(e));
}

// ---- keys ----

StepsPtr JobCalls::makeKey(const std::string& team, const std::string& member,
                           const std::string& rights, const std::string& note, Duration within,
                           Done<KeyInfo> done) {
  auto steps = std::make_shared<Steps>();
  Credential made = drawCredential();
  Json body = {{"key", made.id.value}, {"hash", hashOfSecret(made)}, {"team", team},
               {"member", member},     {"rights", rights},           {"note", note}};
  std::string tried = "make a key";
  steps->now(caller_.call({{"POST", "/v2/keys", encodeBody(body)}, tried, within, true},
                          [tried, made, done = std::move(done)](Result<Answer> r) {
                            auto info = parsed<KeyInfo>(r, tried, keyInfoFrom);
                            if (info) info->secret = made.str();
                            done(std::move(info));
                          }));
  return steps;
}

StepsPtr JobCalls::keys(const std::string& team, const std::string& member, Duration within,
                        Done<std::vector<KeyInfo>> done) {
  auto steps = std::make_shared<Steps>();
  keyPage(steps, team, member, std::make_shared<std::vector<KeyInfo>>(),
          caller_.runtime().now() + within, std::move(done));
  return steps;
}

void JobCalls::keyPage(const StepsPtr& steps, const std::string& team, const std::string& member,
                       std::shared_ptr<std::vector<KeyInfo>> found, Instant until,
                       Done<std::vector<KeyInfo>> done) {
  std::string path = "/v2/keys?team=" + queryEscaped(team) + "&member=" + queryEscaped(member) +
                     "&after=" + (found->empty() ? "" : found->back().id);
  steps->now(caller_.call(
      {{"GET", path, ""}, "list keys", left(until), false},
      [this, steps, team, member, found, until, done = std::move(done)](Result<Answer> r) {
        if (!r) return done(r.error());
        const Json* list = field(r->body, "keys");
        for (std::size_t i = 0; list && list->is_array() && i < list->size(); ++i) {
          if (auto info = keyInfoFrom((*list)[i])) found->push_back(std::move(*info));
        }
        bool more = boolField(r->body, "more").value_or(false) && list && !list->empty();
        if (!more) return done(std::move(*found));
        keyPage(steps, team, member, found, until, done);
      }));
}

StepsPtr JobCalls::revokeKey(const std::string& id, Duration after, Duration within,
                             Done<KeyInfo> done) {
  auto steps = std::make_shared<Steps>();
  std::string tried = "revoke key " + id;
  steps->now(caller_.call({{"POST", "/v2/keys/" + queryEscaped(id) + "/revoke",
                            encodeBody({{"after_s", toSeconds(after)}})},
                           tried,
                           within,
                           true},
                          [tried, done = std::move(done)](Result<Answer> r) {
                            done(parsed<KeyInfo>(r, tried, keyInfoFrom));
                          }));
  return steps;
}

StepsPtr JobCalls::rotateKey(const std::string& id, Duration grace, Duration within,
                             Done<KeyInfo> done) {
  auto steps = std::make_shared<Steps>();
  Instant until = caller_.runtime().now() + within;
  auto found = keys(
      "", "", within,
      [this, steps, id, grace, until, done = std::move(done)](Result<std::vector<KeyInfo>> all) {
        if (!all) return done(all.error());
        auto it =
            std::find_if(all->begin(), all->end(), [&](const KeyInfo& k) { return k.id == id; });
        if (it == all->end()) {
          return done(errorFor(ErrorKind::unknown, "rotate key " + id, "no such key"));
        }
        auto making =
            makeKey(it->team, it->member, it->rights, it->note, left(until),
                    [this, steps, id, grace, until, done](Result<KeyInfo> made) {
                      if (!made) return done(made.error());
                      auto ending = revokeKey(
                          id, grace, left(until), [done, made](const Result<KeyInfo>& old) {
                            if (old) return done(made);
                            Error e = old.error();
                            e.why += "; the new key " + made->id + " was made: revoke it";
                            done(std::move(e));
                          });
                      steps->now([ending] { ending->stop(); });
                    });
        steps->now([making] { making->stop(); });
      });
  steps->now([found] { found->stop(); });
  return steps;
}

}  // namespace kestrelhoist::client
