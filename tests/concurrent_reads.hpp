// Users that look closely: at all controllers within milliseconds, and with requests that are odd.
// What they were told is compared in the order in which requests were sent and answers came.
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
    world_.onTold = [this](const std::string& id, const std::string& what) { told(id, what); };
  }

  // Each controller is asked and handed the job again, 0 to 50 ms from now; what nobody submitted
  // is asked for as well.
  void burst(const std::string& id) {
    for (int node = 0; node < nodes_; ++node) {
      for (Kind kind : {Kind::poll, Kind::poll, Kind::submit}) soon(kind, id, node);
    }
    world_.clock.in(drawn(kClose), [this, node = drawnNode()] { askUnknown(node); });
  }

  void ask(Kind kind, const std::string& id, int node, int follow = kFollow) {
    const JobPlan* plan = world_.plan(id);
    if (!plan) return;
    Request q{"GET", "/v2/runs/" + id, ""};
    if (kind == Kind::submit) q = {"POST", "/v2/runs", encodeBody(world_.spec(*plan))};
    if (kind == Kind::abort) {
      q = {"POST", "/v2/runs/" + id + "/abort", ""};
      world_.askedToCancel(id);
    }
    auto sent = ++order_;
    world_.network.send("users", world_.nodeApi(node), q, kind == Kind::poll ? 2000 : 5000,
                        [this, kind, id, node, sent, follow,
                         at = world_.clock.now()](const std::optional<Response>& r) {
                          if (r) answered(kind, id, node, sent, at, *r, follow);
                        });
  }

  // Asks every controller for every job until each has answered: all tell the same, and of every
  // job that it is over.
  void expectAgreement() {
    std::map<std::string, std::map<int, std::string>> told;
    constexpr int kRounds = 5;
    for (int round = 0; round < kRounds; ++round) {
      for (const auto& [id, job] : jobs_) {
        if (!job.accepted) continue;
        for (int node = 0; node < nodes_; ++node) {
          if (told[id].contains(node)) continue;
          world_.network.send("users", world_.nodeApi(node), {"GET", "/v2/runs/" + id, ""}, 2000,
                              [&told, id = id, node](const std::optional<Response>& r) {
                                if (r && r->status == 200)
                                  told[id][node] = phaseIn(*r).value_or("malformed");
                                if (r && r->status == 404) told[id][node] = "unknown";
                              });
        }
      }
      world_.runFor(3);
    }
    std::map<std::string, int> ends;
    for (const auto& [id, byNode] : told) {
      if (byNode.size() != static_cast<std::size_t>(nodes_)) {
        world_.fail("unanswered", id + " at some controller");
      }
      for (const auto& [node, phase] : byNode) {
        if (phase != byNode.begin()->second || (phase != "done" && phase != "withdrawn")) {
          world_.fail("disagree", id + " is " + byNode.begin()->second + ", at node " +
                                      std::to_string(node) + " " + phase);
        }
      }
      if (!byNode.empty()) ++ends[byNode.begin()->second];
    }
    std::cout << "looks " << order_ << ", answered " << answers_ << ", jobs done " << ends["done"]
              << ", withdrawn " << ends["withdrawn"] << "\n";
    if (told.empty()) world_.fail("nothing_met", "no job was looked at");
  }

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

  void told(const std::string& id, const std::string& what) {
    Job& job = jobs_[id];
    if (!job.accepted) job.accepted = ++order_;
    if (what != "accepted") noteEnd(id, what);
    burst(id);
    bool over = what != "accepted";
    if (!over && static_cast<double>(drawn(1000)) >= cancelledAtOnce_ * 1000) return;
    auto at = drawn(kClose);
    int node = drawnNode(), count = over ? nodes_ : 1 + static_cast<int>(drawn(2));
    for (int n = 0; n < count; ++n) {
      world_.clock.in(over ? drawn(kClose) : at,
                      [this, id, to = (node + n) % nodes_] { ask(Kind::abort, id, to); });
    }
  }

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
                const Response& r, int follow) {
    ++answers_;
    Job& job = jobs_[id];
    bool knewAccepted = job.accepted && *job.accepted < sent;
    bool knewEnd = job.ended && *job.ended < sent;
    std::string where = id + " at node " + std::to_string(node);
    if (r.status == 404 && (knewAccepted || kind == Kind::submit)) {
      return world_.fail("forgotten", where + " got 404");
    }
    if (kind == Kind::submit && (r.status == 400 || r.status == 422)) {
      return world_.fail("forgotten", where + " got " + std::to_string(r.status));
    }
    if (r.status == 201 && knewAccepted) {
      return world_.fail("forgotten", where + " was accepted a second time");
    }
    if (r.status != 200 && r.status != 201) return;
    auto phase = phaseIn(r);
    if (!phase) return world_.fail("malformed", where);
    bool over = *phase == "done" || *phase == "withdrawn";
    if (!over && knewEnd) return world_.fail("went_back", where + " is " + *phase + " again");
    if (!over && kind == Kind::abort) return world_.fail("malformed", where + " not cancelled");
    if (!job.accepted) job.accepted = ++order_;
    world_.note(id, r, at);
    if (over) noteEnd(id, *phase);
    if (follow == 0) return;
    soon(drawn(2) ? Kind::poll : Kind::submit, id, drawnNode(), follow - 1);
  }

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
  void malformed(int node) {
    std::string id = freshId();
    Json body = soundBody(id);
    static const std::vector<std::string> kNeeded{
        "lane",   "owner",   "shape",    "rank",  "shards",  "cpus",    "gpus",       "ram_gb",
        "bundle", "size_gb", "together", "apart", "loaners", "guess_s", "snapshot_s", "flush_s"};
    const std::string& name =
        kNeeded[static_cast<std::size_t>(drawn(static_cast<std::int64_t>(kNeeded.size())))];
    std::string bytes;
    switch (drawn(5)) {
      case 0:
        body.erase(name);
        break;
      case 1:
        body[name] = nullptr;
        break;
      case 2:
        body[name] = Json::array({1});
        break;
      case 3: {
        const std::pair<const char*, Json> wrong[] = {
            {"shards", 0},     {"shards", 100001}, {"shards", -1},        {"cpus", -1.0},
            {"rank", "first"}, {"shape", "heap"},  {"rigs", "box"},       {"rigs", Json::array()},
            {"site", 7},       {"due_s", "soon"},  {"shards", 1.5},       {"loaners", "yes"},
            {"ref", "j-x"},    {"ref", nullptr},   {"gpus", std::nan("")}};
        const auto& [field, value] = wrong[static_cast<std::size_t>(drawn(std::size(wrong)))];
        body[field] = value;
        break;
      }
      default:
        bytes = encodeBody(body);
        bytes.resize(bytes.size() - 1 - static_cast<std::size_t>(drawn(40)));
    }
    if (bytes.empty()) bytes = encodeBody(body);
    expect(node, {"POST", "/v2/runs", bytes}, {400}, id + " malformed");
    isNobodys(node, id);
  }

  // Well-formed, and never to be run: 422, or 503 while nobody knows the machine types.
  void neverRuns(int node) {
    std::string id = freshId();
    Json body = soundBody(id);
    switch (drawn(7)) {
      case 0:
        body["owner"] = "nobody";
        break;
      case 1:
        body["cpus"] = world_.settings.cpus + 1;
        break;
      case 2:
        body["ram_gb"] = world_.settings.ram * 2;
        break;
      case 3:
        body["rigs"] = Json::array({"none"});
        break;
      case 4:
        body["site"] = "nowhere";
        break;
      case 5:  // over the team's limit: all tasks of a service
        body["shape"] = "daemon";
        body["shards"] = static_cast<int>(world_.settings.gpusMax) + 1;
        break;
      default:  // one task of an array
        body["gpus"] = world_.settings.gpusMax + 1;
    }
    refusedFor(node, id, body);
    isNobodys(node, id);
  }

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
  void early(int node) {
    if (typesKnown()) return;
    std::string id = freshId();
    world_.network.send("users", world_.nodeApi(node),
                        {"POST", "/v2/runs", encodeBody(soundBody(id))}, 5000,
                        [this, id](const std::optional<Response>& r) {
                          if (r && !mayAlways(r->status) && !typesKnown()) {
                            world_.fail("odd_request", id + " got " + std::to_string(r->status) +
                                                           " while no machine type is known");
                          }
                        });
  }

  // The job that was accepted, handed in again: as it was, incomplete, or as it could never run;
  // and cancelled once it is done.
  void againOddly(int node) {
    if (!world_.isAccepted(kSound)) return;
    Json body = world_.spec(*world_.plan(kSound));
    switch (drawn(4)) {
      case 0:
        body.erase("cpus");
        break;
      case 1:
        body["owner"] = "nobody";
        break;
      case 2:
        body["cpus"] = 1e6;
        break;
      default:
        break;
    }
    expect(node, {"POST", "/v2/runs", encodeBody(body)}, {200}, std::string(kSound) + " again");
    if (world_.phaseOf(kSound) != "done") return;
    std::string path = std::string("/v2/runs/") + kSound;
    expect(node, {"POST", path + "/abort", ""}, {200}, std::string(kSound) + " cancelled", "done");
    expect(node, {"GET", path, ""}, {200}, std::string(kSound) + " asked for", "done");
  }

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
              const std::string& phase = "") {
    world_.network.send("users", world_.nodeApi(node), q, 5000,
                        [this, statuses, what, phase](const std::optional<Response>& r) {
                          if (!r || mayAlways(r->status)) return;
                          ++judged_;
                          if (!statuses.contains(r->status)) {
                            return world_.fail("odd_request",
                                               what + " got " + std::to_string(r->status));
                          }
                          if (phase.empty()) return;
                          auto body = decodeBody(r->body);
                          if (!body || textField(*body, "phase") != phase)
                            world_.fail("went_back", what);
                        });
  }

  World& world_;
  int nodes_;
  std::int64_t until_ = 0;
  int next_ = 0;
  std::size_t judged_ = 0;
};

}  // namespace kestrelhoist::sim
