/// \file
/// Simulates the users' load balancer as PROTOCOL describes it. The balancer probes `/ready` on
/// each controller, removes unhealthy controllers and adds them again after a pause, which doubles
/// with repeated removals. Each request uses its own connection, so connection shares and the reset
/// of open connections are not simulated. A request to a hanging controller lasts until the user's
/// timeout, which is stricter than the real balancer.
#pragma once

#include <deque>

#include "sim/virtual_time.hpp"

namespace kestrelhoist::sim {

/// Sends users' requests to healthy controllers.
class Balancer {
 public:
  Balancer(VirtualClock& clock, Network& network, std::mt19937_64& random,
           const std::vector<std::string>& addresses)
      : clock_(clock), network_(network), random_(random) {
    for (const auto& a : addresses) nodes_.emplace_back().address = a;
    probe();
  }

  void send(Request request, std::int64_t timeout, OnReply done) {
    attempt(std::make_shared<Request>(std::move(request)), clock_.now() + timeout, kMaxAttempts, {},
            std::move(done));
  }

 private:
  struct Node {
    std::string address;
    bool healthy = false, everHealthy = false;
    /// A positive value counts consecutive successful probes, a negative one consecutive failures.
    int consecutiveProbes = 0;
    std::deque<bool> last;
    std::int64_t notBefore = 0, pause = kMinPauseMs, removedAt = -kRemovalMemoryMs,
                 skippedUntil = 0;
    int refused = 0;
  };
  static constexpr int kMaxAttempts = 3;
  static constexpr std::int64_t kMinPauseMs = 3000, kMaxPauseMs = 60000, kRemovalMemoryMs = 120000;

  void probe() {
    clock_.in(1000, [this] { probe(); });
    for (auto& node : nodes_) {
      network_.send("users", node.address, {"GET", "/ready", ""}, 1000,
                    [this, &node](const std::optional<Response>& r) {
                      recordProbe(node, r && r->status == 200);
                    });
    }
  }

  void recordProbe(Node& n, bool ok) {
    n.consecutiveProbes =
        ok ? std::max(n.consecutiveProbes, 0) + 1 : std::min(n.consecutiveProbes, 0) - 1;
    n.last.push_back(ok);
    if (n.last.size() > 6) n.last.pop_front();
    auto failures = std::count(n.last.begin(), n.last.end(), false);
    if (n.healthy && (n.consecutiveProbes <= -2 || failures >= 3)) {
      n.healthy = false;
      n.pause = clock_.now() - n.removedAt < kRemovalMemoryMs ? std::min(2 * n.pause, kMaxPauseMs)
                                                              : kMinPauseMs;
      n.removedAt = clock_.now();
      n.notBefore = clock_.now() + n.pause;
    } else if (!n.healthy && ok && (!n.everHealthy || n.consecutiveProbes >= 2) &&
               clock_.now() >= n.notBefore) {
      n.healthy = n.everHealthy = true;
      n.last.clear();
    }
  }

  void attempt(const std::shared_ptr<Request>& request, std::int64_t deadline, int tries,
               std::set<std::string> tried, OnReply done) {
    std::vector<Node*> candidates;
    for (auto& n : nodes_) {
      if (n.healthy && clock_.now() >= n.skippedUntil && !tried.contains(n.address))
        candidates.push_back(&n);
    }
    if (candidates.empty() || tries == 0 || clock_.now() >= deadline) return done(std::nullopt);
    Node& n = *candidates[random_() % candidates.size()];
    tried.insert(n.address);
    network_.send("users", n.address, *request, deadline - clock_.now(),
                  [this, &n, request, deadline, tries, tried,
                   done = std::move(done)](std::optional<Response> r) mutable {
                    if (r || clock_.now() >= deadline) {
                      if (r) n.refused = 0;
                      return done(std::move(r));
                    }
                    if (++n.refused >= 3) {
                      n.skippedUntil = clock_.now() + 3000;
                      n.refused = 0;
                    }
                    attempt(request, deadline, tries - 1, std::move(tried), std::move(done));
                  });
  }

  VirtualClock& clock_;
  Network& network_;
  std::mt19937_64& random_;
  std::vector<Node> nodes_;
};

}  // namespace kestrelhoist::sim
