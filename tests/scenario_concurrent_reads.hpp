/// Declares the steps in which users send requests to several controllers at a time: reads within
/// milliseconds, cancellations close to a job's end, malformed requests and many small jobs. The
/// seed of the world decides everything drawn.
#pragma once

#include "concurrent_reads.hpp"
#include "scenario_late_messages.hpp"

namespace kestrelhoist::sim {

/// Plays concurrent requests of users.
class ScenarioConcurrentReads : public ScenarioLateMessages {
 protected:
  /// Plays the line and returns true if this class implements its verb.
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

  // close_looks SECONDS: whenever an answer says that a job is accepted, done or withdrawn, users
  // read the job at every controller and submit it again 0 to 50 ms later; some cancel it at once.
  // One job in three is submitted to one controller and cancelled at another in the same
  // millisecond.
  void closeLooks(std::int64_t ms);

  // cancel_at_end SHARE SECONDS: cancels this share of the jobs through two controllers, between 50
  // ms before and 2.5 s after the end of the job's last task, while other users read the job and
  // submit it again. A fourth of all jobs are also cancelled when their end is committed.
  void cancelAtEnd(double share, std::int64_t ms);

  // odd_requests SECONDS: repeatedly sends every controller malformed requests, jobs that can never
  // run, and submissions and cancellations of jobs that ended long ago. OddRequests implements it.
  void oddRequests(std::int64_t ms) {
    odd_ = std::make_unique<OddRequests>(*world_, settings_.nodes);
    odd_->begin(ms);
  }

  // singles_cancelled SECONDS: submits four one-task jobs per second and cancels a quarter of them
  // at any age. The state service refuses changes above its rate limit.
  void singlesCancelled(std::int64_t ms);
  // Cancels the job as soon as its user has the answer that it is accepted.
  void cancelOnceAccepted(const std::string& id) {
    if (world_->isAccepted(id)) return world_->abort(id);
    world_->clock.in(100, [this, id] { cancelOnceAccepted(id); });
  }

  // own_abort TIMES: a controller commits a cancellation without having read the newest placement
  // of the job. It is then cut off from the state service and its peers, and workers reach only
  // this controller. Its replica still shows the earlier task attempt, which the worker has
  // forgotten. The step is repeated until this situation has occurred TIMES times.
  void ownAbort(int times);
  // Records the events of one repetition of `own_abort`.
  struct OwnAbort {
    std::uint64_t before = 0, placed = 0;  // These are the ended attempt and the newest placed one.
    std::int64_t placedAt = -1, cancelledAt = -1;
  };
  bool ownAbortOf(const std::string& id);
  // Makes this controller the only one that workers reach, and holds its links to its peers.
  void letWorkersReachOnly(int node, std::int64_t ms) {
    link(node, "peers", "hold", ms);
    std::set<std::string> rest;
    for (int n = 0; n < settings_.nodes; ++n) {
      if (n != node) rest.insert("node" + std::to_string(n));
    }
    for (const auto& [host, worker] : world_->workers) {
      world_->network.cut(host, rest, CutMode::reset, ms);
    }
  }
  // Lets time pass until a worker has launched the job's newest task attempt.
  void waitForLaunch(const std::string& id) {
    constexpr int kMaxSteps = 6000;
    for (int i = 0; i < kMaxSteps && !isKnownToWorkers(id, world_->newestAttempt(id, 0)); ++i) {
      world_->runFor(0.01);
    }
  }
  // Lets time pass until the job's newest task attempt has ended on its machine.
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
  bool isKnownToWorkers(const std::string& id, std::uint64_t attempt) const {
    for (const auto& [host, worker] : world_->workers) {
      for (const auto& t : worker->tasks) {
        if (t.job == id && t.attempt == attempt) return true;
      }
    }
    return false;
  }

  // alongside none|back|away|answers|late SECONDS: adds faults at the same time. Leaders crash and
  // restart after 0.2 s (`back`) or 4 s (`away`), answers are lost (`answers`), or transactions get
  // no answer and are applied late (`late`).
  void alongside(const std::string& what, std::int64_t ms);

  std::unique_ptr<ConcurrentReads> reads_;
  std::unique_ptr<OddRequests> odd_;
  int next_ = 0;
};

}  // namespace kestrelhoist::sim
