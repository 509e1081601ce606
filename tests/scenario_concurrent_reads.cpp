#include "scenario_concurrent_reads.hpp"

#include <iostream>

namespace kestrelhoist::sim {

bool ScenarioConcurrentReads::concurrentReadsStep(const std::vector<std::string>& words) {
  const std::string& verb = words[0];
  auto ms = [&](std::size_t at) {
    return static_cast<std::int64_t>(std::stod(words.at(at)) * 1000);
  };
  if (verb == "close_looks") {
    closeLooks(ms(1));
  } else if (verb == "cancel_at_end") {
    cancelAtEnd(std::stod(words.at(1)), ms(2));
  } else if (verb == "odd_requests") {
    oddRequests(ms(1));
  } else if (verb == "singles_cancelled") {
    singlesCancelled(ms(1));
  } else if (verb == "own_abort") {
    ownAbort(std::stoi(words.at(1)));
  } else if (verb == "alongside") {
    alongside(words.at(1), ms(2));
  } else if (verb == "agree") {
    reads().expectAgreement();
  } else {
    return false;
  }
  return true;
}

void ScenarioConcurrentReads::closeLooks(std::int64_t ms) {
  constexpr double kCancelledAtOnce = 0.3;
  reads().begin(kCancelledAtOnce);
  World& w = *world_;
  for (std::int64_t at = 0; at < ms; at += 1000 + drawn(1500)) {
    JobPlan p = drawnJob();
    bool cancelled = drawn(4) == 0, atOnce = drawn(3) == 0;
    w.clock.in(at, [this, p, atOnce] {
      world_->submit(p);
      if (!atOnce) return;
      int node = static_cast<int>(drawn(settings_.nodes));
      reads().ask(ConcurrentReads::Kind::submit, p.id, node);
      reads().ask(ConcurrentReads::Kind::abort, p.id, (node + 1) % settings_.nodes);
    });
    if (cancelled) w.clock.in(at + drawn(15000), [&w, id = p.id] { w.abort(id); });
  }
}

void ScenarioConcurrentReads::cancelAtEnd(double share, std::int64_t ms) {
  constexpr double kCancelledAtOnce = 0;
  reads().begin(kCancelledAtOnce);
  World& w = *world_;
  for (std::int64_t at = 0; at < ms; at += 500 + drawn(1000)) {
    JobPlan p = drawnJob();
    w.clock.in(at, [&w, p] { w.submit(p); });
  }
  auto left = std::make_shared<std::map<std::string, int>>();
  w.onResult = [this, &w, left, share](const std::string& id) {
    const JobPlan* plan = w.plan(id);
    if (!plan || plan->jobClass != "looked") return;
    if (++(*left)[id] < plan->tasks || !chance(share)) return;
    std::int64_t middle = drawn(3) == 0 ? drawn(60) : drawn(2500);
    int node = static_cast<int>(drawn(settings_.nodes));
    for (int n = 0; n < 2; ++n) {
      w.clock.in(middle + (n == 0 ? 0 : drawn(30)), [this, id, at = (node + n)] {
        reads().ask(ConcurrentReads::Kind::abort, id, at % settings_.nodes);
      });
    }
    w.clock.in(std::max<std::int64_t>(0, middle - 25), [this, id] { reads().burst(id); });
  };
  w.state.onCommit = [this, &w, before = w.state.onCommit](const Json& writes) {
    before(writes);
    for (const auto& write : writes) {
      auto key = write.value("set", std::string());
      if (!key.starts_with("kh/job/j-8") || write["data"].value("phase", "") != "done") continue;
      if (drawn(4) != 0) continue;
      for (int node = 0; node < settings_.nodes; ++node) {
        w.clock.in(drawn(5), [this, id = key.substr(7), node] {
          reads().ask(ConcurrentReads::Kind::abort, id, node);
        });
      }
    }
  };
}

void ScenarioConcurrentReads::singlesCancelled(std::int64_t ms) {
  World& w = *world_;
  w.state.writesPerS = settings_.writesPerS;
  for (std::int64_t at = 0; at < ms; at += 250) {
    JobPlan p;
    p.id = "j-8" + std::to_string(10000 + next_++);
    p.jobClass = "singles";
    p.team = "rival";
    p.cpus = 0.25;
    p.gpus = 0;
    p.ram = 1;
    p.runS = static_cast<double>(2 + drawn(20));
    p.spot = true;
    w.clock.in(at, [&w, p] { w.submit(p); });
    if (drawn(4) != 0) continue;
    const std::int64_t ages[] = {0, drawn(50), drawn(1000), drawn(5000), drawn(25000)};
    w.clock.in(at + ages[drawn(std::size(ages))], [this, id = p.id] { cancelOnceAccepted(id); });
  }
}

void ScenarioConcurrentReads::ownAbort(int times) {
  constexpr int kTriesEach = 10;
  int met = 0, tries = 0;
  while (met < times && tries < kTriesEach * times && world_->broken.empty()) {
    JobPlan p;
    p.id = "j-87" + std::to_string(1000 + tries++);
    p.failsAfterS = 6;
    p.spot = true;
    p.jobClass = "own";
    world_->submit(p);
    met += ownAbortOf(p.id) ? 1 : 0;
  }
  std::cout << "own aborts met " << met << " in " << tries << "\n";
  EXPECT_TRUE(met == times || !world_->broken.empty()) << met << " came about";
}

bool ScenarioConcurrentReads::ownAbortOf(const std::string& id) {
  World& w = *world_;
  constexpr std::int64_t kSlow = 700, kCut = 15000;
  constexpr double kStep = 0.02;
  int node = nodeOf("other");
  auto seen = std::make_shared<OwnAbort>();
  w.network.stateServiceDelayMs = kSlow;
  waitForLaunch(id);
  // The leader takes this up as its raised token, so that it may clear the attempt.
  w.state.rewrite(keys::kLeader);
  waitForEnd(id);
  seen->before = seen->placed = w.newestAttempt(id, 0);
  auto hook = w.state.onCommit;
  w.state.onCommit = [&w, hook, id, node, seen](const Json& writes) {
    hook(writes);
    if (auto newest = w.newestAttempt(id, 0); newest > seen->placed) {
      seen->placed = newest;
      seen->placedAt = w.clock.now();
    }
    for (const auto& write : writes) {
      if (write.value("set", std::string()) != "kh/job/" + id) continue;
      // The cancellation is committed; from here the state service refuses this controller, so that
      // it gets no answer to the commit and cannot read the record back.
      if (write["data"].value("phase", "") != "cancelled") continue;
      seen->cancelledAt = w.clock.now();
      w.state.rejectRequestsFrom("node" + std::to_string(node), kCut + 5000);
    }
  };
  w.clock.in(300 + drawn(1000), [&w, id, node] { w.abortThrough(id, node); });
  for (int i = 0; i < 250 && seen->cancelledAt < 0; ++i) w.runFor(kStep);
  // Waits until the worker has forgotten the earlier attempt.
  for (int i = 0; i < 100 && isKnownToWorkers(id, seen->before); ++i) w.runFor(kStep);
  // The controller's last read was answered kSlow before it could commit, so the cancellation must
  // come less than kSlow after the placement.
  bool met = seen->placedAt >= 0 && seen->placedAt > seen->cancelledAt - kSlow &&
             seen->placedAt <= seen->cancelledAt && !isKnownToWorkers(id, seen->before);
  w.network.stateServiceDelayMs = 0;
  letWorkersReachOnly(node, kCut);
  w.runFor(60);
  w.state.onCommit = hook;
  return met;
}

void ScenarioConcurrentReads::alongside(const std::string& what, std::int64_t ms) {
  World& w = *world_;
  if (what == "back" || what == "away") {
    std::int64_t down = what == "back" ? 200 : kRestartMs;
    for (std::int64_t at = 3000 + drawn(10000); at < ms; at += 8000 + drawn(15000)) {
      w.clock.in(at, [this, down] { crash("leader", down); });
    }
  } else if (what == "answers") {
    w.network.responseLossShare = 0.05;
    w.clock.in(ms, [&w] { w.network.responseLossShare = 0; });
  } else if (what == "late") {
    w.network.lateTransactionShare = 0.15;
    w.clock.in(ms, [&w] { w.network.lateTransactionShare = 0; });
  } else if (what != "none") {
    FAIL() << "unknown trouble " << what;
  }
}

}  // namespace kestrelhoist::sim
