/// \file
/// Runs the planner outside the event loop. The controller uses one planner thread; tests may run
/// the planner on the calling thread.
#pragma once

#include <functional>
#include <semaphore>
#include <thread>

#include "base/guarded.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

/// Runs makePlan() for the event loop.
class PlanRunner {
 public:
  virtual ~PlanRunner() = default;
  /// Makes a plan from `input`, then calls `done` on the event loop, never before run() returns.
  virtual void run(PlanInput input, std::function<void(PlanInput, Plan)> done) = 0;
};

/// Runs the planner on a thread of its own.
class ThreadPlanRunner : public PlanRunner {
 public:
  /// Starts the thread. `post` queues a function for the event loop and may be called from any
  /// thread.
  explicit ThreadPlanRunner(std::function<void(std::function<void()>)> post);
  ~ThreadPlanRunner() override;
  ThreadPlanRunner(const ThreadPlanRunner&) = delete;
  ThreadPlanRunner& operator=(const ThreadPlanRunner&) = delete;
  void run(PlanInput input, std::function<void(PlanInput, Plan)> done) override;

 private:
  struct Work {
    PlanInput input;
    std::function<void(PlanInput, Plan)> done;
  };
  struct WorkQueue {
    std::vector<Work> work;
    bool stop = false;
  };
  void loop();
  std::function<void(std::function<void()>)> post_;
  Guarded<WorkQueue> queue_;
  std::counting_semaphore<> wake_{0};
  std::thread thread_;
};

}  // namespace kestrelhoist
