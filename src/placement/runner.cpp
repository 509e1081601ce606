#include "placement/runner.hpp"

#include "base/log.hpp"

namespace kestrelhoist {

ThreadPlanRunner::ThreadPlanRunner(std::function<void(std::function<void()>)> post)
    : post_(std::move(post)), thread_([this] { loop(); }) {}

ThreadPlanRunner::~ThreadPlanRunner() {
  queue_.with([](WorkQueue& queue) { queue.stop = true; });
  wake_.release();
  thread_.join();
}

void ThreadPlanRunner::run(PlanInput input, std::function<void(PlanInput, Plan)> done) {
  queue_.with([&](WorkQueue& queue) { queue.work.push_back({std::move(input), std::move(done)}); });
  wake_.release();
}

void ThreadPlanRunner::loop() {
  for (;;) {
    wake_.acquire();
    std::vector<Work> work;
    bool stop = queue_.with([&](WorkQueue& queue) {
      work.swap(queue.work);
      return queue.stop;
    });
    if (stop) return;
    for (auto& w : work) {
      Plan plan;
      try {
        plan = makePlan(w.input);
      } catch (const std::exception& e) {
        // The result is an empty plan, and the event loop will request another plan.
        logError("exception in the planner; using an empty plan", "what", e.what());
        plan.unplaced.assign(w.input.jobs.size(), 0);
      }
      post_([w = std::move(w), plan = std::move(plan)]() mutable {
        w.done(std::move(w.input), std::move(plan));
      });
    }
  }
}

}  // namespace kestrelhoist
