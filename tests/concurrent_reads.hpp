/// \file
/// Simulates users that read the same job at all controllers within milliseconds (ConcurrentReads),
/// and users that send invalid requests (OddRequests). A response fails the world if it contradicts
/// a response that arrived before its request was sent.
#pragma once

#include "sim/world.hpp"

namespace kestrelhoist::sim {

/// Sends polls, repeated submissions and cancellations of the same jobs to all controllers at
/// nearly the same time, and checks that no response contradicts an earlier one.
class ConcurrentReads {
 public:
  enum class Kind { poll, submit, abort };

  ConcurrentReads(World& world, int nodes) : world_(world), nodes_(nodes) {}

  // Starts the requests: each time a user learns that a job is accepted or over, a burst of
  // requests for this job follows. The given share of the jobs is cancelled right after acceptance.
  void begin(double cancelledAtOnce) {
    cancelledAtOnce_ = cancelledAtOnce;
    world_.onPhaseReported = [this](const std::string& id, const std::string& what) {
      told(id, what);
    };
  }

  // Polls the job twice and submits it again at each controller, at random times within 50 ms. One
  // random controller also receives a poll for a job id that no user has submitted.
  void burst(const std::string& id) {
    for (int node = 0; node < nodes_; ++node) {
      for (Kind kind : {Kind::poll, Kind::poll, Kind::submit}) soon(kind, id, node);
    }
    world_.clock.in(drawn(kDelayBoundMs), [this, node = drawnNode()] { askUnknown(node); });
  }

  void ask(Kind kind, const std::string& id, int node, int follow = kFollowUpRequests);

  // Polls every accepted job at every controller, in several rounds. The world fails if a
  // controller never answers, if two controllers report different phases, or if a job is not over.
  void expectAgreement();

 private:
  static constexpr std::int64_t kDelayBoundMs = 51;
  static constexpr int kFollowUpRequests =
      2;  // An answered request starts this many more, one at a time.

  // The positions of a job's acceptance and end in the order of all sent requests and received
  // responses. A position is empty until the event has happened.
  struct Job {
    std::optional<std::uint64_t> accepted, ended;
    std::string end;
  };

  std::int64_t drawn(std::int64_t below) {
    return static_cast<std::int64_t>(world_.random() % static_cast<std::uint64_t>(below));
  }
  int drawnNode() { return static_cast<int>(drawn(nodes_)); }

  void soon(Kind kind, const std::string& id, int node, int follow = kFollowUpRequests) {
    world_.clock.in(drawn(kDelayBoundMs),
                    [this, kind, id, node, follow] { ask(kind, id, node, follow); });
  }

  void told(const std::string& id, const std::string& what);

  void recordEnd(const std::string& id, const std::string& phase) {
    Job& job = jobs_[id];
    if (!job.end.empty() && job.end != phase) {
      return world_.fail("went_back", id + " was " + job.end + ", now " + phase);
    }
    if (job.end.empty()) job.ended = ++order_;
    job.end = phase;
  }

  static std::optional<std::string> phaseIn(const Response& r) {
    auto body = decodeBody(r.body);
    return body ? textField(*body, "phase") : std::nullopt;
  }

  void answered(Kind kind, const std::string& id, int node, std::uint64_t sent, std::int64_t at,
                const Response& r, int follow);

  void askUnknown(int node) {
    std::string id = "j-99" + std::to_string(drawn(100000));
    world_.network.send("users", world_.nodeApi(node), {"GET", "/v2/runs/" + id, ""}, 2000,
                        [this, id](const std::optional<Response>& r) {
                          if (r && r->status == 200) world_.fail("invented", id);
                        });
  }

  World& world_;
  int nodes_;
  double cancelledAtOnce_ = 0;
  std::uint64_t order_ = 0, answers_ = 0;
  std::map<std::string, Job> jobs_;
};

/// Sends requests whose status is fixed by the protocol (400, 422, 404 or 200) at every controller,
/// whichever faults occur, and checks the status. Status 429, status 503 and a missing response are
/// always allowed.
class OddRequests {
 public:
  OddRequests(World& world, int nodes) : world_(world), nodes_(nodes) {}

  void begin(std::int64_t ms) {
    until_ = world_.clock.now() + ms;
    JobPlan sound;
    sound.id = kValidJob;
    sound.runS = 3;
    sound.spot = true;
    sound.jobClass = "odd";
    world_.submit(sound);
    round();
  }

 private:
  static constexpr const char* kValidJob = "j-860000";  // This valid job is accepted and completes.

  std::int64_t drawn(std::int64_t below) {
    return static_cast<std::int64_t>(world_.random() % static_cast<std::uint64_t>(below));
  }
  bool typesKnown() const { return !world_.state.keysBelow("kh/catalogue").empty(); }

  Json validBody(const std::string& id) const {
    JobPlan p;
    p.id = id;
    p.spot = true;
    return world_.spec(p);
  }

  void round() {
    if (world_.clock.now() >= until_) return;
    world_.clock.in(500 + drawn(1000), [this] { round(); });
    for (int node = 0; node < nodes_; ++node) {
      world_.clock.in(drawn(400), [this, node] { submitMalformed(node); });
      world_.clock.in(drawn(400), [this, node] { submitUnplaceable(node); });
      world_.clock.in(drawn(400), [this, node] { resubmitAcceptedJob(node); });
      world_.clock.in(drawn(400), [this, node] { submitBeforeMachineTypes(node); });
    }
  }

  std::string freshId() { return "j-861" + std::to_string(10000 + next_++); }

  // Submits a job with a missing field, a field of a wrong type or value, or a truncated body, and
  // expects status 400.
  void submitMalformed(int node);

  // Submits a well-formed job that no machine type or team limit permits. The expected status is
  // 422, or 503 while no machine types are stored.
  void submitUnplaceable(int node);

  void expectRejection(int node, const std::string& id, const Json& body) {
    world_.network.send("users", world_.nodeApi(node), {"POST", "/v2/runs", encodeBody(body)}, 5000,
                        [this, id](const std::optional<Response>& r) {
                          if (!r || isAlwaysAllowed(r->status)) return;
                          ++judged_;
                          if (r->status != 422 || !typesKnown()) {
                            world_.fail("odd_request", id + " got " + std::to_string(r->status));
                          }
                        });
  }

  // Submits a valid job if no machine types are stored yet, and expects status 503 while none are.
  void submitBeforeMachineTypes(int node);

  // Submits the accepted job kValidJob again, either unchanged, incomplete or with a resource
  // request that can't run, and expects status 200. After the job is done, it also cancels and
  // polls the job.
  void resubmitAcceptedJob(int node);

  // Checks that a rejected job id gets 404 for a poll and for a cancellation, and that the state
  // service stores no job of this id.
  void expectUnknownJob(int node, const std::string& id) {
    world_.clock.in(drawn(3000), [this, node, id] {
      expect((node + 1) % nodes_, {"GET", "/v2/runs/" + id, ""}, {404}, id + " asked for");
      expect(node, {"POST", "/v2/runs/" + id + "/abort", ""}, {404}, id + " cancelled");
      if (!world_.state.keysBelow("kh/job/" + id).empty()) world_.fail("odd_request", id);
    });
  }

  static bool isAlwaysAllowed(int status) { return status == 429 || status == 503; }

  void expect(int node, const Request& q, const std::set<int>& statuses, const std::string& what,
              const std::string& phase = "");

  World& world_;
  int nodes_;
  std::int64_t until_ = 0;
  int next_ = 0;
  std::size_t judged_ = 0;
};

}  // namespace kestrelhoist::sim
