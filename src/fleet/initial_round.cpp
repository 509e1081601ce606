#include "fleet/initial_round.hpp"

#include <algorithm>
#include <array>

#include "base/log.hpp"
#include "config/worker_timing.hpp"

namespace kestrelhoist {
namespace {

constexpr Duration kMaxReportTransitTime{500};
constexpr int kProbesPerBatch = 24;
constexpr Duration kPauseBetweenBatches{25};
// Machines that have not answered are probed again this long after the last batch.
constexpr std::array<Duration, 2> kRepeatDelays{Duration{300}, Duration{700}};

}  // namespace

// A new leader waits for one full heartbeat round before it places tasks or terminates machines
// (DESIGN). It probes the workers, so that the round ends sooner if all of them answer.
bool InitialRound::isOver() const {
  const Duration round =
      maxHeartbeatInterval(context_.platform.reportEvery) + kMaxReportTransitTime;
  if (context_.runtime.now() - context_.electedAt >= round) return true;
  return isProbing_ && queue_.empty() && !prober_.awaitsFirstReport();
}

void InitialRound::probeUnreported() {
  if (isProbing_ || context_.initialRoundOver) return;
  isProbing_ = true;
  for (const auto& [id, machine] : fleet_.machines()) {
    if (!machine.hasReported() && !machine.address.empty() &&
        machine.listed == ListedState::running)
      queue_.push_back(id);
  }
  logInfo("new leader probes workers that have not reported", "machines", queue_.size());
  probeNextBatch();
}

void InitialRound::probeNextBatch() {
  for (int i = 0; i < kProbesPerBatch && !queue_.empty(); ++i) {
    Machine* machine = fleet_.find(queue_.front());
    probed_.push_back(queue_.front());
    queue_.pop_front();
    if (machine && !machine->hasReported()) prober_.probe(*machine);
  }
  if (queue_.empty()) {
    context_.runtime.after(kRepeatDelays.front(),
                           context_.whileLeading([this] { repeatUnanswered(0); }));
  } else {
    context_.runtime.after(kPauseBetweenBatches,
                           context_.whileLeading([this] { probeNextBatch(); }));
  }
}

// Probes the machines without an answer again, because an answer may be lost.
void InitialRound::repeatUnanswered(std::size_t repeat) {
  if (context_.initialRoundOver) return;
  for (const auto& id : probed_) {
    Machine* machine = fleet_.find(id);
    if (machine && !machine->hasReported()) prober_.requestReport(*machine);
  }
  const std::size_t next = repeat + 1;
  if (next == kRepeatDelays.size()) return;
  context_.runtime.after(kRepeatDelays.at(next) - kRepeatDelays.at(repeat),
                         context_.whileLeading([this, next] { repeatUnanswered(next); }));
}

}  // namespace kestrelhoist
