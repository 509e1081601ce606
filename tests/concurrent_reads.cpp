#include "concurrent_reads.hpp"

namespace kestrelhoist::sim {

void ConcurrentReads::ask(Kind kind, const std::string& id, int node, int follow) {
  const JobPlan* plan = world_.plan(id);
  if (!plan) return;
  Request q{"GET", "/v2/runs/" + id, ""};
  if (kind == Kind::submit) q = {"POST", "/v2/runs", encodeBody(world_.spec(*plan))};
  if (kind == Kind::abort) {
    q = {"POST", "/v2/runs/" + id + "/abort", ""};
    world_.recordCancelRequest(id);
  }
  auto sent = ++order_;
  world_.network.send("users", world_.nodeApi(node), q, kind == Kind::poll ? 2000 : 5000,
                      [this, kind, id, node, sent, follow,
                       at = world_.clock.now()](const std::optional<Response>& r) {
                        if (r) answered(kind, id, node, sent, at, *r, follow);
                      });
}

void ConcurrentReads::expectAgreement() {
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

void ConcurrentReads::told(const std::string& id, const std::string& what) {
  Job& job = jobs_[id];
  if (!job.accepted) job.accepted = ++order_;
  if (what != "accepted") recordEnd(id, what);
  burst(id);
  bool over = what != "accepted";
  if (!over && static_cast<double>(drawn(1000)) >= cancelledAtOnce_ * 1000) return;
  auto at = drawn(kDelayBoundMs);
  int node = drawnNode(), count = over ? nodes_ : 1 + static_cast<int>(drawn(2));
  for (int n = 0; n < count; ++n) {
    world_.clock.in(over ? drawn(kDelayBoundMs) : at,
                    [this, id, to = (node + n) % nodes_] { ask(Kind::abort, id, to); });
  }
}

void ConcurrentReads::answered(Kind kind, const std::string& id, int node, std::uint64_t sent,
                               std::int64_t at, const Response& r, int follow) {
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
  world_.recordResponse(id, r, at);
  if (over) recordEnd(id, *phase);
  if (follow == 0) return;
  soon(drawn(2) ? Kind::poll : Kind::submit, id, drawnNode(), follow - 1);
}

void OddRequests::submitMalformed(int node) {
  std::string id = freshId();
  Json body = validBody(id);
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
  expectUnknownJob(node, id);
}

void OddRequests::submitUnplaceable(int node) {
  std::string id = freshId();
  Json body = validBody(id);
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
    case 5:  // All replicas of a service together exceed the team's limit.
      body["shape"] = "daemon";
      body["shards"] = static_cast<int>(world_.settings.gpusMax) + 1;
      break;
    default:  // One task of a job array alone exceeds the team's limit.
      body["gpus"] = world_.settings.gpusMax + 1;
  }
  expectRejection(node, id, body);
  expectUnknownJob(node, id);
}

void OddRequests::submitBeforeMachineTypes(int node) {
  if (typesKnown()) return;
  std::string id = freshId();
  world_.network.send("users", world_.nodeApi(node),
                      {"POST", "/v2/runs", encodeBody(validBody(id))}, 5000,
                      [this, id](const std::optional<Response>& r) {
                        if (r && !isAlwaysAllowed(r->status) && !typesKnown()) {
                          world_.fail("odd_request", id + " got " + std::to_string(r->status) +
                                                         " while no machine type is known");
                        }
                      });
}

void OddRequests::resubmitAcceptedJob(int node) {
  if (!world_.isAccepted(kValidJob)) return;
  Json body = world_.spec(*world_.plan(kValidJob));
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
  expect(node, {"POST", "/v2/runs", encodeBody(body)}, {200}, std::string(kValidJob) + " again");
  if (world_.phaseOf(kValidJob) != "done") return;
  std::string path = std::string("/v2/runs/") + kValidJob;
  expect(node, {"POST", path + "/abort", ""}, {200}, std::string(kValidJob) + " cancelled", "done");
  expect(node, {"GET", path, ""}, {200}, std::string(kValidJob) + " asked for", "done");
}

void OddRequests::expect(int node, const Request& q, const std::set<int>& statuses,
                         const std::string& what, const std::string& phase) {
  world_.network.send("users", world_.nodeApi(node), q, 5000,
                      [this, statuses, what, phase](const std::optional<Response>& r) {
                        if (!r || isAlwaysAllowed(r->status)) return;
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

}  // namespace kestrelhoist::sim
