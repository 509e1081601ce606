/// \file
/// Runs plans beside the event loop: one planner thread, or in place for tests.
#pragma once

#include <functional>
#include <semaphore>
#include <thread>

#include "base/guarded.hpp"
#include "placement/planner.hpp"

namespace kestrelhoist {

class PlanRunner {
 public:
  virtual ~PlanRunner() = default;
  /// Calls `done` on the event loop, never from within this call.
  virtual void run(PlanInput input, std::function<void(PlanInput, Plan)> done) = 0;
};

class ThreadPlanRunner : public PlanRunner {
 public:
  /// `post` hands a call to the event loop from any thread.
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
  struct Inbox {
    std::vector<Work> work;
    bool stop = false;
  };
  void loop();
  std::function<void(std::function<void()>)> post_;
  Guarded<Inbox> inbox_;
  std::counting_semaphore<> wake_{0};
  std::thread thread_;
};

}  // namespace kestrelhoist
