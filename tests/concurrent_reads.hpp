/// Users that read at all controllers within milliseconds (ConcurrentReads), and users that send
/// malformed requests (OddRequests). What they were told is compared in the order in which requests
/// were sent and answers came.
#pragma once

#include "sim/world.hpp"

namespace kestrelhoist::sim {

class ConcurrentReads {
 public:
  enum class Kind { poll, submit, abort };

  ConcurrentReads(World& world, int nodes) : world_(world), nodes_(nodes) {}

  // From now on, after each first word of a job, with so large a share cancelled at once.
  void begin(double cancelledAtOnce) {
    cancelledAtOnce_ = cancelledAtOnce;
    world_.onPhaseReported = [this](const std::string& id, const std::string& what) {
      told(id, what);
    };
  }

  // Each controller is asked and handed the job again, 0 to 50 ms from now; what nobody submitted
  // is asked for as well.
  void burst(const std::string& id) {
    for (int node = 0; node < nodes_; ++node) {
      for (Kind kind : {Kind::poll, Kind::poll, Kind::submit}) soon(kind, id, node);
    }
    world_.clock.in(drawn(kClose), [this, node = drawnNode()] { askUnknown(node); });
  }

  void ask(Kind kind, const std::string& id, int node, int follow = kFollow);

  // Asks every controller for every job until each has answered: all tell the same, and of every
  // job that it is over.
  void expectAgreement();

 private:
  static constexpr std::int64_t kClose = 51;  // ms
  static constexpr int kFollow = 2;           // looks that follow an answer, one after the other

  // Orders in which things happened; none: not yet.
  struct Job {
    std::optional<std::uint64_t> accepted, ended;
    std::string end;
  };

  std::int64_t drawn(std::int64_t below) {
    return static_cast<std::int64_t>(world_.random() % static_cast<std::uint64_t>(below));
  }
  int drawnNode() { return static_cast<int>(drawn(nodes_)); }

  void soon(Kind kind, const std::string& id, int node, int follow = kFollow) {
    world_.clock.in(drawn(kClose), [this, kind, id, node, follow] { ask(kind, id, node, follow); });
  }

  void told(const std::string& id, const std::string& what);

  void noteEnd(const std::string& id, const std::string& phase) {
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

// Requests that PROTOCOL answers with 400, 422 or 200 whatever happens, at every controller. 429,
// 503 and no answer at all are always allowed.
class OddRequests {
 public:
  OddRequests(World& world, int nodes) : world_(world), nodes_(nodes) {}

  void begin(std::int64_t ms) {
    until_ = world_.clock.now() + ms;
    JobPlan sound;
    sound.id = kSound;
    sound.runS = 3;
    sound.spot = true;
    sound.jobClass = "odd";
    world_.submit(sound);
    round();
  }

 private:
  static constexpr const char* kSound = "j-860000";  // is accepted, and done some time

  std::int64_t drawn(std::int64_t below) {
    return static_cast<std::int64_t>(world_.random() % static_cast<std::uint64_t>(below));
  }
  bool typesKnown() const { return !world_.state.keysBelow("kh/catalogue").empty(); }

  Json soundBody(const std::string& id) const {
    JobPlan p;
    p.id = id;
    p.spot = true;
    return world_.spec(p);
  }

  void round() {
    if (world_.clock.now() >= until_) return;
    world_.clock.in(500 + drawn(1000), [this] { round(); });
    for (int node = 0; node < nodes_; ++node) {
      world_.clock.in(drawn(400), [this, node] { malformed(node); });
      world_.clock.in(drawn(400), [this, node] { neverRuns(node); });
      world_.clock.in(drawn(400), [this, node] { againOddly(node); });
      world_.clock.in(drawn(400), [this, node] { early(node); });
    }
  }

  std::string freshId() { return "j-861" + std::to_string(10000 + next_++); }

  // A field is missing or of a kind that it can't be; or it is no map, or cut off.
  void malformed(int node);

  // Well-formed, and never to be run: 422, or 503 while nobody knows the machine types.
  void neverRuns(int node);

  void refusedFor(int node, const std::string& id, const Json& body) {
    world_.network.send("users", world_.nodeApi(node), {"POST", "/v2/runs", encodeBody(body)}, 5000,
                        [this, id](const std::optional<Response>& r) {
                          if (!r || mayAlways(r->status)) return;
                          ++judged_;
                          if (r->status != 422 || !typesKnown()) {
                            world_.fail("odd_request", id + " got " + std::to_string(r->status));
                          }
                        });
  }

  // A sound one while the types may not be known: then 503.
  void early(int node);

  // The job that was accepted, handed in again: as it was, incomplete, or as it could never run;
  // and cancelled once it is done.
  void againOddly(int node);

  // Neither asked for nor cancelled: nobody has accepted it.
  void isNobodys(int node, const std::string& id) {
    world_.clock.in(drawn(3000), [this, node, id] {
      expect((node + 1) % nodes_, {"GET", "/v2/runs/" + id, ""}, {404}, id + " asked for");
      expect(node, {"POST", "/v2/runs/" + id + "/abort", ""}, {404}, id + " cancelled");
      if (!world_.state.keysBelow("kh/job/" + id).empty()) world_.fail("odd_request", id);
    });
  }

  static bool mayAlways(int status) { return status == 429 || status == 503; }

  void expect(int node, const Request& q, const std::set<int>& statuses, const std::string& what,
              const std::string& phase = "");

  World& world_;
  int nodes_;
  std::int64_t until_ = 0;
  int next_ = 0;
  std::size_t judged_ = 0;
};

}  // namespace kestrelhoist::sim
