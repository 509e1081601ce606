/// Users that ask several controllers at a time: reads within milliseconds, cancellations that meet
/// a job's end, malformed requests, many small jobs. What is drawn is decided by the seed of the
/// world.
#pragma once

#include "concurrent_reads.hpp"
#include "scenario_late_messages.hpp"

namespace kestrelhoist::sim {

class ScenarioConcurrentReads : public ScenarioLateMessages {
 protected:
  /// Plays the line if its verb is one of this file; false if not.
  bool concurrentReadsStep(const std::vector<std::string>& words);

 private:
  std::int64_t drawn(std::int64_t below) {
    return static_cast<std::int64_t>(world_->random() % static_cast<std::uint64_t>(below));
  }
  bool chance(double share) { return static_cast<double>(drawn(1000000)) < share * 1e6; }
  ConcurrentReads& reads() {
    if (!reads_) reads_ = std::make_unique<ConcurrentReads>(*world_, settings_.nodes);
    return *reads_;
  }
  JobPlan drawnJob() {
    JobPlan p;
    p.id = "j-8" + std::to_string(10000 + next_++);
    p.tasks = static_cast<int>(1 + drawn(3));
    p.runS = static_cast<double>(1 + drawn(12));
    p.spot = true;
    p.jobClass = "looked";
    return p;
  }

  // close_looks SECONDS: whenever somebody is told that a job is accepted, done or withdrawn, users
  // ask at every controller and hand the job in again, 0 to 50 ms later; some cancel at once. Every
  // third job is handed in at one controller and cancelled at another in the same millisecond.
  void closeLooks(std::int64_t ms);

  // cancel_at_end SHARE SECONDS: that share of the jobs is cancelled through two controllers from
  // 50 ms before its last task's end until 2.5 s after it, while others ask and hand it in again;
  // a fourth of these also in the moment at which its end is committed.
  void cancelAtEnd(double share, std::int64_t ms);

  // odd_requests SECONDS: at every controller, again and again: what is malformed, what can never
  // run, what is handed in or cancelled when it is long over. See OddRequests.
  void oddRequests(std::int64_t ms) {
    odd_ = std::make_unique<OddRequests>(*world_, settings_.nodes);
    odd_->begin(ms);
  }

  // singles_cancelled SECONDS: jobs of one task, four a second; a quarter is cancelled, at any age.
  // The state service refuses what is above its rate of changes.
  void singlesCancelled(std::int64_t ms);
  // A user cancels what it was told is accepted.
  void cancelOnceTold(const std::string& id) {
    if (world_->isAccepted(id)) return world_->abort(id);
    world_->clock.in(100, [this, id] { cancelOnceTold(id); });
  }

  // own_abort TIMES: a controller commits a cancellation between a read and a placement that it has
  // not read, reaches nobody any more, and is the only one that the workers reach: its records show
  // the attempt before, which the worker has forgotten. Tried until it came about so often.
  void ownAbort(int times);
  // What happened to the job of one try.
  struct OwnAbort {
    std::uint64_t before = 0, placed = 0;  // attempts: when the task ended, and the next one
    std::int64_t placedAt = -1, cancelledAt = -1;
  };
  bool ownAbortOf(const std::string& id);
  // Workers reach no other controller than this one, which hears none of the others.
  void onlyReaches(int node, std::int64_t ms) {
    link(node, "peers", "hold", ms);
    std::set<std::string> rest;
    for (int n = 0; n < settings_.nodes; ++n) {
      if (n != node) rest.insert("node" + std::to_string(n));
    }
    for (const auto& [host, worker] : world_->workers) {
      world_->network.cut(host, rest, CutMode::reset, ms);
    }
  }
  // Until the task has ended on its machine.
  void waitForEnd(const std::string& id) {
    for (int i = 0; i < 6000; ++i) {
      for (const auto& [host, worker] : world_->workers) {
        for (const auto& t : worker->tasks) {
          if (t.job == id && t.state == "ended" && t.attempt == world_->newestAttempt(id, 0))
            return;
        }
      }
      world_->runFor(0.01);
    }
  }
  bool knows(const std::string& id, std::uint64_t attempt) const {
    for (const auto& [host, worker] : world_->workers) {
      for (const auto& t : worker->tasks) {
        if (t.job == id && t.attempt == attempt) return true;
      }
    }
    return false;
  }

  // alongside none|back|away|answers|late SECONDS: leaders that end and are back after 0.2 or 4 s,
  // answers that are lost, transactions without an answer that are carried out later.
  void alongside(const std::string& what, std::int64_t ms);

  std::unique_ptr<ConcurrentReads> reads_;
  std::unique_ptr<OddRequests> odd_;
  int next_ = 0;
};

}  // namespace kestrelhoist::sim
